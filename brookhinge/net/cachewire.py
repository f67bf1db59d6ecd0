"""Codec of the line protocol between routers and cache servers. Does no I/O.

A message is a line of space-separated words; the line states the length of the body that may follow it. No
other module of the router uses the field names of this protocol.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from brookhinge.decisions.rules import AttemptResult
from brookhinge.engine.effects import SendAttempt
from brookhinge.net.errors import UnreadableError

MAX_LINE_BYTES = 4096
MAX_BODY_BYTES = 240_000
LINE_END = b"\r\n"

# Result of an attempt by the status word of its answer.
RESULTS = {
    b"data": AttemptResult.SATISFIED,
    b"unchanged": AttemptResult.SATISFIED,
    b"absent": AttemptResult.MISS,
    b"full": AttemptResult.FULL,
    b"failed": AttemptResult.ERRORED,
    b"moot": AttemptResult.MOOT,
}
UNCHANGED = b"unchanged"
# Notes on how a server obtained its result. The decisions identify them by number, starting at 1.
_NOTE_NAMES = (
    b"hit",
    b"filled",
    b"via_origin",
    b"joined",
    b"stale",
    b"src_refused",
    b"src_broke",
    b"src_lacks",
    b"no_slot",
    b"origin_failed",
)
NOTES = {name: number for number, name in enumerate(_NOTE_NAMES, 1)}


class AnswerLine(NamedTuple):
    """An answer as received, with its fields still undecoded."""

    request_id: bytes
    status: bytes
    fields: dict[bytes, bytes]
    body: bytes


class Result(NamedTuple):
    """The decoded status and fields of an answer."""

    result: AttemptResult
    note: int  # a value of NOTES, or 0 if the answer has no known note
    source_wait_s: float  # time that the server waited for the source of its fill
    load_report: list[float] | None
    dated_at: float | None  # Unix time at which the copy was made
    version: bytes | None  # version tag of the copy
    purge_group: bytes | None


def encode_pull(attempt: SendAttempt, timeout_s: float) -> bytes:
    """Encode an attempt as a PULL line that gives the server `timeout_s` to answer."""
    fields = [
        b"sort=" + attempt.class_name,
        b"asset=" + attempt.object_key,
        b"slice=" + attempt.part,
        b"patience=%d" % max(1, int(timeout_s * 1000)),
    ]
    if attempt.fill_from:
        fields.append(b"parent=" + attempt.fill_from.encode())
    if attempt.retention:
        fields.append(b"shelf=%d" % attempt.retention)
    if attempt.max_age_s > 0:
        fields.append(b"accept=%d" % max(1, int(attempt.max_age_s * 1000)))
    hints = _hints(attempt)
    if hints:
        fields.append(b"hints=" + b"+".join(hints))
    if attempt.known_version:
        fields.append(b"got=" + attempt.known_version)
    if attempt.idempotency_key:
        fields.append(b"op=" + attempt.idempotency_key)
    body = attempt.body
    return b"PULL %b %b %d\r\n%b\r\n" % (attempt.client_request_id, b",".join(fields), len(body), body)


def _hints(attempt: SendAttempt) -> list[bytes]:
    hints = []
    if attempt.joins_fill:
        hints.append(b"merge")
    if attempt.cached_only:
        hints.append(b"local")
    if attempt.skips_cache:
        hints.append(b"skip")
    if attempt.revalidates:
        hints.append(b"revalidate")
    return hints


def encode_kill(request_id: bytes) -> bytes:
    """Encode the cancellation of an attempt."""
    return b"KILL %b\r\n" % request_id


def encode_echo(tag: bytes) -> bytes:
    """Encode a health check of the connection; its answer has the tag as its request id."""
    return b"ECHO %b\r\n" % tag


class LineSplitter:
    """Splits a byte stream that arrives in arbitrary chunks into lines and their bodies.

    Attributes:
        buffered: Received bytes that do not form a complete item yet.
        head: Parsed values of a line whose body is still incomplete, or None.
    """

    def __init__(self) -> None:
        self.buffered = bytearray()
        self.head: tuple | None = None
        self._body_size = 0

    @property
    def expected_bytes(self) -> int:
        """Size of the body that is incomplete, 0 if there is none."""
        return 0 if self.head is None else self._body_size

    @staticmethod
    def parse_line(line: bytes) -> tuple[tuple, int | None]:
        """Parse a line into its values and the size of the body that follows, None if no body follows.

        Raises:
            UnreadableError: The line is malformed.
        """
        raise NotImplementedError

    def feed(self, data: bytes) -> list[tuple]:
        """Return the items that `data` completes: the values of each line, and its body if it has one.

        Raises:
            UnreadableError: The bytes violate the protocol.
        """
        buffered = self.buffered
        buffered += data
        position = 0
        items = []
        while True:
            if self.head is None:
                line_end = buffered.find(LINE_END, position, position + MAX_LINE_BYTES)
                if line_end < 0:
                    if len(buffered) - position >= MAX_LINE_BYTES:
                        raise UnreadableError(
                            f"expected a line of at most {MAX_LINE_BYTES} bytes, got a longer one"
                        )
                    break
                head, body_size = self.parse_line(bytes(buffered[position:line_end]))
                position = line_end + len(LINE_END)
                if body_size is None:
                    items.append(head)
                    continue
                self.head = head
                self._body_size = body_size
            body_end = position + self._body_size
            item_end = body_end + len(LINE_END)
            if len(buffered) < item_end:
                break
            if buffered[body_end:item_end] != LINE_END:
                raise UnreadableError(f"expected a line end after a body of {self._body_size} bytes")
            items.append((*self.head, bytes(buffered[position:body_end])))
            self.head = None
            position = item_end
        del buffered[:position]
        return items


class AnswerSplitter(LineSplitter):
    """Splits the output of a cache server into answers; each item holds the values of an `AnswerLine`."""

    @staticmethod
    def parse_line(line: bytes) -> tuple[tuple[bytes, bytes, dict[bytes, bytes]], int]:
        """Parse a line into request id, status and fields of an answer, and the size of its body.

        Raises:
            UnreadableError: The line is malformed.
        """
        words = line.split(b" ")
        if len(words) != 4 or not is_body_size(words[3]):
            raise UnreadableError(f"expected an answer line, got {line[:80]!r}")
        request_id, status, fields, size = words
        return (request_id, status, read_fields(fields)), int(size)


def is_body_size(text: bytes) -> bool:
    """Return whether a word is a valid body size, at most MAX_BODY_BYTES."""
    return text.isdigit() and len(text) <= 7 and int(text) <= MAX_BODY_BYTES


def read_fields(text: bytes) -> dict[bytes, bytes]:
    """Parse comma-separated name=value pairs; `-` or an empty text means no fields."""
    if text in (b"-", b""):
        return {}
    return dict(pair.partition(b"=")[::2] for pair in text.split(b","))


def read_result(status: bytes, fields: dict[bytes, bytes], load_columns: Sequence[bytes]) -> Result:
    """Decode the status and the fields of an answer.

    Args:
        status: Status word of the answer.
        fields: Fields of the answer.
        load_columns: Names of the values that make up a load report, in this order. If empty, load reports
            are ignored.

    Raises:
        UnreadableError: The status is unknown, or a numeric field is not a number.
    """
    try:
        return Result(
            result=RESULTS[status],
            note=NOTES.get(fields.get(b"n"), 0),
            source_wait_s=float(fields.get(b"first", 0.0)) / 1000.0,
            load_report=_read_load_report(fields.get(b"l"), load_columns),
            dated_at=float(fields[b"dated"]) / 1000.0 if b"dated" in fields else None,
            version=fields.get(b"digest"),
            purge_group=fields.get(b"lot"),
        )
    except (KeyError, ValueError):
        raise UnreadableError(
            f"unknown status or invalid number in answer {status!r} {fields!r:.80}"
        ) from None


def _read_load_report(text: bytes | None, columns: Sequence[bytes]) -> list[float] | None:
    if text is None or not columns:
        return None
    values = dict(pair.partition(b":")[::2] for pair in text.split(b";"))
    return [float(values.get(column, 0.0)) for column in columns]
