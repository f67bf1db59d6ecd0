"""A client library for the router, with retries.

    async with Client(("127.0.0.1", 8080)) as client:
        answer = await client.fetch("7f3a9c21e0b4d655", part=3, track="segment", patience_s=2.9)

or, without an event loop, `brookhinge.client.fetch(address, ...)`. The kind of an Answer is `satisfied` (with
the bytes), `refused`, `failed` or `gone` (the connection ended first). A retry has a new request id, is sent
only when no other attempt of the request is in flight, and stays within the timeout of the first attempt;
backoff.py decides when to retry. Times are float seconds.
"""

from brookhinge.client.client import Answer, Client, fetch

__all__ = ["Answer", "Client", "fetch"]
