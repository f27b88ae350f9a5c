"""Reads the settings file that the platform writes for each process."""

import os
import tomllib
from typing import Any, NamedTuple

from lagoonpost.tables.address import Address, parse_address

PATH_VARIABLE = "LAGOONPOST_CONFIG"


class Bounds(NamedTuple):
    """Promised times and shares that decisions have to keep.

    Attributes:
        lease_seconds: Within it no duty may go from A to B and back to A.
        grace_seconds: From the order to stop to the kill.
        budget_ratio: Repeats allowed as a part of a service's requests.
        budget_window: Seconds over which repeats are counted.
        budget_floor: Repeats allowed besides, over all gateways.
        quota_window: Seconds over which workspaces' units are counted.
        quota_overage: Part of a quota that may be passed beyond it.
        quota_slack: Units that may be passed beyond that.
        usage_window: Seconds of one usage report.
        usage_late: Seconds after its end until a report counts as missing.
        contact_seconds: Time after a disturbance in which bounds are waived.
        drain_seconds: Time in which a leaving runner's news must be known.
        apply_seconds: Time in which a configuration must be in force.
        ttl_most: Most seconds for which callers keep a list of entries.
        exposure_share: Part of a service's requests that a version which
            turns out to be bad may have got.
        exposure_slack: Requests that it may have got besides.
    """

    lease_seconds: float = 3.0
    grace_seconds: float = 8.0
    budget_ratio: float = 0.2
    budget_window: float = 10.0
    budget_floor: float = 50.0
    quota_window: float = 8.0
    quota_overage: float = 0.1
    quota_slack: float = 0.0
    usage_window: float = 5.0
    usage_late: float = 10.0
    contact_seconds: float = 3.0
    drain_seconds: float = 2.0
    apply_seconds: float = 2.0
    ttl_most: float = 5.0
    exposure_share: float = 0.1
    exposure_slack: float = 50.0

    @property
    def propagation_seconds(self) -> float:
        """Time in which any news of the store must be known."""
        return min(self.apply_seconds, self.drain_seconds)


class HostSettings(NamedTuple):
    """What a process is told about itself and what is around it.

    Attributes:
        name: Name of this host's process.
        failure_domain: Failure domain of the host.
        region: Region of the host.
        regions: Region by failure domain, of all of them.
        entry: Where callers connect.
        ready: Where readiness is asked for; None if nobody asks.
        directory: Where callers ask for entries; None if this is not one.
        peer: Where peers connect.
        seeds: Where some peers listen; they may be gone.
        store: Address of the store.
        cloud: Address of the cloud's calls; None if there are no duties.
        reports_usage: Whether usage is to be reported.
        orders_runners: Whether runners are to be ordered.
        first_start: Whether the whole system starts for the first time.
        bounds: Promised times and shares.
    """

    name: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    entry: Address
    ready: Address | None
    directory: Address | None
    peer: Address
    seeds: tuple[Address, ...]
    store: Address
    cloud: Address | None
    reports_usage: bool
    orders_runners: bool
    first_start: bool
    bounds: Bounds


class SettingsError(Exception):
    """The settings file can't be used; the text names file and field."""


def read_modification_time(path: str) -> float:
    """Return when the settings file changed last; 0 if it can't be seen."""
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0


def read_host_settings(path: str) -> HostSettings:
    """Read and check the settings file.

    Raises:
        SettingsError: If the file can't be read or lacks what is needed.
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
    cloud = document.get("cloud") or {}
    duties = cloud.get("duties") or []
    host = str(document["ip"])
    # Seeds name an address that only the platform's own pages use; ports
    # are the same on all hosts, so a seed's host is what it tells us.
    port = int(document["internal_ports"][0])
    seeds = [parse_address(text).host for text in document.get("seeds") or []]
    return HostSettings(
        name=str(document["node_name"]),
        failure_domain=str(document["zone"]),
        region=str(document["region"]),
        regions={str(k): str(v) for k, v in document["zones"].items()},
        entry=parse_address(listen["front"]),
        ready=_address(listen.get("ready")),
        directory=_address(listen.get("directory")),
        peer=Address(host, port),
        seeds=tuple(Address(seed, port) for seed in seeds if seed != host),
        store=parse_address(document["platform"]["address"]),
        cloud=_address(cloud.get("address")),
        reports_usage="usage_report" in duties,
        orders_runners="autoscale" in duties,
        first_start=bool(document.get("bootstrap")),
        bounds=_decode_bounds(document.get("bounds") or {}),
    )


def _address(text: str | None) -> Address | None:
    return parse_address(text) if text else None


def _decode_bounds(bounds: dict[str, Any]) -> Bounds:
    default = Bounds()

    def seconds(name: str, fallback: float, unit: float = 1.0) -> float:
        value = bounds.get(name)
        return fallback if value is None else float(value) / unit

    return Bounds(
        lease_seconds=seconds("lease_ms", default.lease_seconds, 1000),
        grace_seconds=seconds("grace_s", default.grace_seconds),
        budget_ratio=seconds("retry_budget_ratio", default.budget_ratio),
        budget_window=seconds("budget_window_s", default.budget_window),
        budget_floor=seconds("budget_min_retries", default.budget_floor),
        quota_window=seconds("quota_window_s", default.quota_window),
        quota_overage=seconds("quota_overage", default.quota_overage),
        quota_slack=seconds("quota_slack", default.quota_slack),
        usage_window=seconds("report_window_s", default.usage_window),
        usage_late=seconds("usage_late_s", default.usage_late),
        contact_seconds=seconds("contact_ms", default.contact_seconds, 1000),
        drain_seconds=seconds("drain_ms", default.drain_seconds, 1000),
        apply_seconds=seconds("config_apply_ms", default.apply_seconds, 1000),
        ttl_most=seconds("ttl_max_s", default.ttl_most),
        exposure_share=seconds("exposure_share", default.exposure_share),
        exposure_slack=seconds("exposure_slack", default.exposure_slack),
    )
