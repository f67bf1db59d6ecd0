"""A client of the router: asks, and comes back when told.

    async with Client(("127.0.0.1", 8080)) as client:
        answer = await client.fetch("7f3a9c21e0b4d655", part=3, track="segment", patience_s=2.9)

or, without a loop, `brookhinge.client.fetch(address, ...)`. An Answer is `satisfied` with its bytes, `refused`, `failed` or
`gone` (the connection ended first). Retries have new ids, go out only when nothing of the query is out any more, and keep
within the time of the first try; when they go out is decided in returns.py. Times are float seconds."""

from brookhinge.client.client import Answer, Client, fetch

__all__ = ["Answer", "Client", "fetch"]
