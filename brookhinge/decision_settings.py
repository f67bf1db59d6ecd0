"""Reads the settings of a router instance and maps them to the settings of the decisions.

This is the only module that knows the names of these settings. The router on sockets and the simulator
adapter both use it.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from brookhinge.decisions.settings import (
    DeduplicationScope,
    FillPolicy,
    Idempotency,
    Location,
    NoteDetail,
    RequestClass,
    RouterLimits,
    SiblingFills,
    SlowStart,
)
from brookhinge.settings_reader import (
    FLAG,
    INTEGER,
    NANOSECOND_S,
    NUMBER,
    SHOWN_CHARACTERS,
    STRING,
    SettingsReader,
    StartError,
)

IDEMPOTENCY_BY_SETTING = {
    "retryable": Idempotency.REPEATABLE,
    "dedup": Idempotency.KEYED,
    "fragile": Idempotency.ONCE,
}
SCOPE_BY_SETTING = {scope.value: scope for scope in DeduplicationScope}
SIBLINGS_BY_SETTING = {
    "silent": SiblingFills.NONE,
    "": SiblingFills.NONE,
    **{fills.value: fills for fills in SiblingFills},
}
NOTES_BY_SETTING = {
    "silent": NoteDetail.NONE,
    "": NoteDetail.NONE,
    **{detail.value: detail for detail in NoteDetail},
}
MEANINGFUL_WEIGHT_SOURCES = ("nominal", "rough", "live")  # values of WeightSource
# Names of load report columns in the settings and at the servers; other columns have the same name in both.
REPORT_COLUMNS = {"cpu": "util", "active": "inflight", "waiting": "queue"}
NO_MACHINE_TYPE = -1


class DecisionSettings(NamedTuple):
    """Settings of `brookhinge.decisions.router.Router`, named like its arguments. Times are seconds."""

    request_classes: list[RequestClass]
    location: Location
    limits: RouterLimits
    fill_policy: FillPolicy
    cache_slow_start: SlowStart
    parent_slow_start: SlowStart
    purge_settled_s: float
    server_kinds: tuple[str, str]  # the names of parents and of the origin in the endpoint list


def read_decision_settings(settings: SettingsReader) -> DecisionSettings:
    """Read the settings of a router instance.

    Raises:
        StartError: A setting is missing or its value is invalid.
    """
    rules = settings.get_object("Rules", {})
    limits = settings.get_object("Limits", {})
    specifics = settings.get_object("Specifics", {})
    report = settings.get_object("Report", {})
    zones = settings.get_strings("Zones")
    machine_types = settings.get_strings("MachineTypes")
    zone = _read_zone(settings, zones)
    request_classes = _read_request_classes(settings, specifics)
    routers = settings.get_in_range("Instances", 1, math.inf, 1, json_type=INTEGER)
    max_retry_after_s = 0.0
    if limits.get("RetryAfter", FLAG, False):
        max_retry_after_s = limits.get_duration_s("MaxRetryAfterNs", 0)
    cache_slow_start, parent_slow_start = _read_slow_starts(rules, specifics)
    decisions = DecisionSettings(
        request_classes=request_classes,
        location=Location(
            zone=zone,
            routers_here=max(1, specifics.get_element("ZoneBalancers", zone, INTEGER, routers)),
            routers=routers,
            number=settings.get("MyNumber", INTEGER, 0),
            weights_known=settings.get("WeightSource", STRING, "silent") in MEANINGFUL_WEIGHT_SOURCES,
        ),
        limits=RouterLimits(
            max_attempts=limits.get_in_range("MaxAttempts", 1, math.inf, 1, json_type=INTEGER),
            probes=limits.get_flag("Probes"),
            cancel=limits.get_flag("Cancel"),
            max_retry_after_s=max_retry_after_s,
        ),
        fill_policy=FillPolicy(
            siblings=specifics.get_choice("PeersFill", SIBLINGS_BY_SETTING, "none"),
            allows_direct=specifics.get_flag("Straight"),
            joins_fills=specifics.get_flag("SharesFills"),
            notes=specifics.get_choice("Says", NOTES_BY_SETTING, "none"),
            transfer_kb_s=specifics.get("OneFlowKbPerS", NUMBER, 0.0),
            uplink_kb_s=specifics.get_element("InletKbPerS", zone, NUMBER, 0.0),
        ),
        cache_slow_start=cache_slow_start,
        parent_slow_start=parent_slow_start,
        purge_settled_s=specifics.get_duration_s("GoneEverywhereNs", 0),
        server_kinds=(
            _read_machine_type(specifics, "UpperKind", machine_types),
            _read_machine_type(specifics, "MasterKind", machine_types),
        ),
    )
    report.get_strings("Columns")  # only the router on sockets uses them, but both programs check them
    return decisions


def read_report_columns(settings: SettingsReader) -> list[str]:
    """Return the columns of a load report under the names that servers use."""
    columns = settings.get_object("Report", {}).get_strings("Columns")
    return [REPORT_COLUMNS.get(column, column) for column in columns]


def _read_zone(settings: SettingsReader, zones: list[str]) -> int:
    """Return the index of this router's zone, or 0 if the setting is missing or empty."""
    name = settings.get("Az", STRING, "")
    if name and name not in zones:
        raise StartError(f"{settings.path_of('Az')}: expected one of Zones, got {name!r:.{SHOWN_CHARACTERS}}")
    return zones.index(name) if name else 0


