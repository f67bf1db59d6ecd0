"""The trace: one JSON line for each step of each query and connection, in a file that the operator names.

`BROOKHINGE_TRACE` names the file; without it nothing is traced. A query is followed by its `ref`, a connection of a client by
its number `client`. Lines are written as they come, not limited in number: it is for finding a fault, not for service."""

import time

import orjson


class Trace:
    """Writes steps to a file that is open for appending; a write that fails ends the trace, never the router."""

    def __init__(self, path, name, process):
        """process: its id, so that two starts under one name can be told apart."""
        self.name, self.process = name, process
        self.file = open(path, "ab", buffering=0)

    def __call__(self, step, ref=None, **values):
        if self.file is None:
            return
        line = {"steady": time.monotonic(), "router": self.name, "pid": self.process, "step": step}
        if ref is not None:
            line["ref"] = ref
        try:
            text = orjson.dumps({**line, **values}, default=repr, option=orjson.OPT_APPEND_NEWLINE)
            self.file.write(text)
        except (OSError, TypeError):
            self.close()

    def close(self):
        if self.file is not None:
            self.file.close()
            self.file = None
