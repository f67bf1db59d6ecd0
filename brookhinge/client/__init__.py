"""A client library of the router that retries when the router says so.

    async with Client(("127.0.0.1", 8080)) as client:
        answer = await client.fetch("7f3a9c21e0b4d655", part=3, track="segment", patience_s=2.9)

or, without a loop, `brookhinge.client.fetch(address, ...)`. An Answer is `satisfied` with its bytes,
`refused`, `failed` or `gone` (the connection ended first). A retry has a new id, is sent only when no
attempt of the request is in flight, and keeps within the timeout of the first attempt; backoff.py decides
when. Times are float seconds.
"""

from brookhinge.client.client import Answer, Client, fetch

__all__ = ["Answer", "Client", "fetch"]
