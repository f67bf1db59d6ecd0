"""Hosts many isolated routers on the simulator's wire: python -m brookhinge.wirehost"""

import json
import sys

from brookhinge.decision_settings import read_decision_settings
from brookhinge.decisions.messages import AttemptEnded, RequestWithdrawn
from brookhinge.decisions.router import Router
from brookhinge.settings_reader import OBJECT, SettingsReader, StartError, check
from brookhinge.wire.codec import Instance, WireError, number, parts, read_row


class Host:
    """The instances of one process. They share the numbered lists as read, and nothing else."""

    def __init__(self):
        self.instances, self.lists = {}, {}

    def batch(self, now, lines):
        """The reply to one batch, as lines."""
        touched, current, reply, rows = {}, None, [], 0
        at = iter(lines)
        for line in at:
            word = line.partition(" ")[0]
            if word == "ABOUT":
                current = number(parts(line, 1, "ABOUT with an instance")[0], line, "an instance")
            elif word == "REGISTER":
                v = parts(line, 2, "REGISTER with a list number and a count")
                rows = number(v[1], line, "a count")
                self.lists[v[0]] = [read_row(next(at, "")) for _ in range(rows)]
            elif current is None:
                raise WireError(f"line {line!r}: expected ABOUT before the events of an instance")
            elif word == "BEGIN":
                seed, _, text = line[6:].partition(" ")
                instance = Instance(current, now)
                try:
                    options = json.loads(text)
                    start = read_decision_settings(
                        SettingsReader(check("Options", options, OBJECT), "Options")
                    )
                except StartError as fault:
                    raise WireError(f"line {line[:60]!r}...: {fault}") from None
                except ValueError as fault:
                    raise WireError(
                        f"line {line[:60]!r}...: expected settings, cannot read {fault!r}"
                    ) from None
                instance.router = Router(number(seed, line[:60], "a seed"), **start._asdict())
                instance.tracks = {t.name: i for i, t in enumerate(start.request_classes)}
                instance.zones = {z: i for i, z in enumerate(options.get("Zones", []))}
                self.instances[current] = touched[current] = instance
            elif word == "DESTROY":
                self.instances.pop(current, None)
                touched.pop(current, None)
            else:
                instance = self.instances.get(current)
                if instance is None:
                    raise WireError(f"line {line!r}: expected BEGIN first for instance {current}")
                touched[current] = instance
                instance.decode(word, line, self.lists)
        for key, instance in touched.items():
            inbox, instance.inbox, instance.lines = instance.inbox, [], []
            try:
                instance.router.process(instance.seconds(now), inbox, instance)
            except Exception as fault:  # the bench reports a fault of the decisions by this line
                where = fault.__traceback__
                while where.tb_next:
                    where = where.tb_next
                instance.lines = [
                    f"PANIC {type(fault).__name__}: {fault} (decide line {where.tb_lineno})".replace(
                        "\n", " "
                    )
                ]
            for message in inbox:
                if (
                    isinstance(message, (AttemptEnded, RequestWithdrawn))
                    and message.request_id in instance.out
                ):
                    pending, over = instance.out[message.request_id]
                    if over:
                        instance.settle(message.request_id, pending)
            if instance.lines:
                reply.append(f"CONTEXT {key}")
                reply.extend(instance.lines)
        return reply


def main(source=sys.stdin, sink=sys.stdout):
    host, now, lines = Host(), None, []
    try:
        for line in source:
            line = line.rstrip("\n")
            if line.startswith("BEGIN_BATCH"):
                now, lines = number(parts(line, 1, "BEGIN_BATCH with a time")[0], line, "a time"), []
            elif now is None:
                raise WireError(f"line {line!r}: expected BEGIN_BATCH")
            elif line == "EOB":
                reply = host.batch(now, lines)
                sink.write("\n".join(reply + ["ACK"]) + "\n")
                sink.flush()
                now = None
            else:
                lines.append(line)
        if now is not None:
            raise WireError("end of input inside a batch: expected EOB")
    except WireError as fault:
        print(f"brookhinge: {fault}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
