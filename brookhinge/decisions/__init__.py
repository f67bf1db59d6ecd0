"""Routing decisions: which server serves a request, when to retry it, when to reject it.

Nothing here does I/O, reads a clock or draws chance of its own: times, messages and a seed come in as
arguments, and decisions go to a sink (`brookhinge/decisions/sink.py`).
"""
