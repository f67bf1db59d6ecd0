"""The decisions on the simulator's wire: lines in, messages to routers, and their decisions back as lines.

python -m brookhinge.simulator_adapter
"""
