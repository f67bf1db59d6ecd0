"""The configuration: each fault is told by its key and what was expected."""

import pytest
from helpers import configuration, load_site, settings

from brookhinge.decisions.settings import Idempotency
from brookhinge.settings_reader import StartError
from brookhinge.startup import read_site


def test_a_configuration_as_read(tmp_path):
    site = load_site(configuration(), tmp_path)
    assert (site.name, site.listen, site.channel, site.seed) == (
        "n1",
        ("127.0.0.1", 0),
        ("127.0.0.1", 9),
        0x8C1F,
    )
    assert (
        site.bounds == (192, 1024, 0, 0)
        and site.upstream == pytest.approx((0.2, 30.0, 32))
        and site.columns == [b"util", b"x0"]
    )
    assert [(t.name, t.idempotency, t.timeout_s) for t in site.decisions.request_classes] == [
        ("page", Idempotency.REPEATABLE, 3.0),
        ("order", Idempotency.ONCE, 3.0),
    ]


@pytest.mark.parametrize(
    "change, message",
    [
        ({"name": None}, "name: missing, expected a text"),
        ({"listen": "here"}, "listen: expected HOST:PORT, got 'here'"),
        ({"channel": "127.0.0.1:70000"}, "channel: expected HOST:PORT, got '127.0.0.1:70000'"),
        ({"seed": 7}, "seed: expected a text, got 7"),
        ({"seed": "xyz"}, "seed: expected hex digits, got 'xyz'"),
        ({"known": None}, "known: missing, expected an object"),
        ({"known": {"cursor": 1}}, "known.cmds: missing, expected a list"),
        (
            {"known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"hosts": [{"host": "s-1"}]}}]}},
            "known.cmds[0]: expected a command, cannot read KeyError 'dial': "
            "{'cursor': 1, 'nodes': {'hosts': [{'host': 's-1'}]}}",
        ),
        ({"limits": {"memory_mb": 0}}, "limits.memory_mb: expected more than 0, got 0"),
        ({"limits": {"sockets": "many"}}, "limits.sockets: expected a whole number, got 'many'"),
        ({"settings": {}}, "settings.Classes: missing, expected one class at least"),
        ({"settings": {"Classes": [{"Name": "a"}]}}, "settings.Classes[0].AimNs: missing, expected a number"),
        ({"settings": {"Classes": [7]}}, "settings.Classes[0]: expected an object, got 7"),
        (
            {"settings": {"Classes": [{"Name": "a", "AimNs": -1, "DeadlineNs": 1}]}},
            "settings.Classes[0].AimNs: expected a time of 0 or more, got -1",
        ),
        (
            {"settings": settings(ConnectTimeoutNs=0)},
            "settings.Limits.ConnectTimeoutNs: expected more than 0, got 0",
        ),
        (
            {"settings": settings(MaxAttempts=0)},
            "settings.Limits.MaxAttempts: expected a whole number of 1 or more, got 0",
        ),
        ({"settings": {**settings(), "Az": "nowhere"}}, "settings.Az: expected one of Zones, got 'nowhere'"),
        (
            {"settings": {**settings(), "Instances": 0}},
            "settings.Instances: expected a whole number of 1 or more, got 0",
        ),
        (
            {"settings": {**settings(), "Rules": {"FallMultiple": 2.0}}},
            "settings.Rules.FallNs: expected more than 0 where cold servers fall at a multiple, got 0",
        ),
        (
            {"settings": {**settings(), "Rules": {"ColdFrom": 1.5}}},
            "settings.Rules.ColdFrom: expected a number from 0 to 1, got 1.5",
        ),
        (
            {"settings": {**settings(), "Specifics": {"UpperKind": 3}}},
            "settings.Specifics.UpperKind: expected a whole number from -1 to 2, got 3",
        ),
        (
            {"settings": {**settings(), "Specifics": {"Says": "much"}}},
            "settings.Specifics.Says: expected one of silent, none, hit, all, got 'much'",
        ),
        (
            {"settings": {"Classes": [{"Name": "a", "Effect": "once"}]}},
            "settings.Classes[0].Effect: expected one of retryable, dedup, fragile, got 'once'",
        ),
        (
            {"settings": {"Classes": [{"Name": "a", "AimNs": 1, "DeadlineNs": 0}]}},
            "settings.Classes[0].DeadlineNs: expected more than 0, got 0",
        ),
        (
            {"settings": {"Classes": [{"Name": "a", "AimNs": float("nan"), "DeadlineNs": 1}]}},
            "settings.Classes[0].AimNs: expected a number, got nan",
        ),
        (
            {"settings": {"Classes": [{"Name": "a", "AimNs": 1, "DeadlineNs": 1}] * 2}},
            "settings.Classes[1].Name: expected another name, 'a' stands there twice",
        ),
        ({"settings": settings(Multiplex=0)}, "settings.Limits.Multiplex: expected more than 0, got 0"),
        (
            {"settings": {**settings(), "Specifics": {"GoodForNs": ["x"]}}},
            "settings.Specifics.GoodForNs[0]: expected a number, got 'x'",
        ),
    ],
)
def test_a_fault_names_its_key(tmp_path, change, message):
    with pytest.raises(StartError) as fault:
        load_site({**configuration(), **change}, tmp_path)
    assert str(fault.value) == message


def test_no_file_no_json_no_object(tmp_path):
    with pytest.raises(
        StartError, match=r"^BALANCER_CONFIG: expected a file that can be read, got '/no/such'"
    ):
        read_site({"BALANCER_CONFIG": "/no/such"})
    with pytest.raises(StartError, match=r"^BALANCER_CONFIG: expected JSON, got "):
        load_site("{", tmp_path)
    with pytest.raises(StartError, match=r"^BALANCER_CONFIG: expected an object, got "):
        load_site("[]", tmp_path)
