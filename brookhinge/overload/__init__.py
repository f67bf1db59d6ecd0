"""Protection against overload by retries and reconnects.

Detects overload, limits new connections, recognizes retries, and gives rejected clients a time to retry at.
The modules do no I/O, read no clock and draw no random numbers; the caller passes times as float seconds.
"""
