"""Codec of the simulator's protocol: decodes events to router messages and encodes decisions as lines.

Only this package knows the event and action names of that protocol. Decoding converts clock times to seconds
since the start of the instance and request ids to small integers; encoding converts both back.
"""

from collections.abc import Callable
from typing import NamedTuple

from brookhinge.decisions.messages import (
    AttemptEnded,
    Endpoint,
    EndpointsListed,
    ObjectsPurged,
    RequestArrived,
    RequestWithdrawn,
    RouterMessage,
)
from brookhinge.decisions.rules import AttemptResult, Refusal
from brookhinge.decisions.sink import Attempt
from brookhinge.settings_reader import NANOSECOND_S
from brookhinge.simulator_adapter.lines import (
    ABSENT,
    WireError,
    check_load,
    read_flag,
    read_int,
    read_optional_float,
    read_optional_int,
    split_values,
)

ATTEMPT_RESULTS = {
    "OK": AttemptResult.SATISFIED,
    "INTERNAL": AttemptResult.ERRORED,
    "RESOURCE_EXHAUSTED": AttemptResult.FULL,
    "DEADLINE_EXCEEDED": AttemptResult.TIMEOUT,
    "UNAVAILABLE": AttemptResult.UNREACHABLE,
    "ABORTED": AttemptResult.BROKEN,
    "CANCELLED": AttemptResult.CANCELLED,
    "TOO_LATE": AttemptResult.MOOT,
    "NOT_FOUND": AttemptResult.MISS,
}
SERVER_STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}
LIST_IS_COMPLETE = {"INCREMENTAL": False, "FULL": True, "SAVED": True}
FAILED_LIST = "FAILED"  # such a list is ignored
UNUSED_EVENTS = ("PEER", "RING")
UNKNOWN_ZONE = -1

# Bits of the options of a FETCH_THROUGH line.
JOINS_FILL_BIT = 1
CACHED_ONLY_BIT = 2
RENEWS_BIT = 8


class EndpointRow(NamedTuple):
    """A row of a numbered endpoint list, shared by instances that differ in start time and zone numbers."""

    weight: float
    started_ns: int  # 0 if the server has run from the beginning
    cell: int
    state: str
    server: int
    kind: str
    zone: str


def read_endpoint_row(line: str) -> EndpointRow:
    """Parse a ROW line."""
    values = split_values(line, 7, "ROW with seven values")
    if not line.startswith("ROW ") or values[3] not in SERVER_STATES:
        raise WireError(f"line {line!r}: expected ROW with a server state")
    return EndpointRow(
        weight=read_optional_float(values[0], line, "a weight"),
        started_ns=read_optional_int(values[1], line, "a start time"),
        cell=read_optional_int(values[2], line, "a cell number"),
        state=SERVER_STATES[values[3]],
        server=read_int(values[4], line, "a server id"),
        kind=values[5],
        zone=values[6],
    )


