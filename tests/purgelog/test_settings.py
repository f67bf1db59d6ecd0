"""`control` and `fleet` blocks of the operator's file, intake of a shared command channel, and preferences of routers."""

import itertools

import pytest

from brookhinge.operator import OperatorError, read_text
from brookhinge.purgelog.client import machines_of
from brookhinge.purgelog.intake import RANK_DELAY_S, Intake
from brookhinge.purgelog.messages import Entry, Kind
from brookhinge.purgelog.subscription import preference

KEY = "0123456789abcdef" * 2


def control_block(name, site="s", more=""):
    return f'control "{name}" {{\n  listen = "127.0.0.1:1"\n  site = "{site}"\n  key = "{KEY}"\n{more}}}\n'


def fleet_block(more="  purge_log = true\n"):
    return f'fleet "n1" {{\n  listen = "127.0.0.1:1"\n  join = ["127.0.0.1:2"]\n  site = "s"\n  key = "{KEY}"\n{more}}}\n'


THREE_CONTROLS = "".join(map(control_block, ("c1", "c2", "c3")))


def test_file_with_control_blocks_is_read():
    settings = read_text(THREE_CONTROLS + fleet_block())
    assert list(settings.control) == ["c1", "c2", "c3"] and settings.fleet["n1"].purge_log
    assert settings.control["c1"].proof_s == 3.0 and settings.control["c1"].channel is None
    assert [machine.name for machine in machines_of(settings.control)] == ["c1", "c2", "c3"]


@pytest.mark.parametrize(
    "text, message",
    [
        (
            control_block("c1") + control_block("c2"),
            'line 1: control "c1": expected at least 3 control blocks, got 2',
        ),
        (fleet_block(), 'line 1: fleet "n1": purge_log: expected control blocks in this file, got none'),
        (
            THREE_CONTROLS + control_block("c4", "t"),
            'line 16: control "c4": site, key: expected those of control "c1"',
        ),
        (
            THREE_CONTROLS + control_block("c4", more="  proof_s = 0\n"),
            "proof_s: expected a number from 1 to 60, got 0",
        ),
        (
            THREE_CONTROLS + control_block("c4", more='  serves = "x"\n'),
            "serves: expected a list of texts, got 'x'",
        ),
    ],
)
def test_error_names_block_key_and_line(text, message):
    with pytest.raises(OperatorError) as raised:
        read_text(text)
    assert message in str(raised.value)


def test_routers_prefer_machines_of_their_region_and_else_spread_over_all():
    settings = read_text(
        control_block("c1", more='  region = "west"\n')
        + control_block("c2", more='  region = "east"\n  serves = ["north"]\n')
        + control_block("c3")
    )
    machines = machines_of(settings.control)
    first_choices = {
        region: {preference(f"n{k}", region, machines)[0] for k in range(50)}
        for region in "west east north south".split()
    }
    assert first_choices["west"] == {0} and first_choices["east"] == first_choices["north"] == {1}
    assert first_choices["south"] == {0, 1, 2}


MACHINE_NAMES = ["c1", "c2", "c3"]


@pytest.mark.parametrize("down", [(), ("c1",), ("c2",), ("c1", "c3")])
def test_purge_of_a_shared_channel_is_appended_by_exactly_one_running_machine(down):
    running = {name: Intake(name, MACHINE_NAMES) for name in MACHINE_NAMES if name not in down}
    entries = [Entry(Kind.PURGE, f"o{k}", -1, k) for k in range(30)]
    appended = []
    for intake, entry in itertools.product(running.values(), entries):
        intake.receive(0.0, entry)
    for step in range(4):
        for intake in running.values():
            appended += intake.due(step * RANK_DELAY_S, appended.__contains__)
    assert sorted(appended, key=str) == sorted(entries, key=str)
    assert not any(intake.waiting for intake in running.values())


def test_machine_of_rank_0_appends_at_once():
    entry = Entry(Kind.PURGE, "o", -1, 0)
    ranks = sorted(Intake(name, MACHINE_NAMES).rank(entry) for name in MACHINE_NAMES)
    assert ranks == [0, 1, 2]
    first = next(
        intake
        for intake in (Intake(name, MACHINE_NAMES) for name in MACHINE_NAMES)
        if intake.rank(entry) == 0
    )
    first.receive(5.0, entry)
    assert first.due(5.0, lambda _: False) == [entry]
