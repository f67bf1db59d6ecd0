"""The log never blocks on its reader."""

import fcntl
import json
import os

from brookhinge.engine.log import Log

PIPE_BYTES = 4096  # smallest capacity of a pipe


def create_piped_log():
    """Returns a log that writes to a pipe, and the read end of the pipe."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    return Log("n1", os.fdopen(writer, "wb")), reader


def read_lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_lines_are_dropped_and_counted_while_the_reader_is_stalled():
    """The next line of the same event has the number of dropped lines."""
    log, reader = create_piped_log()
    for number in range(10):
        log("tick", number=number, text="x" * 500)
    received = read_lines(reader)
    log("tick", number=10)
    (last,) = read_lines(reader)
    assert [line["number"] for line in received] == list(range(len(received))) and 0 < len(received) < 10
    assert last["unsaid"] == 10 - len(received)


def test_line_longer_than_an_atomic_write_is_never_written_in_part():
    log, reader = create_piped_log()
    log("long", text="x" * 2 * PIPE_BYTES)
    log("short")
    assert [line["event"] for line in read_lines(reader)] == ["short"]


def test_closed_pipe_raises_nothing_and_lines_count_as_written():
    log, reader = create_piped_log()
    os.close(reader)
    log("tick")
    assert log.line_counts["tick"][2] == 0
