"""Routing decisions: which server serves a request, when to retry it, when to reject it.

The modules do no I/O, read no clock and draw random numbers only from a given seed. Times, messages and the
seed are arguments, and decisions go to a sink (`brookhinge/decisions/sink.py`).
"""
