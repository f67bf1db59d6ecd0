"""Records of client connections: open requests, call numbers, addresses and withdrawals."""

OPEN_REQUESTS_PER_CLIENT = 32  # limit set by the protocol


class ClientTable:
    """Per-connection records, keyed by connection id.

    Attributes:
        requests: {client: {call number: request id}} of clients with open requests.
        last_numbers: {client: highest call number so far}.
        withdrawn: {client: requests withdrawn since one was last satisfied}.
        addresses: {client: remote address}; filled only if retries are recognized.
        closed: Clients closed in this round, whose further calls are ignored.
    """

    def __init__(self) -> None:
        self.requests: dict[int, dict[int, int]] = {}
        self.last_numbers: dict[int, int] = {}
        self.withdrawn: dict[int, int] = {}
        self.addresses: dict[int, str] = {}
        self.closed: set[int] = set()

    def has_open_requests(self, client: int) -> bool:
        """Return whether a client has open requests."""
        return client in self.requests

    def request(self, client: int, number: int) -> int | None:
        """Return the id of the open request with a call number, or None."""
        return self.requests.get(client, {}).get(number)

    def open_requests(self, client: int) -> list[int]:
        """Return the ids of a client's open requests."""
        return list(self.requests.get(client, {}).values())

    def add_request(self, client: int, number: int, request_id: int) -> None:
        """Add an open request."""
        self.requests.setdefault(client, {})[number] = request_id

    def remove_request(self, client: int, number: int) -> None:
        """Remove a request that has ended."""
        numbers = self.requests[client]
        del numbers[number]
        if not numbers:
            del self.requests[client]

    def register_number(self, client: int, number: int) -> str | None:
        """Record the number of a call; return the protocol error that the call makes, or None.

        Numbers must increase, because responses are matched to calls by their number.
        """
        if number <= self.last_numbers.get(client, 0):
            return f"call number {number} is not higher than the previous one"
        self.last_numbers[client] = number
        if len(self.requests.get(client, ())) >= OPEN_REQUESTS_PER_CLIENT:
            return f"more than {OPEN_REQUESTS_PER_CLIENT} requests open"
        return None

    def count_withdrawal(self, client: int) -> str | None:
        """Count a withdrawn request; return a protocol error if the client withdraws too many, or None."""
        withdrawals = self.withdrawn.get(client, 0) + 1
        self.withdrawn[client] = withdrawals
        # Only a client without open requests is closed, so that closing it loses no response.
        if withdrawals > OPEN_REQUESTS_PER_CLIENT and client not in self.requests:
            return f"{withdrawals} requests withdrawn and none satisfied"
        return None

    def forget(self, client: int) -> str | None:
        """Remove a client that has no open requests; return its address if it was recorded."""
        self.last_numbers.pop(client, None)
        self.withdrawn.pop(client, None)
        return self.addresses.pop(client, None)
