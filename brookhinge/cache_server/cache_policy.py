"""What a box decides of a query: serve, serve and renew behind, fill, join, or turn away. No I/O, no clock.

Kept here because the rules hold at a box as well: a fill source that drains or has gone is asked for nothing new (rule
3), a copy from before a known purge is not served (rule 5; the store sees to it), and what was set aside after a restart
goes out only when its source has said that it is unchanged."""

from typing import NamedTuple

SERVE, RENEW, FILL, JOIN, ABSENT, FULL = "serve", "renew", "fill", "join", "absent", "full"
UP = "ready"


class Track(NamedTuple):
    """Seconds; fresh_s 0: good until purged."""

    fresh_s: float = 0.0
    stale_s: float = 0.0


def judge(pull, track, age_s, aside, source_state, joinable, fills, most_fills):
    """(what to do, note). age_s: of the copy held, None without one; source_state: of the server named, as last told,
    None if it is not listed; joinable: a fill of this part that would do is under way."""
    if age_s is not None and not aside:
        bound = pull.accept_s or track.fresh_s or float("inf")
        if age_s <= bound:
            old = track.fresh_s and age_s > track.fresh_s
            # a renewal is never worth turning somebody away for: it takes a place only while half are free
            if old and pull.renew and source_state == UP and 2 * fills < most_fills:
                return RENEW, "stale"
            return SERVE, "stale" if old else "hit"
    if not pull.source:
        return ABSENT, ""
    if pull.merge and joinable:
        return JOIN, "joined"
    if source_state != UP:
        return FULL, "src_refused"
    if fills >= most_fills:
        return FULL, "no_slot"
    return FILL, ""


def bound_of(pull, track, since_purge_s, since_told_s, aside):
    """The oldest copy, in seconds, that a fill may bring: what the query accepts; younger than the last purge known of
    the object; and for a copy set aside, younger than the time since which nothing told can have been missed."""
    bounds = [pull.accept_s or track.fresh_s]
    if since_purge_s is not None:
        bounds.append(since_purge_s)
    if aside and since_told_s is not None:
        bounds.append(since_told_s)
    return min((b for b in bounds if b), default=0.0)


def after_fill(result, note, source_is_origin, unchanged):
    """(word, note) of the answer to a query whose fill ended with `result`, in the router's words for a push, and with
    that note (numbers of cachewire.NOTES). unchanged: the source said that the copy held is the one, so no bytes came."""
    if result == "satisfied" and unchanged:
        return "data", "hit"
    if result == "satisfied":
        return "data", "via_origin" if source_is_origin or note in (2, 3) else "filled"
    if result == "miss":
        return "absent", "src_lacks"
    if result in ("full", "unreachable"):
        return "full", "src_refused"
    return "failed", "origin_failed" if source_is_origin else "src_broke"
