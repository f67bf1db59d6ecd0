"""The lines that routers and cache servers exchange: words, with bodies by length. No I/O.

This module is the only one of the router that knows the names of this wire.
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

# Results of an attempt, by the word of its answer.
RESULTS = {
    b"data": AttemptResult.SATISFIED,
    b"unchanged": AttemptResult.SATISFIED,
    b"absent": AttemptResult.MISS,
    b"full": AttemptResult.FULL,
    b"failed": AttemptResult.ERRORED,
    b"moot": AttemptResult.MOOT,
}
UNCHANGED = b"unchanged"
# Notes on how a server came to its result; the decisions know them by number, from 1.
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
    """An answer as it came."""

    request_id: bytes
    word: bytes
    fields: dict[bytes, bytes]
    body: bytes


class Result(NamedTuple):
    """What an answer says."""

    result: AttemptResult
    note: int  # one of NOTES; 0: none
    source_wait_s: float  # how long the server waited for its source
    load_report: list[float] | None
    dated_at: float | None  # when the copy was made, in Unix seconds
    version: bytes | None  # tag of the copy
    purge_group: bytes | None


def encode_pull(attempt: SendAttempt, timeout_s: float) -> bytes:
    """Encode an attempt, with the time that is left for its answer."""
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
    """Encode that an attempt is given up."""
    return b"KILL %b\r\n" % request_id


def encode_echo(tag: bytes) -> bytes:
    """Encode a health check of the connection; the answer bears the tag as its id."""
    return b"ECHO %b\r\n" % tag


class LineSplitter:
    """Cuts a stream of bytes, in any pieces, into lines with the bodies that they announce.

    Attributes:
        buffered: Bytes that belong to no item yet.
        head: The values of a line whose body has not come whole, or None.
    """

    def __init__(self) -> None:
        self.buffered = bytearray()
        self.head: tuple | None = None
        self._body_size = 0

    @staticmethod
    def begin(line: bytes) -> tuple[tuple, int | None]:
        """Return the values of a line, and how many bytes follow as its body; None where none do.

        Raises:
            UnreadableError: The line cannot be read.
        """
        raise NotImplementedError

    def feed(self, data: bytes) -> list[tuple]:
        """Return the items that are complete with `data`: the values of the line, and its body if it has one.

        Raises:
            UnreadableError: The bytes are not of this protocol.
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
                        raise UnreadableError("a line that is too long")
                    break
                head, body_size = self.begin(bytes(buffered[position:line_end]))
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
                raise UnreadableError("a body that does not end with its length")
            items.append((*self.head, bytes(buffered[position:body_end])))
            self.head = None
            position = item_end
        del buffered[:position]
        return items


class AnswerSplitter(LineSplitter):
    """Cuts what a cache server sends into answers; each item has the values of an `AnswerLine`."""

    @staticmethod
    def begin(line: bytes) -> tuple[tuple[bytes, bytes, dict[bytes, bytes]], int]:
        """Return id, word and fields of an answer, and the size of its body.

        Raises:
            UnreadableError: The line cannot be read.
        """
        words = line.split(b" ")
        if len(words) != 4 or not is_body_size(words[3]):
            raise UnreadableError(f"the line {line[:80]!r}")
        request_id, word, fields, size = words
        return (request_id, word, read_fields(fields)), int(size)


def is_body_size(text: bytes) -> bool:
    """Return whether a word is the size of a body, within its bound."""
    return text.isdigit() and len(text) <= 7 and int(text) <= MAX_BODY_BYTES


def read_fields(text: bytes) -> dict[bytes, bytes]:
    """Read name=value pairs; `-` stands for none."""
    if text in (b"-", b""):
        return {}
    return dict(pair.partition(b"=")[::2] for pair in text.split(b","))


def read_result(word: bytes, fields: dict[bytes, bytes], load_columns: Sequence[bytes]) -> Result:
    """Read what an answer says.

    Args:
        word: Of the answer.
        fields: Of the answer.
        load_columns: The names whose values make up a load report, in this order; none: reports are not read.

    Raises:
        UnreadableError: The word is unknown, or a field is no number.
    """
    try:
        return Result(
            result=RESULTS[word],
            note=NOTES.get(fields.get(b"n"), 0),
            source_wait_s=float(fields.get(b"first", 0.0)) / 1000.0,
            load_report=_read_load_report(fields.get(b"l"), load_columns),
            dated_at=float(fields[b"dated"]) / 1000.0 if b"dated" in fields else None,
            version=fields.get(b"digest"),
            purge_group=fields.get(b"lot"),
        )
    except (KeyError, ValueError):
        raise UnreadableError(f"the answer {word!r} {fields!r:.80}") from None


def _read_load_report(text: bytes | None, columns: Sequence[bytes]) -> list[float] | None:
    if text is None or not columns:
        return None
    values = dict(pair.partition(b":")[::2] for pair in text.split(b";"))
    return [float(values.get(column, 0.0)) for column in columns]
