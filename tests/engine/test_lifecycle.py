"""Tests of the process lifecycle: allowed transitions between phases, and what is logged."""

import itertools

import pytest

from brookhinge.engine.errors import EngineError
from brookhinge.engine.lifecycle import TRANSITIONS, Lifecycle, Phase, TransitionError


def create_lifecycle(*phases):
    """Returns a lifecycle that has advanced through `phases`, and the list of logged phases."""
    logged = []
    lifecycle = Lifecycle(lambda event, **values: logged.append((event, str(values["phase"]))))
    for phase in phases:
        lifecycle.advance(phase)
    return lifecycle, logged


def test_each_phase_is_logged_under_its_log_name():
    lifecycle, logged = create_lifecycle(Phase.READY, Phase.DRAINING, Phase.FINISHING, Phase.ENDED)
    assert logged == [("phase", "ready"), ("phase", "leaving"), ("phase", "finishing"), ("phase", "ended")]
    assert lifecycle.phase is Phase.ENDED


def test_health_checks_pass_only_in_the_ready_phase():
    lifecycle, _ = create_lifecycle()
    readiness = [lifecycle.is_ready]
    for phase in (Phase.READY, Phase.DRAINING, Phase.FINISHING, Phase.ENDED):
        lifecycle.advance(phase)
        readiness.append(lifecycle.is_ready)
    assert readiness == [False, True, False, False, False]


@pytest.mark.parametrize("current, following", itertools.product(Phase, Phase))
def test_only_allowed_transitions_change_the_phase(current, following):
    lifecycle, logged = create_lifecycle()
    lifecycle.phase = current
    if following in TRANSITIONS[current]:
        lifecycle.advance(following)
        assert lifecycle.phase is following
    else:
        with pytest.raises(TransitionError) as raised:
            lifecycle.advance(following)
        assert isinstance(raised.value, EngineError)
        assert lifecycle.phase is current and logged == []
