"""Errors in data received on connections."""


class ProtocolError(Exception):
    """Base class of errors in data that the peer sent."""


class UnreadableError(ProtocolError):
    """Bytes that do not follow the connection's protocol; the connection is closed."""


class InvalidCallError(ProtocolError):
    """A call that can be decoded but is invalid; it is answered under its sequence number.

    Attributes:
        code: Error code of the TApplicationException that answers it.
    """

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code


class RefusedCallError(ProtocolError):
    """An invalid call, with the reply that refuses it.

    Attributes:
        reply: The encoded reply.
    """

    def __init__(self, reply: bytes) -> None:
        super().__init__("invalid call")
        self.reply = reply
