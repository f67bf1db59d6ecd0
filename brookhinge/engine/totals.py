"""Counters since the start of the router, as reported in the log."""

import collections

from brookhinge.decisions.rules import AttemptResult, Refusal, Withdrawal

# Names of the counters in the log.
COUNTS = (
    "queries",
    "satisfied",
    "nacked",
    "errored",
    "left",
    "pushes",
    "timeouts",
    "own",
    "beside",
    "again",
)


class Totals:
    """Counters of requests and attempts.

    Attributes:
        counts: Requests, their outcomes, attempts and clients' retries, by their names in the log.
        refusals: Rejected or failed requests, by reason.
        retries: Attempts after the first of a request, by the result of the previous attempt.
        withdrawals: Withdrawn requests, by reason.
    """

    def __init__(self) -> None:
        self.counts = dict.fromkeys(COUNTS, 0)
        self.refusals: collections.Counter[Refusal | None] = collections.Counter()
        self.retries: collections.Counter[AttemptResult | None] = collections.Counter()
        self.withdrawals: collections.Counter[Withdrawal] = collections.Counter()
