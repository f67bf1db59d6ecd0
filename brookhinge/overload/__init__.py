"""Overload by retries and reconnects: retries are recognized, rejected clients get a time to come back.

Modules decide without I/O, clock or chance of their own; times are float seconds that come with each call.
"""