class InstanceCodec:
    """Decodes the events of one instance and encodes its router's decisions, as their sink.

    It does not implement the sink's methods for copies.

    Attributes:
        inbox: Messages decoded since the last `take_messages`.
        lines: Decisions encoded since the last `take_messages`.
        wire_ids: The protocol's id of each request that is open or has an attempt in flight.
        attempts_in_flight: For each of those requests, its number of attempts in flight and whether it ended.
    """

    def __init__(
        self,
        start_ns: int,
        class_index: dict[str, int],
        zone_index: dict[str, int],
        lists: dict[str, list[EndpointRow]],
    ) -> None:
        """Take the start time, indices by name, and the numbered lists of the process as read so far."""
        self._start_ns = start_ns
        self._class_index = class_index
        self._zone_index = zone_index
        self._lists = lists
        self._next_id = 0
        self._request_ids: dict[str, int] = {}
        self.wire_ids: dict[int, str] = {}
        self.attempts_in_flight: dict[int, tuple[int, bool]] = {}
        self.inbox: list[RouterMessage] = []
        self.lines: list[str] = []

    def seconds(self, clock_ns: int) -> float:
        """Convert a time of the simulator's clock to seconds since the start of the instance."""
        return (clock_ns - self._start_ns) * NANOSECOND_S

    def take_messages(self) -> list[RouterMessage]:
        """Return the decoded messages, and clear both the messages and the encoded lines."""
        inbox = self.inbox
        self.inbox = []
        self.lines = []
        return inbox

    def settle_ended(self, messages: list[RouterMessage]) -> None:
        """Forget the requests that ended with these messages."""
        for message in messages:
            if isinstance(message, (AttemptEnded, RequestWithdrawn)):
                in_flight, has_ended = self.attempts_in_flight.get(message.request_id, (0, False))
                if has_ended:
                    self._settle(message.request_id, in_flight)

    # decisions

    def forward(self, request_id: int, attempt: Attempt) -> None:
        """Encode an attempt."""
        in_flight, has_ended = self.attempts_in_flight[request_id]
        self.attempts_in_flight[request_id] = (in_flight + 1, has_ended)
        options = (
            JOINS_FILL_BIT * attempt.joins_fill
            + CACHED_ONLY_BIT * attempt.cached_only
            + RENEWS_BIT * attempt.revalidates
        )
        max_age_ns = max(1, int(attempt.max_age_s / NANOSECOND_S)) if attempt.max_age_s > 0 else 0
        deadline_ns = self._start_ns + int(attempt.deadline / NANOSECOND_S + 0.5)
        self.lines.append(
            f"FETCH_THROUGH {self.wire_ids[request_id]} {attempt.server} {deadline_ns} {attempt.fill_from} "
            f"{int(attempt.retention)} {max_age_ns} {options}"
        )

    def reject(self, request_id: int, retry_after_s: float, reason: Refusal | None = None) -> None:
        """Encode a rejection."""
        self.lines.append(f"DENY {self.wire_ids[request_id]} {int(retry_after_s / NANOSECOND_S)}")
        self._settle(request_id, self.attempts_in_flight[request_id][0])

    def fail(self, request_id: int, reason: Refusal | None = None) -> None:
        """Encode a failure."""
        self.lines.append(f"GIVE_UP {self.wire_ids[request_id]}")
        self._settle(request_id, self.attempts_in_flight[request_id][0])

    def log(self, text: str) -> None:
        """Encode a log line."""
        self.lines.append("DEBUG " + text.replace("\n", " "))

    def _settle(self, request_id: int, in_flight: int) -> None:
        """Mark a request as ended, and forget it when no attempt is in flight."""
        if request_id not in self.wire_ids:
            return
        if in_flight <= 0:
            del self._request_ids[self.wire_ids.pop(request_id)]
            self.attempts_in_flight.pop(request_id, None)
        else:
            self.attempts_in_flight[request_id] = (in_flight, True)

    # events

    def decode(self, event: str, line: str) -> None:
        """Decode an event line named `event`; raise WireError if it cannot be parsed."""
        decoder = DECODERS.get(event)
        if decoder is not None:
            decoder(self, line)
        elif event not in UNUSED_EVENTS:
            raise WireError(f"line {line!r}: expected an event, got {event!r}")

    def _decode_request(self, line: str) -> None:
        values = split_values(line, 10, "QUERY with ten values")
        wire_id, part, class_name, _, _, is_write, group, key, size_kb, timeout_ns, *_ = values
        if class_name not in self._class_index:
            raise WireError(f"line {line!r}: expected a known class, got {class_name!r}")
        request_id = self._next_id
        self._next_id += 1
        self.wire_ids[request_id] = wire_id
        self._request_ids[wire_id] = request_id
        self.attempts_in_flight[request_id] = (0, False)
        self.inbox.append(
            RequestArrived(
                request_id,
                self._class_index[class_name],
                key,
                read_optional_int(part, line, "a part number"),
                read_optional_int(group, line, "a group number"),
                read_optional_float(size_kb, line, "a size"),
                is_write == "1",
                read_optional_int(timeout_ns, line, "a time budget") * NANOSECOND_S,
            )
        )

    def _decode_attempt_end(self, line: str) -> None:
        values = split_values(line, 6, "OUTCOME with at least six values")
        wire_id, attempt, server, result, took_ns, ends_request, note, waited_ns, load, *_ = values
        request_id = self._known_request(wire_id, line)
        if result not in ATTEMPT_RESULTS:
            raise WireError(f"line {line!r}: expected an outcome, got {result!r}")
        if request_id is None:
            return
        is_final = read_flag(ends_request, line)
        read_int(attempt, line, "an attempt number")
        self.inbox.append(
            AttemptEnded(
                request_id,
                read_int(server, line, "a server id"),
                ATTEMPT_RESULTS[result],
                read_int(took_ns, line, "a duration") * NANOSECOND_S,
                is_final,
                read_optional_int(note, line, "a response note"),
                read_optional_int(waited_ns, line, "a duration") * NANOSECOND_S,
            )
        )
        check_load(load, line)
        in_flight, has_ended = self.attempts_in_flight[request_id]
        self.attempts_in_flight[request_id] = (in_flight - 1, has_ended or is_final)

    def _decode_withdrawal(self, line: str) -> None:
        wire_id = split_values(line, 1, "CLIENT_LEFT with a request id")[0]
        request_id = self._known_request(wire_id, line)
        if request_id is not None:
            self.inbox.append(RequestWithdrawn(request_id))
            self.attempts_in_flight[request_id] = (self.attempts_in_flight[request_id][0], True)

    def _decode_list(self, line: str) -> None:
        kind, _, number, *_ = split_values(line, 3, "TARGETS with three values")
        if kind == FAILED_LIST:
            return
        if kind not in LIST_IS_COMPLETE:
            raise WireError(f"line {line!r}: expected a kind of list, got {kind!r}")
        rows = self._lists.get(number)
        if rows is None:
            raise WireError(f"line {line!r}: expected a list given by REGISTER, got {number!r}")
        self.inbox.append(EndpointsListed(LIST_IS_COMPLETE[kind], [self._endpoint(row) for row in rows]))

    def _decode_purge(self, line: str) -> None:
        group, age_ns, key, *_ = split_values(line, 2, "PURGED with two values")
        self.inbox.append(
            ObjectsPurged(
                group=read_optional_int(group, line, "a group number"),
                age_s=read_optional_int(age_ns, line, "an age") * NANOSECOND_S,
                key="" if key == ABSENT else key,
            )
        )

    def _check_health_result(self, line: str) -> None:
        """Check a health result, which the decisions never request and do not use."""
        _, took_ns, server, load, *_ = split_values(line, 3, "HEALTH_RESULT with three values")
        read_int(server, line, "a server id")
        read_int(took_ns, line, "a duration")
        check_load(load, line)

    def _check_first_byte(self, line: str) -> None:
        """Check a first-byte notice, which the decisions do not use."""
        self._known_request(split_values(line, 4, "FIRST with four values")[0], line)

    def _known_request(self, wire_id: str, line: str) -> int | None:
        """Return the request with an id of the protocol; None if it is unknown or forgotten."""
        request_id = self._request_ids.get(wire_id)
        if request_id is None and not wire_id:
            raise WireError(f"line {line!r}: expected a request id")
        return request_id

    def _endpoint(self, row: EndpointRow) -> Endpoint:
        return Endpoint(
            server=row.server,
            state=row.state,
            weight=row.weight,
            started_at=self.seconds(row.started_ns) if row.started_ns else None,
            cell=row.cell,
            kind=row.kind,
            zone=self._zone_index.get(row.zone, UNKNOWN_ZONE),
        )


DECODERS: dict[str, Callable[[InstanceCodec, str], None]] = {
    "QUERY": InstanceCodec._decode_request,
    "OUTCOME": InstanceCodec._decode_attempt_end,
    "CLIENT_LEFT": InstanceCodec._decode_withdrawal,
    "TARGETS": InstanceCodec._decode_list,
    "PURGED": InstanceCodec._decode_purge,
    "HEALTH_RESULT": InstanceCodec._check_health_result,
    "FIRST": InstanceCodec._check_first_byte,
}
