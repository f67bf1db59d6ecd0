"""The lifecycle of the process: which phase may follow which, and what the log says of it."""

import itertools

import pytest

from brookhinge.engine.errors import EngineError
from brookhinge.engine.lifecycle import TRANSITIONS, Lifecycle, Phase, TransitionError


def entered(*phases):
    """A lifecycle after these phases, and the words that were logged."""
    words = []
    lifecycle = Lifecycle(lambda event, **values: words.append((event, str(values["phase"]))))
    for phase in phases:
        lifecycle.advance(phase)
    return lifecycle, words


def test_an_ordinary_life_in_the_words_of_the_log():
    lifecycle, words = entered(Phase.READY, Phase.DRAINING, Phase.FINISHING, Phase.ENDED)
    assert words == [("phase", "ready"), ("phase", "leaving"), ("phase", "finishing"), ("phase", "ended")]
    assert lifecycle.phase is Phase.ENDED


def test_health_checks_pass_while_it_is_ready_alone():
    lifecycle, _ = entered()
    seen = [lifecycle.is_ready]
    for phase in (Phase.READY, Phase.DRAINING, Phase.FINISHING, Phase.ENDED):
        lifecycle.advance(phase)
        seen.append(lifecycle.is_ready)
    assert seen == [False, True, False, False, False]


@pytest.mark.parametrize("current, following", itertools.product(Phase, Phase))
def test_a_phase_that_may_not_follow_is_refused_and_changes_nothing(current, following):
    lifecycle, words = entered()
    lifecycle.phase = current
    if following in TRANSITIONS[current]:
        lifecycle.advance(following)
        assert lifecycle.phase is following
    else:
        with pytest.raises(TransitionError) as raised:
            lifecycle.advance(following)
        assert isinstance(raised.value, EngineError)
        assert lifecycle.phase is current and words == []
