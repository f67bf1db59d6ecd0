"""Runs the routing decisions in a simulator, over its line protocol.

Input lines are decoded to messages for the routers, and their decisions are encoded as output lines. Start it
with `python -m brookhinge.simulator_adapter`.
"""
