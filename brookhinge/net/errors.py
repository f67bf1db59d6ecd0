"""Errors of what comes on connections."""


class ProtocolError(Exception):
    """Base of all errors in what the other side of a connection sent."""


class UnreadableError(ProtocolError):
    """Bytes that can't be read as the connection's protocol; the connection is closed."""


class InvalidCallError(ProtocolError):
    """A call that can be read and not be carried out; it is answered under its sequence number.

    Attributes:
        code: Of the TApplicationException that answers it.
    """

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code


class RefusedCallError(ProtocolError):
    """An invalid call with the reply that refuses it.

    Attributes:
        reply: The bytes of the reply.
    """

    def __init__(self, reply: bytes) -> None:
        super().__init__("a call that cannot be carried out")
        self.reply = reply
