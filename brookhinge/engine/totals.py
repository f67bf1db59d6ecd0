"""Totals since the start, as the log reports them."""

import collections

from brookhinge.decisions.rules import AttemptResult, Refusal, Withdrawal

# The names are those of the log.
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
    """What became of requests.

    Attributes:
        counts: Requests received, their outcomes, attempts and retries, under the names of the log.
        refusals: Requests that were rejected or failed, by reason.
        retries: Further attempts, by the result of the one before.
        withdrawals: Requests that no response is owed to any more, by reason.
    """

    def __init__(self) -> None:
        self.counts = dict.fromkeys(COUNTS, 0)
        self.refusals: collections.Counter[Refusal | None] = collections.Counter()
        self.retries: collections.Counter[AttemptResult | None] = collections.Counter()
        self.withdrawals: collections.Counter[Withdrawal] = collections.Counter()
