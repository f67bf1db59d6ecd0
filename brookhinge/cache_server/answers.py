"""Answers of a cache server, with their counts and the load report that routers read."""

from collections.abc import Callable, Sequence

from brookhinge.cache_server import protocol
from brookhinge.cache_server.protocol import AnswerFields, Request
from brookhinge.store import ReadResult
from brookhinge.store.copies import UNKNOWN_GROUP

_NOTES_OF_HITS = ("hit", "stale")
_HIT_SHARE_WEIGHT = 0.05  # of one answer in the moving average
_INITIAL_HIT_SHARE = 0.5


class AnswerEncoder:
    """Encodes the answers of one cache server."""

    def __init__(
        self,
        counters: dict[str, int],
        reported: Sequence[str],
        load: Callable[[], dict[str, float]],
    ) -> None:
        """Make an encoder.

        Args:
            counters: Of the server; each answer is counted by its note or word.
            reported: The fields of the load report; none: answers bear no report.
            load: The values of the report by the names of its fields, but for `x0`, the share of hits.
        """
        self._counters = counters
        self._reported = reported
        self._load = load
        self._hit_share = _INITIAL_HIT_SHARE

    def copy(
        self, request_id: bytes, request: Request, copy: ReadResult, note: str, source_wait_s: float
    ) -> bytes:
        """Answer with a copy, or that the client's copy is the same."""
        self._counters[note] += 1
        self._hit_share += _HIT_SHARE_WEIGHT * ((note in _NOTES_OF_HITS) - self._hit_share)
        group = None if copy.group == UNKNOWN_GROUP else copy.group
        fields = protocol.encode_copy_fields(note, copy.tag, copy.dated, group, source_wait_s)
        fields += self._load_report()
        if request.known_tag and request.known_tag == copy.tag:
            self._counters["unchanged"] += 1
            return protocol.encode_answer(request_id, protocol.UNCHANGED, fields)
        self._counters["sent_bytes"] += len(copy.body)
        return protocol.encode_answer(request_id, protocol.DATA, fields, copy.body)

    def without_copy(self, request_id: bytes, word: bytes, note: str) -> bytes:
        """Answer that there is no copy, by a word of the protocol."""
        self._counters[word.decode()] += 1
        return protocol.encode_answer(request_id, word, [*protocol.encode_note(note), *self._load_report()])

    def _load_report(self) -> AnswerFields:
        if not self._reported:
            return []
        values = {**self._load(), "x0": self._hit_share}
        return [protocol.encode_load_report((name, values.get(name, 0)) for name in self._reported)]
