"""The log: one JSON line an event on standard output."""
import sys
import time

import orjson


class Log:
    def __init__(self, name, sink=None):
        self.name, self.sink = name, sink or sys.stdout.buffer

    def __call__(self, event, **values):
        line = {"at": round(time.time(), 3), "router": self.name, "event": event, **values}
        self.sink.write(orjson.dumps(line, default=repr, option=orjson.OPT_APPEND_NEWLINE))
        self.sink.flush()
