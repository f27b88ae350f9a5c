"""Reads the settings file that the platform writes for each process."""

import tomllib
from typing import Any, NamedTuple

from lagoonpost.tables.address import Address, parse_address
from lagoonpost.tables.bounds import Bounds

PATH_VARIABLE = "LAGOONPOST_CONFIG"


class HostSettings(NamedTuple):
    """Settings of a process on one host.

    Attributes:
        name: Name of the process on this host.
        failure_domain: Failure domain of the host.
        region: Region of the host.
        regions: Region of every failure domain.
        entry: Address at which callers connect.
        ready: Address of the readiness check; None if it is not served.
        directory: Address that serves the list of entries, or None.
        peer: Address at which peers connect.
        tunnel: Address at which peers ask for connections to runners; None
            if the platform leaves no port for it.
        seeds: Addresses of some initial peers; these may no longer exist.
        store: Address of the store.
        cloud: Address of the cloud API; None if the host has no duties.
        reports_usage: Whether to report usage.
        orders_runners: Whether to order runners.
        first_start: Whether this is the first start of the whole system.
        bounds: Guaranteed times and ratios.
        link_mbps: Speed of the host's link in Mbit/s; 0 if unknown.
        memory_mb: Memory of the process in MB of 1,000,000 bytes, or 0.
        max_fds: Descriptors of the process, those for files included, or 0.
    """

    name: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    entry: Address
    ready: Address | None
    directory: Address | None
    peer: Address
    tunnel: Address | None
    seeds: tuple[Address, ...]
    store: Address
    cloud: Address | None
    reports_usage: bool
    orders_runners: bool
    first_start: bool
    bounds: Bounds
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0


class SettingsError(Exception):
    """The settings file is invalid; the message names file and field."""


def read_host_settings(path: str) -> HostSettings:
    """Read and check the settings file.

    Raises:
        SettingsError: If the file or a setting is missing or invalid.
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
        return _decode(document)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    except KeyError as error:
        raise SettingsError(f"{path}: {error.args[0]} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"{path}: {error}") from error


def _decode(document: dict[str, Any]) -> HostSettings:
    listen = document["listen"]
    limits = document.get("limits") or {}
    cloud = document.get("cloud") or {}
    duties = cloud.get("duties") or []
    host = str(document["ip"])
    # The port of a seed belongs to the platform's own pages. Peer ports are
    # the same on all hosts, so only the seed's host is used.
    port, last_port = map(int, document["internal_ports"])
    seeds = [parse_address(text).host for text in document.get("seeds") or []]
    return HostSettings(
        name=str(document["node_name"]),
        failure_domain=str(document["zone"]),
        region=str(document["region"]),
        regions={str(k): str(v) for k, v in document["zones"].items()},
        entry=parse_address(listen["front"]),
        ready=_parse_optional(listen.get("ready")),
        directory=_parse_optional(listen.get("directory")),
        peer=Address(host, port),
        tunnel=Address(host, port + 1) if port < last_port else None,
        seeds=tuple(Address(seed, port) for seed in seeds if seed != host),
        store=parse_address(document["platform"]["address"]),
        cloud=_parse_optional(cloud.get("address")),
        reports_usage="usage_report" in duties,
        orders_runners="autoscale" in duties,
        first_start=bool(document.get("bootstrap")),
        bounds=_decode_bounds(document.get("bounds") or {}),
        link_mbps=float(limits.get("link_mbps") or 0),
        memory_mb=float(limits.get("memory_mb") or 0),
        max_fds=int(limits.get("max_fds") or 0),
    )


def _parse_optional(text: str | None) -> Address | None:
    return parse_address(text) if text else None


def _decode_bounds(bounds: dict[str, Any]) -> Bounds:
    default = Bounds()

    def read(name: str, fallback: float, unit: float = 1.0) -> float:
        value = bounds.get(name)
        return fallback if value is None else float(value) / unit

    return Bounds(
        lease_seconds=read("lease_ms", default.lease_seconds, 1000),
        grace_seconds=read("grace_s", default.grace_seconds),
        budget_ratio=read("retry_budget_ratio", default.budget_ratio),
        budget_window=read("budget_window_s", default.budget_window),
        budget_floor=read("budget_min_retries", default.budget_floor),
        quota_window=read("quota_window_s", default.quota_window),
        quota_overage=read("quota_overage", default.quota_overage),
        quota_slack=read("quota_slack", default.quota_slack),
        usage_window=read("report_window_s", default.usage_window),
        usage_late=read("usage_late_s", default.usage_late),
        contact_seconds=read("contact_ms", default.contact_seconds, 1000),
        drain_seconds=read("drain_ms", default.drain_seconds, 1000),
        apply_seconds=read("config_apply_ms", default.apply_seconds, 1000),
        ttl_most=read("ttl_max_s", default.ttl_most),
        exposure_share=read("exposure_share", default.exposure_share),
        exposure_slack=read("exposure_slack", default.exposure_slack),
    )
