"""What the bound rests on; docs/design/limits.md derives it. Seconds, and parts of a whole."""

BEAT = 0.25  # between two tellings of a keeper, and between two looks at demand
TERM = 3.0  # what a holder gives it does without for so long, by its own clock, from the word on
LEND = 1.5  # what a keeper lends ends so long after the asking, by the borrower's clock
DRIFT = 0.01  # clocks of two routers run apart by less than this part
LEAST = (
    0.5  # of its own part a holder never gives away: a process that takes its name's place may use so much
)
SILENT = 1.0  # a process that has just started uses nothing of its own: its peers have to hear of it first
START = TERM * (1.0 + DRIFT) + SILENT  # and only the least until what a predecessor gave away has ended
HEAD = 1.25  # a holder keeps, or asks for, so many times what was asked of it lately
FADE = 5.0  # over which that is averaged: a router with few queries is asked in lumps
ROWS = 16  # limits in one datagram
