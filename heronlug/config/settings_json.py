"""Parses the platform's settings from JSON; only this module maps the JSON keys to the balancer's settings."""

import json
from collections.abc import Mapping
from typing import Any

from heronlug.balancer.errors import SettingsError
from heronlug.balancer.settings import Effect, KeyScope, RequestClass, Settings

DEFAULT_POLL_INTERVAL = 10_000.0
"""Interval between two polls of the endpoint list in ms, if the settings give none."""

KEYS_BY_FIELD = {
    "latency_objective": "goal_time",
    "latency_factor": "aim_stretch",
    "priority_weight": "worth",
    "server_kind": "class_kind",
    "max_attempts": "attempts_cap",
    "hedging": "second_copies",
    "gossip": "may_tell",
    "poll_interval": "ask_every",
    "progress_interval": "progress",
    "reports_start": "tells_start",
    "warmup_capacity": "cold_from",
    "warmup_time": "warm_after",
    "overload_multiple": "tip_multiple",
    "overload_window": "overload_for",
    "zone_failover": "halls",
    "worst_class_weight": "worst_class",
}
"""Keys of the JSON settings by the field of the balancer's settings, for fields whose key has another name."""


def parse_settings(text: bytes | str) -> Settings:
    """Returns the settings in a JSON text; unknown keys are ignored.

    Raises:
        ValueError: If a key is missing or has an invalid value; the message names the key.
    """
    table = json.loads(text)
    if not isinstance(table, dict):
        message = "settings: not a JSON object"
        raise ValueError(message)
    try:
        return _settings(table)
    except SettingsError as error:
        raise SettingsError(KEYS_BY_FIELD.get(error.key, error.key), error.value, error.accepted) from error


def _settings(table: Mapping[str, Any]) -> Settings:
    family = table.get("family_info") or {}
    limits = table.get("limits") or {}
    safety = table.get("safety") or {}
    report = table.get("load_report") or {}
    prices = table.get("penalties") or {}
    goal = table.get("goal") or {}
    class_tables = _required(table, "lanes", "")
    return Settings(
        classes=tuple(_request_class(class_table, i, family) for i, class_table in enumerate(class_tables)),
        instances=int(_number(table, "instances", 1)),
        position=int(_number(table, "position", 0)),
        zone=int(_number(table, "zone", 0)),
        tenants=tuple(str(c.get("name", "")) for c in table.get("customers") or ()),
        quotas=tuple(_number(c, "quota_per_s", 0.0) for c in table.get("customers") or ()),
        report_fields=tuple(report.get("fields") or ()),
        list_pushed=table.get("discovery") == "pushed",
        poll_interval=_number(safety, "ask_every", 0.0) or DEFAULT_POLL_INTERVAL,  # the value is 0 if lists are pushed
        max_attempts=int(_number(limits, "attempts_cap", 1)),
        hedging=bool(limits.get("second_copies", False)),
        may_cancel=bool(limits.get("may_cancel", False)),
        gossip=bool(limits.get("may_tell", False)),
        lends_capacity=bool(limits.get("may_tell", False)),
        zone_failover=bool(limits.get("halls", False)),
        dial_timeout=_number(limits, "dial_timeout", 250.0),
        tick=_number(table, "tick", 1.0),
        answer_slack=_number(safety, "answer_slack", 0.0),
        progress_interval=_number(family, "progress", 0.0),
        reports_start=bool(family.get("tells_start", False)),
        drain_grace=_number(safety, "drain_grace", 0.0),
        warmup_capacity=_number(safety, "cold_from", 1.0),
        warmup_time=_number(safety, "warm_after", 0.0),
        overload_multiple=_number(safety, "tip_multiple", 1.0),
        overload_window=_number(safety, "overload_for", 1000.0),
        cross_zone_price=_number(prices, "cross_zone", 0.0),
        worst_class_weight=_number(goal, "worst_class", 0.0) / (sum(_number(goal, key, 0.0) for key in goal) or 1.0),
        cpu_per_request=_number(limits, "cpu_us_per_request", 0.0),
        waste_price=_number(prices, "waste", 0.0),
    )


def _request_class(table: dict[str, Any], index: int, family: Mapping[str, Any]) -> RequestClass:
    where = f"lanes[{index}]."
    factors, kinds = family.get("class_stretch") or (), family.get("class_kind") or ()
    try:
        return RequestClass(
            name=str(table.get("name", index)),
            latency_objective=float(_required(table, "goal_time", where)),
            deadline=float(_required(table, "deadline", where)),
            effect=Effect(_required(table, "effect", where)),
            latency_factor=float(table.get("aim_stretch") or (factors[index] if index < len(factors) else 0.0)),
            priority_weight=_number(table, "worth", 1.0),
            late_value=_number(table, "late_value", 0.0),
            key_scope=KeyScope(table.get("key_scope", "all")),
            repeat_window=_number(table, "repeat_window", 0.0),
            server_kind=int(kinds[index]) if index < len(kinds) else -1,
        )
    except SettingsError as error:
        raise SettingsError(where + KEYS_BY_FIELD.get(error.key, error.key), error.value, error.accepted) from error
    except (TypeError, ValueError) as error:
        text = str(error)
        raise ValueError(text if text.startswith(where) else f"{where}{text}") from error


def _required(table: Mapping[str, Any], key: str, where: str) -> Any:
    if key not in table:
        message = f"{where}{key}: required setting is missing"
        raise ValueError(message)
    return table[key]


def _number(table: Mapping[str, Any], key: str, default: float) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        message = f"{key}: {value!r} is not a number"
        raise ValueError(message)
    return float(value)
