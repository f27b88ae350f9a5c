"""Decodes the operators' configuration into internal types."""

from typing import Any

import msgspec

from lagoonpost.declarations.document import Field, Kinds, Schema, read_fields
from lagoonpost.tables.configuration import (
    CallerLimits,
    Configuration,
    Route,
    Scaling,
    Service,
    TrafficShare,
    Workspace,
)
from lagoonpost.tables.decoding import UNREADABLE

MS_PER_SECOND = 1000.0
_KINDS = {"safe": "safe", "unsafe": "unsafe", "streaming": "stream"}
_SPLIT = Kinds.list_of({"service": Kinds.TEXT, "weight": Kinds.NUMBER})
_UNIT = Kinds.TEXT._replace(convert=lambda value: value == "tokens")
_NAME = Field("name", Kinds.TEXT, required=True)
_REGIONS = Field("allowed_regions", Kinds.TEXTS, ())
_ROUTE = {
    "name": _NAME,
    "host": Field("host", Kinds.TEXT, required=True),
    "prefix": Field("prefix", Kinds.TEXT, required=True),
    "kind": Field("kind", Kinds.choose_of(_KINDS), required=True),
    "shares": Field("traffic_split", _SPLIT),
    "service": Field("service", Kinds.TEXT._replace(convert=None)),
    "timeout": Field("timeout_ms", Kinds.NUMBER, 60.0, MS_PER_SECOND),
    "target": Field("target_latency_ms", Kinds.NUMBER, 0.0, MS_PER_SECOND),
    "gap": Field("gap_target_ms", Kinds.NUMBER, 0.0, MS_PER_SECOND),
    "max_attempts": Field("max_attempts", Kinds.WHOLE, 1),
    "priority": Field("priority", Kinds.WHOLE, 0),
    "public": Field("public", Kinds.FLAG, False),
    "resumable": Field("stream_resume", Kinds.FLAG, False),
    "regions": _REGIONS,
}
_SERVICE = {
    "name": _NAME,
    "health_path": Field("health_path", Kinds.TEXT, "/health"),
    "slots": Field("engine.slots", Kinds.WHOLE, 0),
    "kv_tokens": Field("engine.kv_capacity", Kinds.WHOLE, 0),
    "cold_seconds": Field("cold_start_s", Kinds.NUMBER, 0.0),
    "cold_rate": Field("cold_per_s", Kinds.NUMBER, 0.0),
}
_SCALING = {
    "min_runners": Field("scaling.min", Kinds.WHOLE, 0),
    "max_runners": Field("scaling.max", Kinds.WHOLE, 0),
    "boot_seconds": Field("scaling.boot_s", Kinds.NUMBER, 0.0),
    # No price means that reclaimable runners are not available.
    "spot_price": Field("scaling.spot_price", Kinds.NUMBER, 0.0),
    "prices": Field("scaling.zone_prices", Kinds.NUMBERS, {}),
}
_WORKSPACE = {
    "name": _NAME,
    "keys": Field("api_keys", Kinds.TEXTS, ()),
    "priority": Field("priority", Kinds.WHOLE),
    "rate": Field("rate_per_s", Kinds.NUMBER, 0.0),
    "burst": Field("burst", Kinds.NUMBER, 0.0),
    "by_tokens": Field("unit", _UNIT, False),
    "default_tokens": Field("plain_tokens", Kinds.NUMBER, 1.0),
    "regions": _REGIONS,
}
_LIMITS = {
    "head": Field("max_header_bytes", Kinds.WHOLE, CallerLimits().head),
    "body": Field("max_body_bytes", Kinds.WHOLE, CallerLimits().body),
    "head_seconds": Field(
        "header_timeout_ms", Kinds.NUMBER, 3.0, MS_PER_SECOND
    ),
    "idle_seconds": Field(
        "idle_timeout_ms", Kinds.NUMBER, 15.0, MS_PER_SECOND
    ),
}
DOCUMENT = Schema(
    root={
        "version": Field("version", Kinds.WHOLE, required=True),
        "routes": Field("routes", Kinds.ANY, required=True),
    },
    sections={"routes": "routes", "services": "services"}
    | {"workspaces": "tenants"},
    objects={"limits": "limits"},
    fields={"routes": _ROUTE, "services": {**_SERVICE, **_SCALING}}
    | {"workspaces": _WORKSPACE, "limits": _LIMITS},
    hidden="api_keys",
    alternatives={"routes": ("traffic_split", "service")},
)
"""Fields of the operators' document."""


class InvalidRowError(ValueError):
    """A row of the store does not have the expected content."""


def decode_configuration(body: bytes) -> Configuration:
    """Decode a complete configuration.

    Raises:
        InvalidRowError: If decoding fails; the active one stays in force.
    """
    try:
        return _decode(msgspec.json.decode(body))
    except (*UNREADABLE, KeyError, TypeError, AttributeError) as error:
        raise InvalidRowError(f"configuration: {error!r}") from error


def _decode(value: dict[str, Any]) -> Configuration:
    services = [_decode_service(item) for item in value.get("services") or []]
    return Configuration(
        version=int(value["version"]),
        routes=tuple(_decode_route(item) for item in value["routes"]),
        services={service.name: service for service in services},
        workspaces=tuple(
            Workspace(**read_fields(item, _WORKSPACE))
            for item in value.get("tenants") or []
        ),
        limits=CallerLimits(**read_fields(value.get("limits") or {}, _LIMITS)),
    )


def _decode_route(value: dict[str, Any]) -> Route:
    fields = read_fields(value, _ROUTE)
    fields["target"] = fields["target"] or fields["timeout"]
    split = value.get("traffic_split") or [
        {"service": value["service"], "weight": 1}
    ]
    shares = tuple(
        TrafficShare(str(item["service"]), float(item["weight"]))
        for item in split
    )
    return Route(**fields, shares=shares)


def _decode_service(value: dict[str, Any]) -> Service:
    scaling = None
    if value.get("scaling"):
        scaling = Scaling(**read_fields(value, _SCALING))
    fields = read_fields(value, _SERVICE)
    return Service(**fields, engine=bool(value.get("engine")), scaling=scaling)
