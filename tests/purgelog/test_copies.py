"""The decisions: own copies are used only while it is proven that no purge is missing, and the rule only takes away."""

import math

import pytest

from brookhinge.decisions.local_cache import LocalCopy
from brookhinge.purgelog.backfill import PurgeSet
from brookhinge.purgelog.copies import ProvenCopiesMixin
from brookhinge.purgelog.log import fingerprint
from brookhinge.purgelog.messages import Entry, Kind
from brookhinge.purgelog.subscription import CopyRule


class Doc:
    def __init__(self, key, group=1):
        self.key, self.group, self.code = key, group, key


class Asked:
    class_index = 0

    def __init__(self, doc):
        self.object = doc


class Held:
    """The copies of a Router, as far as the rule looks at them."""

    def __init__(self):
        self.copies = {}

    def drop(self, names, sink):
        for name in names:
            del self.copies[name]


class PlainRouter:
    """Answers from memory whatever it holds."""

    def __init__(self):
        self.local_cache, self.sink, self.now = Held(), None, 0.0

    def respond_from_copy(self, request):
        return (request.class_index, request.object.code) in self.local_cache.copies


class Router(ProvenCopiesMixin, PlainRouter):
    def keep(self, doc, made):
        self.local_cache.copies[0, doc.code] = LocalCopy(doc, made, 1)

    def uses(self, doc):
        return self.respond_from_copy(Asked(doc))


@pytest.fixture
def router():
    router = Router()
    router.now = 10.0
    router.keep(Doc("a"), 5.0)
    router.keep(Doc("b"), 6.0)
    return router


def test_without_a_proof_nothing_is_used(router):
    assert not router.uses(Doc("a"))
    router.copy_rule(CopyRule.PROVEN, None)
    assert router.uses(Doc("a"))
    router.copy_rule(CopyRule.STALE, None)
    assert not router.uses(Doc("a"))


def test_what_is_set_aside_comes_back_but_for_what_was_purged(router):
    router.copy_rule(CopyRule.PROVEN, None)
    router.copy_rule(CopyRule.ASIDE, None)
    router.keep(Doc("c"), 11.0)
    assert not router.uses(Doc("a")) and not router.uses(Doc("b")) and router.uses(Doc("c"))
    purges = PurgeSet(
        [fingerprint(Entry(Kind.PURGE, "b", -1, 0)), fingerprint(Entry(Kind.PURGE, "c", -1, 0))]
    )
    router.copy_rule(CopyRule.READMIT, purges)
    assert router.uses(Doc("a")) and not router.uses(Doc("b")) and router.uses(Doc("c"))
    assert set(router.local_cache.copies) == {(0, "a"), (0, "c")}


def test_a_copy_that_was_under_way_while_purges_were_missed_stays_aside(router):
    router.copy_rule(CopyRule.PROVEN, None)
    router.copy_rule(CopyRule.ASIDE, None)
    router.copy_rule(CopyRule.READMIT, PurgeSet([]))
    router.keep(Doc("late"), 9.0)
    assert not router.uses(Doc("late")) and router.uses(Doc("a"))


def test_a_purged_group_stays_out(router):
    router.copy_rule(CopyRule.PROVEN, None)
    router.copy_rule(CopyRule.ASIDE, None)
    router.copy_rule(CopyRule.READMIT, PurgeSet([fingerprint(Entry(Kind.PURGE, "", 1, 0))]))
    assert not router.local_cache.copies


def test_what_cannot_be_known_is_dropped(router):
    router.copy_rule(CopyRule.PROVEN, None)
    router.copy_rule(CopyRule.ASIDE, None)
    router.keep(Doc("c"), 11.0)
    router.copy_rule(CopyRule.DROP, None)
    assert set(router.local_cache.copies) == {(0, "c")} and router.aside_until < math.inf


def test_a_router_that_has_just_begun_to_read_drops_what_it_kept_before(router):
    router.copy_rule(CopyRule.RESET, None)
    router.copy_rule(CopyRule.PROVEN, None)
    router.keep(Doc("a"), 5.0)
    router.keep(Doc("c"), 11.0)
    assert not router.uses(Doc("a")) and router.uses(Doc("c"))
