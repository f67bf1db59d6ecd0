"""Tests that the configuration is read, and that each error names the key and the expected value."""

import pytest
from helpers import configuration, load_site, settings

from brookhinge.decisions.settings import Idempotency
from brookhinge.settings_reader import StartError
from brookhinge.startup import read_site


def test_configuration_is_read_with_defaults(tmp_path):
    site = load_site(configuration(), tmp_path)
    assert (site.name, site.listen, site.command_channel, site.seed) == (
        "n1",
        ("127.0.0.1", 0),
        ("127.0.0.1", 9),
        0x8C1F,
    )
    assert (
        site.bounds == (192, 1024, 0, 0)
        and site.upstream == pytest.approx((0.2, 30.0, 32))
        and site.load_columns == [b"util", b"x0"]
    )
    assert [(cls.name, cls.idempotency, cls.timeout_s) for cls in site.decisions.request_classes] == [
        ("page", Idempotency.REPEATABLE, 3.0),
        ("order", Idempotency.ONCE, 3.0),
    ]


@pytest.mark.parametrize(
    "change, message",
    [
        ({"name": None}, "name: missing, expected a string"),
        ({"listen": "here"}, "listen: expected HOST:PORT, got 'here'"),
        ({"channel": "127.0.0.1:70000"}, "channel: expected HOST:PORT, got '127.0.0.1:70000'"),
        ({"seed": 7}, "seed: expected a string, got 7"),
        ({"seed": "xyz"}, "seed: expected hexadecimal digits, got 'xyz'"),
        ({"known": None}, "known: missing, expected an object"),
        ({"known": {"cursor": 1}}, "known.cmds: missing, expected a list"),
        (
            {"known": {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"hosts": [{"host": "s-1"}]}}]}},
            "known.cmds[0]: expected a valid command, got KeyError 'dial': "
            "{'cursor': 1, 'nodes': {'hosts': [{'host': 's-1'}]}}",
        ),
        ({"limits": {"memory_mb": 0}}, "limits.memory_mb: expected more than 0, got 0"),
        ({"limits": {"sockets": "many"}}, "limits.sockets: expected an integer, got 'many'"),
        ({"settings": {}}, "settings.Classes: missing, expected at least one class"),
        ({"settings": {"Classes": [{"Name": "a"}]}}, "settings.Classes[0].AimNs: missing, expected a number"),
        ({"settings": {"Classes": [7]}}, "settings.Classes[0]: expected an object, got 7"),
        (
            {"settings": {"Classes": [{"Name": "a", "AimNs": -1, "DeadlineNs": 1}]}},
            "settings.Classes[0].AimNs: expected a duration of 0 or more, got -1",
        ),
        (
            {"settings": settings(ConnectTimeoutNs=0)},
            "settings.Limits.ConnectTimeoutNs: expected more than 0, got 0",
        ),
        (
            {"settings": settings(MaxAttempts=0)},
            "settings.Limits.MaxAttempts: expected an integer of 1 or more, got 0",
        ),
        ({"settings": {**settings(), "Az": "nowhere"}}, "settings.Az: expected one of Zones, got 'nowhere'"),
        (
            {"settings": {**settings(), "Instances": 0}},
            "settings.Instances: expected an integer of 1 or more, got 0",
        ),
        (
            {"settings": {**settings(), "Rules": {"FallMultiple": 2.0}}},
            "settings.Rules.FallNs: expected more than 0 with FallMultiple or ParentBreaksAt above 0, got 0",
        ),
        (
            {"settings": {**settings(), "Rules": {"ColdFrom": 1.5}}},
            "settings.Rules.ColdFrom: expected a number from 0 to 1, got 1.5",
        ),
        (
            {"settings": {**settings(), "Specifics": {"UpperKind": 3}}},
            "settings.Specifics.UpperKind: expected an integer from -1 to 2, got 3",
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
            "settings.Classes[1].Name: expected a name that no other class has, got 'a'",
        ),
        ({"settings": settings(Multiplex=0)}, "settings.Limits.Multiplex: expected more than 0, got 0"),
        (
            {"settings": {**settings(), "Specifics": {"GoodForNs": ["x"]}}},
            "settings.Specifics.GoodForNs[0]: expected a number, got 'x'",
        ),
    ],
)
def test_invalid_value_raises_an_error_that_names_its_key(tmp_path, change, message):
    with pytest.raises(StartError) as error:
        load_site({**configuration(), **change}, tmp_path)
    assert str(error.value) == message


def test_missing_file_invalid_json_and_non_object_are_rejected(tmp_path):
    with pytest.raises(StartError, match=r"^BALANCER_CONFIG: expected a readable file, got '/no/such'"):
        read_site({"BALANCER_CONFIG": "/no/such"})
    with pytest.raises(StartError, match=r"^BALANCER_CONFIG: expected JSON, got "):
        load_site("{", tmp_path)
    with pytest.raises(StartError, match=r"^BALANCER_CONFIG: expected an object, got "):
        load_site("[]", tmp_path)
