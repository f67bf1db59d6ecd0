"""Builds and counts the answers of a cache server and adds the load report that routers read."""

from collections.abc import Callable, Sequence

from brookhinge.cache_server import protocol
from brookhinge.cache_server.protocol import AnswerFields, Request
from brookhinge.store import ReadResult
from brookhinge.store.copies import UNKNOWN_GROUP

_HIT_NOTES = ("hit", "stale")
_HIT_RATIO_WEIGHT = 0.05  # weight of one answer in the moving average
_INITIAL_HIT_RATIO = 0.5


class AnswerEncoder:
    """Encodes the answers of one cache server."""

    def __init__(
        self,
        counters: dict[str, int],
        report_fields: Sequence[str],
        load: Callable[[], dict[str, float]],
    ) -> None:
        """Create an encoder.

        Args:
            counters: Counters of the server; each answer is counted under its note or its status.
            report_fields: Names of the fields in the load report; if empty, answers have no report.
            load: Returns the values of the report by field name, except `x0`, the hit ratio.
        """
        self._counters = counters
        self._report_fields = report_fields
        self._load = load
        self._hit_ratio = _INITIAL_HIT_RATIO

    def copy(
        self, request_id: bytes, request: Request, copy: ReadResult, note: str, source_wait_s: float
    ) -> bytes:
        """Encode an answer with a copy, or `unchanged` if the client has the same copy.

        Args:
            request_id: Id of the request, which begins the answer.
            request: The request.
            copy: The copy to send.
            note: How the server obtained the copy.
            source_wait_s: How long the answer waited for a fill; 0 if it did not.
        """
        self._counters[note] += 1
        self._hit_ratio += _HIT_RATIO_WEIGHT * ((note in _HIT_NOTES) - self._hit_ratio)
        group = None if copy.group == UNKNOWN_GROUP else copy.group
        fields = protocol.encode_copy_fields(note, copy.tag, copy.dated, group, source_wait_s)
        fields += self._load_report()
        if request.known_tag and request.known_tag == copy.tag:
            self._counters["unchanged"] += 1
            return protocol.encode_answer(request_id, protocol.UNCHANGED, fields)
        self._counters["sent_bytes"] += len(copy.body)
        return protocol.encode_answer(request_id, protocol.DATA, fields, copy.body)

    def without_copy(self, request_id: bytes, status: bytes, note: str) -> bytes:
        """Encode an answer without a copy, with a status of the protocol."""
        self._counters[status.decode()] += 1
        return protocol.encode_answer(request_id, status, [*protocol.encode_note(note), *self._load_report()])

    def _load_report(self) -> AnswerFields:
        if not self._report_fields:
            return []
        values = {**self._load(), "x0": self._hit_ratio}
        return [protocol.encode_load_report((name, values.get(name, 0)) for name in self._report_fields)]
