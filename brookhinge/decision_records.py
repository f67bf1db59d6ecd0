"""What the decisions remember of one object and of one open query. Plain records: they decide nothing."""

from hashlib import md5

NEVER = -1e9  # a time before any other


def digest(text):
    """A number of 128 bits that is the same for a text in every process."""
    return int.from_bytes(md5(text.encode()).digest(), "big")


class Doc:
    """What is remembered of an object, or of one part of it where it has parts. Times are seconds."""

    def __init__(self, key, part, group):
        self.key, self.part, self.group = key, part, group
        self.code, self.home_code = digest(f"{key}/{part}"), digest(key)
        self.holders = {}  # caches that lately served a kept copy, and when
        self.best = 0.0  # the shortest time an answer took
        self.order, self.order_of = (
            [],
            None,
        )  # the parents in this object's order, and the list it was made of
        self.count = self.asked = self.purges = 0.0
        self.purged_at = self.fresh_at = NEVER

    def is_hit_by(self, key, group):
        """Whether a purge of an object, or else of a group, is one of this object."""
        return self.key == key or not key and self.group == group


class Query:
    """A query without its final answer, and how its last push was sent. Times are seconds."""

    def __init__(self, track, doc, now, left, through):
        self.track, self.doc, self.until, self.through = track, doc, now + left, through
        self.who, self.worth, self.invited = None, 1.0, False  # who may be told when to return; was told to
        self.shots, self.server, self.source, self.sent_at, self.rank = 0, None, None, now, 0
        self.bad, self.bad_sources = set(), set()  # servers and sources that failed it
        self.ran = None  # (zone, cell, time) of the first push that may have run
        self.ended = False  # its client has left
        self.sibling = self.held = self.filling = (
            False  # filled from a cache; from none; from parent or origin
        )
        self.look = self.missed = False  # only looked for, not filled; and not found
        self.local = self.lacks = False  # asked of its parent only if that holds it; it did not
