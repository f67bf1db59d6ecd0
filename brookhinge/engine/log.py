"""The log: one JSON line an event on standard output."""

import sys
import time

import orjson


MOST = 20  # lines of one event in a second; of the rest the next one tells how many there were


class Log:
    def __init__(self, name, sink=None):
        self.name, self.sink, self.said = name, sink or sys.stdout.buffer, {}

    def __call__(self, event, **values):
        now = int(time.monotonic())
        second, lines, unsaid = self.said.get(event, (now, 0, 0))
        if second != now:
            second, lines = now, 0
        if lines >= MOST:
            self.said[event] = second, lines, unsaid + 1
            return
        self.said[event] = second, lines + 1, 0
        line = {"at": round(time.time(), 3), "router": self.name, "event": event, **values}
        if unsaid:
            line["unsaid"] = unsaid
        try:
            text = orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE)
        except TypeError:  # a text that is no Unicode: ids of servers come as they were told
            text = ascii(line).encode() + b"\n"
        try:
            self.sink.write(text)
            self.sink.flush()
        except OSError:  # nobody reads it any more: no reason to end
            pass
