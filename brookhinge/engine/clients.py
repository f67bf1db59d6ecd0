"""Book-keeping of clients' connections: their open requests, numbers, addresses and withdrawals."""

OPEN_REQUESTS_PER_CLIENT = 32  # by the protocol


class ClientTable:
    """What is known of each client's connection, by its number.

    Attributes:
        requests: {client: {number of the call: open request}} of clients with open requests.
        last_numbers: The highest number of a call so far.
        withdrawn: Requests withdrawn since the last that was satisfied.
        addresses: Where the connection comes from; kept only where retries are recognized.
        closed: Clients that were closed in this round: nothing more of them is taken.
    """

    def __init__(self) -> None:
        self.requests: dict[int, dict[int, int]] = {}
        self.last_numbers: dict[int, int] = {}
        self.withdrawn: dict[int, int] = {}
        self.addresses: dict[int, str] = {}
        self.closed: set[int] = set()

    def has_open_requests(self, client: int) -> bool:
        """Whether a client is owed responses."""
        return client in self.requests

    def request(self, client: int, number: int) -> int | None:
        """The open request under a number, or None."""
        return self.requests.get(client, {}).get(number)

    def open_requests(self, client: int) -> list[int]:
        """All open requests of a client."""
        return list(self.requests.get(client, {}).values())

    def add_request(self, client: int, number: int, request_id: int) -> None:
        """Note an open request."""
        self.requests.setdefault(client, {})[number] = request_id

    def remove_request(self, client: int, number: int) -> None:
        """Note that a request has ended."""
        numbers = self.requests[client]
        del numbers[number]
        if not numbers:
            del self.requests[client]

    def take_number(self, client: int, number: int) -> str | None:
        """Note the number of a call; the breach of the protocol that the call is, or None.

        Two responses under one number could not be told apart.
        """
        if number <= self.last_numbers.get(client, 0):
            return f"the number {number} again"
        self.last_numbers[client] = number
        if len(self.requests.get(client, ())) >= OPEN_REQUESTS_PER_CLIENT:
            return f"over {OPEN_REQUESTS_PER_CLIENT} queries open"
        return None

    def count_withdrawal(self, client: int) -> str | None:
        """Count a withdrawn request; the breach of the protocol where a client withdraws in mass, or None."""
        times = self.withdrawn.get(client, 0) + 1
        self.withdrawn[client] = times
        if (
            times > OPEN_REQUESTS_PER_CLIENT and client not in self.requests
        ):  # nothing that a close would cost
            return f"{times} queries withdrawn and none satisfied"
        return None

    def forget(self, client: int) -> str | None:
        """Forget a client that has no open requests any more; its address where it was kept."""
        self.last_numbers.pop(client, None)
        self.withdrawn.pop(client, None)
        return self.addresses.pop(client, None)
