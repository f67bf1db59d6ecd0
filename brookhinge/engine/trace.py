"""Writes the trace: one JSON line for each step of each request and connection.

`BROOKHINGE_TRACE` names the file; if it is not set, nothing is traced. Steps of a request share its `ref`,
steps of a client connection its `client` number. Lines are written immediately and without a rate limit: the
trace is meant for debugging, not for production.
"""

import io
import time

import orjson


class Trace:
    """Appends steps to a file; a failed write ends the trace, but not the router."""

    def __init__(self, path: str, name: str, process: int) -> None:
        """Open the file.

        Args:
            path: Path of the file to append to.
            name: The router's name.
            process: The process id, which distinguishes two runs of a router with the same name.

        Raises:
            OSError: The file could not be opened.
        """
        self.name = name
        self.process = process
        self.file = io.FileIO(path, "ab")

    def __call__(self, step: str, ref: str | None = None, **values: object) -> None:
        """Write one step of a connection, or of the request with the client's id `ref`."""
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