def _read_request_classes(settings: SettingsReader, specifics: SettingsReader) -> list[RequestClass]:
    request_classes = [
        _read_request_class(values, specifics, index)
        for index, values in enumerate(settings.get_objects("Classes"))
    ]
    names: set[str] = set()
    for index, request_class in enumerate(request_classes):
        if request_class.name in names:
            raise StartError(
                f"{settings.path_of('Classes')}[{index}].Name: expected a name that no other class has, "
                f"got {request_class.name!r:.{SHOWN_CHARACTERS}}"
            )
        names.add(request_class.name)
    return request_classes


def _read_request_class(values: SettingsReader, specifics: SettingsReader, index: int) -> RequestClass:
    """Read a request class; some of its values are at its index in lists of `Specifics`."""
    return RequestClass(
        name=values.get("Name", STRING),
        idempotency=values.get_choice("Effect", IDEMPOTENCY_BY_SETTING, "fragile"),
        deduplication_scope=values.get_choice("Group", SCOPE_BY_SETTING, "all"),
        deduplication_window_s=values.get_duration_s("WindowNs", 0),
        latency_objective_s=values.get_duration_s("AimNs"),
        objective_stretch=values.get_in_range("AimStretch", 0, math.inf, 0.0),
        timeout_s=values.get_above("DeadlineNs", 0, NUMBER) * NANOSECOND_S,
        utility=values.get_in_range("Value", 0, math.inf, 1.0),
        late_share=values.get_in_range("LateWorth", 0, 1, 0.0),
        fresh_s=specifics.get_element("GoodForNs", index, NUMBER, 0) * NANOSECOND_S,
        stale_s=specifics.get_element("OlderByNs", index, NUMBER, 0) * NANOSECOND_S,
        stale_share=specifics.get_element("WorthWhenOld", index, NUMBER, 0.0),
        uncacheable=bool(specifics.get_element("GoesThrough", index, FLAG, False)),
    )


def _read_slow_starts(rules: SettingsReader, specifics: SettingsReader) -> tuple[SlowStart, SlowStart]:
    """Return the slow-start settings of caches and of parents."""
    cache = SlowStart(
        initial_share=rules.get_in_range("ColdFrom", 0, 1, 1.0),
        warm_up_s=rules.get_duration_s("WarmUpNs", 0),
        overload_multiple=rules.get_in_range("FallMultiple", 0, math.inf, 0.0),
        window_s=rules.get_duration_s("FallNs", 0),
    )
    parent = SlowStart(
        initial_share=specifics.get_in_range("ParentColdFrom", 0, 1, 1.0),
        warm_up_s=specifics.get_duration_s("UpperColdNs", 0),
        overload_multiple=specifics.get_in_range("ParentBreaksAt", 0, math.inf, 0.0),
        window_s=rules.get_duration_s("FallNs", 0),
    )
    if max(cache.overload_multiple, parent.overload_multiple) > 0 and not cache.window_s:
        raise StartError(
            f"{rules.path_of('FallNs')}: "
            "expected more than 0 with FallMultiple or ParentBreaksAt above 0, got 0"
        )
    return cache, parent


def _read_machine_type(specifics: SettingsReader, key: str, machine_types: list[str]) -> str:
    """Return the name of the machine type at the configured index, or an empty string if there is none."""
    index = specifics.get_in_range(
        key, NO_MACHINE_TYPE, len(machine_types) - 1, NO_MACHINE_TYPE, json_type=INTEGER
    )
    return machine_types[index] if index != NO_MACHINE_TYPE else ""
