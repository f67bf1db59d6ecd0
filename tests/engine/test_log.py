"""The log never waits for its reader."""

import fcntl
import json
import os

from brookhinge.engine.log import Log

PAGE = 4096  # the least that a pipe holds


def piped():
    """A log, and the end of the pipe that it writes to."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PAGE)
    return Log("n1", os.fdopen(writer, "wb")), reader


def lines(reader):
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_a_reader_that_stops_costs_lines_and_not_the_router():
    """Each line that has no room is counted in the next one of its event."""
    log, reader = piped()
    for number in range(10):
        log("tick", number=number, text="x" * 500)
    read = lines(reader)
    log("tick", number=10)
    (last,) = lines(reader)
    assert [line["number"] for line in read] == list(range(len(read))) and 0 < len(read) < 10
    assert last["unsaid"] == 10 - len(read)


def test_a_line_longer_than_a_write_of_one_piece_is_written_whole_or_not_at_all():
    log, reader = piped()
    log("long", text="x" * 2 * PAGE)
    log("short")
    assert [line["event"] for line in lines(reader)] == ["short"]


def test_a_reader_that_has_gone_ends_nothing():
    log, reader = piped()
    os.close(reader)
    log("tick")
    assert log.line_counts["tick"][2] == 0
