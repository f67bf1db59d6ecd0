"""The trace: one JSON line for each step of each request and connection, in a file that the operator names.

`BROOKHINGE_TRACE` names the file; without it nothing is traced. A request is followed by its `ref`, a
client's connection by its number `client`. Lines are written as they come and are not limited in number: a
trace is for finding a fault, not for service.
"""

import io
import time

import orjson


class Trace:
    """Appends steps to a file; a write that fails ends the trace, never the router."""

    def __init__(self, path: str, name: str, process: int) -> None:
        """Open the file.

        Args:
            path: The file, appended to.
            name: The router's name.
            process: The process id: it tells two starts under one name apart.

        Raises:
            OSError: The file cannot be opened.
        """
        self.name = name
        self.process = process
        self.file = io.FileIO(path, "ab")

    def __call__(self, step: str, ref: str | None = None, **values: object) -> None:
        """Write one step, of the request with the client's id `ref` or of a connection."""
        if self.file is None:
            return
        line = {"steady": time.monotonic(), "router": self.name, "pid": self.process, "step": step}
        if ref is not None:
            line["ref"] = ref
        try:
            data = orjson.dumps({**line, **values}, default=repr, option=orjson.OPT_APPEND_NEWLINE)
            self.file.write(data)
        except (OSError, TypeError):
            self.close()

    def close(self) -> None:
        """End the trace; later steps are ignored."""
        if self.file is not None:
            self.file.close()
            self.file = None
