"""Hosts many isolated routers and processes the simulator's lines batch by batch."""

import json
import sys
from collections.abc import Iterable, Iterator
from typing import NamedTuple, TextIO

from brookhinge.decision_settings import read_decision_settings
from brookhinge.decisions.router import Router
from brookhinge.settings_reader import OBJECT, SettingsReader, StartError, check
from brookhinge.simulator_adapter.codec import EndpointRow, InstanceCodec, read_endpoint_row
from brookhinge.simulator_adapter.lines import WireError, read_int, split_values

SHOWN_CHARACTERS = 60  # of a line with settings, shown in an error message


class Instance(NamedTuple):
    """A router and its codec."""

    router: Router
    codec: InstanceCodec


class Host:
    """Holds the instances of one process. They share the numbered endpoint lists and nothing else."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self._lists: dict[str, list[EndpointRow]] = {}

    def batch(self, now_ns: int, lines: Iterable[str]) -> list[str]:
        """Process one batch and return the reply lines; raise WireError for a line that cannot be parsed."""
        reply: list[str] = []
        for number, instance in self._read(now_ns, iter(lines)).items():
            decided = self._decide(instance, now_ns)
            if decided:
                reply.append(f"CONTEXT {number}")
                reply.extend(decided)
        return reply

    def _read(self, now_ns: int, lines: Iterator[str]) -> dict[int, Instance]:
        """Decode all lines of a batch; return the instances that they concern, in order of first mention."""
        affected: dict[int, Instance] = {}
        current: int | None = None
        for line in lines:
            event = line.partition(" ")[0]
            if event == "ABOUT":
                current = read_int(
                    split_values(line, 1, "ABOUT with an instance number")[0], line, "an instance number"
                )
            elif event == "REGISTER":
                self._read_list(line, lines)
            elif current is None:
                raise WireError(f"line {line!r}: expected ABOUT before the events of an instance")
            elif event == "BEGIN":
                self.instances[current] = affected[current] = self._start(line, now_ns)
            elif event == "DESTROY":
                self.instances.pop(current, None)
                affected.pop(current, None)
            else:
                instance = self.instances.get(current)
                if instance is None:
                    raise WireError(f"line {line!r}: expected BEGIN first for instance {current}")
                affected[current] = instance
                instance.codec.decode(event, line)
        return affected

    def _read_list(self, line: str, lines: Iterator[str]) -> None:
        """Read a numbered endpoint list, whose rows are the next lines."""
        number, rows, *_ = split_values(line, 2, "REGISTER with a list number and a row count")
        count = read_int(rows, line, "a row count")
        self._lists[number] = [read_endpoint_row(next(lines, "")) for _ in range(count)]

    def _start(self, line: str, now_ns: int) -> Instance:
        """Create an instance from the settings in a BEGIN line."""
        seed, _, text = line.removeprefix("BEGIN ").partition(" ")
        shown = line[:SHOWN_CHARACTERS]
        try:
            options = json.loads(text)
            settings = read_decision_settings(SettingsReader(check("Options", options, OBJECT), "Options"))
        except StartError as error:
            raise WireError(f"line {shown!r}...: {error}") from None
        except ValueError as error:
            raise WireError(f"line {shown!r}...: expected settings as a JSON object: {error!r}") from None
        router = Router(read_int(seed, shown, "a seed"), **settings._asdict())
        class_index = {one.name: i for i, one in enumerate(settings.request_classes)}
        zone_index = {zone: i for i, zone in enumerate(options.get("Zones", []))}
        return Instance(router, InstanceCodec(now_ns, class_index, zone_index, self._lists))

    def _decide(self, instance: Instance, now_ns: int) -> list[str]:
        """Run one round of an instance; return its decisions as lines."""
        router, codec = instance
        messages = codec.take_messages()
        try:
            router.process(codec.seconds(now_ns), messages, codec)
            decided = codec.lines
        except Exception as error:  # reported to the simulator by a PANIC line
            decided = [_panic(error)]
        codec.settle_ended(messages)
        return decided


def _panic(error: Exception) -> str:
    """Return the line that reports an exception in the decisions, with the line number that raised it."""
    traceback = error.__traceback__
    while traceback.tb_next:
        traceback = traceback.tb_next
    text = f"PANIC {type(error).__name__}: {error} (decide line {traceback.tb_lineno})"
    return text.replace("\n", " ")


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Serve batches until the input ends; return the exit status, 2 for input that cannot be parsed."""
    host = Host()
    now_ns: int | None = None
    lines: list[str] = []
    try:
        for raw in source:
            line = raw.rstrip("\n")
            if line.startswith("BEGIN_BATCH"):
                now_ns = read_int(split_values(line, 1, "BEGIN_BATCH with a time")[0], line, "a time")
                lines = []
            elif now_ns is None:
                raise WireError(f"line {line!r}: expected BEGIN_BATCH")
            elif line == "EOB":
                sink.write("\n".join([*host.batch(now_ns, lines), "ACK"]) + "\n")
                sink.flush()
                now_ns = None
            else:
                lines.append(line)
        if now_ns is not None:
            raise WireError("end of input inside a batch: expected EOB")
    except WireError as error:
        print(f"brookhinge: {error}", file=sys.stderr)
        return 2
    return 0
