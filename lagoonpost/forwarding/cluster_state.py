"""This gateway's view of the cluster: configuration and runner entries.

Updates arrive from the store and by gossip, in any order and more than once.
Each carries a version stamp, and only a newer stamp replaces an older one.
After the store was restored from an older copy, the sequence numbers that
runners write into their own entries decide which entry is newer. A runner that
says in its answers that it leaves does so whatever its entry says.
"""

import asyncio
import math
import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

import eliot

from lagoonpost.platform.configuration import (
    InvalidRowError,
    decode_configuration,
)
from lagoonpost.platform.endpoint import decode_endpoint, decode_sequence
from lagoonpost.systems.route import RouteTable
from lagoonpost.systems.runner_limits import RunnerLimits
from lagoonpost.systems.runner_notices import RunnerNotices
from lagoonpost.tables.address import Address
from lagoonpost.tables.configuration import Service, Workspace
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.stamp import Stamp, find_era
from lagoonpost.unreadable import log_unreadable

LAPSE_GRACE_SECONDS = 2.2
"""How long a missing entry is kept after the store recovers. Live runners
rewrite their entries within two seconds; a tenth is added for the feed."""


class RunnerEntry(NamedTuple):
    """The latest known entry of a runner.

    Attributes:
        version: Stamp of the row.
        endpoint: The runner; None if its entry is deleted or unreadable. It
            leaves if its entry or its answers say so.
        registered: The same as its entry alone says it.
        raw: Bytes of the row, as published to peers; None if deleted.
        last_raw: Last bytes that were not None, kept after a deletion.
    """

    version: int
    endpoint: Endpoint | None
    registered: Endpoint | None
    raw: bytes | None
    last_raw: bytes | None = None


class _Evacuation(NamedTuple):
    """The latest known order to evacuate a failure domain.

    Attributes:
        version: Stamp of the order's row, or of its deletion.
        active: Whether the order is in force.
    """

    version: Stamp
    active: bool


class ClusterState:
    """The newest configuration and runner entries known to this gateway.

    Args:
        clock: Monotonic clock in seconds.
        name: Name of this gateway.
        regions: Region of each failure domain.
        rng: Source of random choices.

    Attributes:
        was_store_unavailable: Returns whether the store was recently
            unavailable to the gateways in general, not to this one alone.
        routes: The configuration in force; None while none is known.
        loaded: Set once a configuration and a runner are known.
        raw_configuration: Bytes of the configuration in force, for peers
            that fetch it.
        entries: Runner entries by id, including deleted ones.
        limits: What each runner bears.
        notices: What runners say of themselves in answers.
        evacuated_domains: Failure domains whose runners get no requests.
        on_configuration: Called with the routes of each newer configuration.
        on_runner_down: Called with the id of a runner that disappeared or
            restarted.
        on_runner_leaving: Called with the id of a runner that is about to
            leave and the seconds until then, or None if unknown.
        on_notice: Called with the id of a runner that says in an answer that
            it leaves.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        name: str = "",
        regions: Mapping[str, str] | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._clock = clock
        self._regions = regions or {}
        self.limits = RunnerLimits(name, clock(), rng or random.Random(name))
        self.notices = RunnerNotices()
        self.evacuated_domains: frozenset[str] = frozenset()
        self._evacuations: dict[str, _Evacuation] = {}
        self.was_store_unavailable: Callable[[], bool] = lambda: True
        self.routes: RouteTable | None = None
        self.loaded = asyncio.Event()
        self.raw_configuration = b""
        self.entries: dict[str, RunnerEntry] = {}
        self._services: dict[str, dict[str, Endpoint]] = {}
        self._lapsed: dict[str, int] = {}
        self._store_recovered = -math.inf
        self._era_started = -math.inf
        self.on_configuration: list[Callable[[RouteTable], None]] = []
        self.on_runner_down: list[Callable[[str], None]] = []
        self.on_runner_leaving: list[Callable[[str, float | None], None]] = []
        self.on_notice: list[Callable[[str], None]] = []

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if none is."""
        return self.routes.configuration.version if self.routes else 0

    def apply_configuration(self, raw: bytes, source: str) -> bool:
        """Apply a configuration if it is newer than the one in force.

        Args:
            raw: The encoded configuration.
            source: Where it came from, for the log.

        Returns:
            Whether the configuration was applied.
        """
        try:
            configuration = decode_configuration(raw)
        except InvalidRowError as error:
            log_unreadable("configuration", source, error)
            return False
        if configuration.version <= self.version:
            return False
        self.routes = RouteTable(configuration)
        self.raw_configuration = raw
        eliot.log_message(
            message_type="lagoonpost:belief:configuration",
            version=configuration.version,
            source=source,
            routes=len(configuration.routes),
        )
        for callback in self.on_configuration:
            callback(self.routes)
        self._note_loaded()
        return True

    def apply_entry(
        self, key: str, version: Stamp, raw: bytes | None, source: str
    ) -> bool:
        """Apply a runner's entry, or its deletion, if it is newer.

        Returns:
            Whether the runner changed and the change has to be published to
            peers. A renewal with the same content is not published: 45
            runners that renew their entries each second would saturate the
            links between gateways.
        """
        current = self.entries.get(key)
        if current is not None and current.version >= version:
            return False
        if current is not None and _is_older_copy(current, version, raw):
            return False
        if raw is None and self._is_lapse(key, current, version, source):
            return False
        self._lapsed.pop(key, None)
        registered, cold_seconds = None, 0.0
        if raw is not None:
            try:
                decoded = decode_endpoint(key, raw)
                # The remaining time differs in each entry of a cold runner.
                registered = decoded._replace(cold_seconds=0.0)
                cold_seconds = decoded.cold_seconds
            except InvalidRowError as error:
                log_unreadable("entry", f"{key} from {source}", error)
        endpoint = self._hear_notices(registered)
        last = raw or (current.last_raw if current is not None else None)
        self.entries[key] = RunnerEntry(
            version, endpoint, registered, raw, last
        )
        before = current.endpoint if current is not None else None
        known = current.registered if current is not None else None
        if _went_down(before, endpoint):
            self.limits.forget(key)
        turned = self._note_cold(key, endpoint, cold_seconds)
        if endpoint != before:
            self._index_runner(key, before, endpoint)
        self._note_loaded()
        if _went_down(before, endpoint):
            for callback in self.on_runner_down:
                callback(key)
        if _began_to_leave(known, registered):
            for notify_leaving in self.on_runner_leaving:
                notify_leaving(
                    key, endpoint.leaves_in_seconds if endpoint else None
                )
        changed = current is None or known != registered or turned
        if changed:
            self._log_runner(key, version, source)
        return changed

    def _hear_notices(self, registered: Endpoint | None) -> Endpoint | None:
        """Return a runner as its entry and its answers say it."""
        if registered is None or not self.notices.is_leaving(registered):
            return registered
        return registered._replace(leaving=True)

    def _log_runner(self, key: str, version: Stamp, source: str) -> None:
        endpoint = self.entries[key].endpoint
        eliot.log_message(
            message_type="lagoonpost:belief:runner",
            runner=key,
            version=version,
            source=source,
            state=_describe(endpoint),
            born=endpoint.born if endpoint else 0,
            service=endpoint.service if endpoint else "",
            failure_domain=endpoint.failure_domain if endpoint else "",
            cold=self.limits.cold.is_cold(key, self._clock()),
        )

    def note_leaving(self, runner: str, born: int, source: str) -> bool:
        """Apply the news that a runner says in an answer that it leaves.

        Args:
            runner: Id of the runner.
            born: Start of its process in milliseconds since the epoch.
            source: Where the news came from, for the log.

        Returns:
            Whether the news was not known.
        """
        if not self.notices.note_leaving(runner, born, self._clock()):
            return False
        entry = self.entries.get(runner)
        endpoint = self._hear_notices(entry.registered if entry else None)
        if entry is None or endpoint == entry.endpoint:
            return True
        self.entries[runner] = entry._replace(endpoint=endpoint)
        self._index_runner(runner, entry.endpoint, endpoint)
        self._log_runner(runner, entry.version, source)
        for notify in self.on_notice:
            notify(runner)
        return True

    def _note_cold(
        self, key: str, endpoint: Endpoint | None, seconds: float
    ) -> bool:
        """Record whether a runner is cold; return whether this has changed."""
        if endpoint is None:
            self.limits.forget(key)
            return False
        return self.limits.cold.note_entry(key, seconds, self._clock())

    def apply_evacuation(
        self, domain: str, version: Stamp, active: bool, source: str
    ) -> bool:
        """Apply an order to evacuate a failure domain, or its withdrawal.

        Returns:
            Whether the order is newer than the one known.
        """
        current = self._evacuations.get(domain, _Evacuation(0, False))
        if version <= current.version:
            return False
        self._evacuations[domain] = _Evacuation(version, active)
        self.evacuated_domains = frozenset(
            name for name, order in self._evacuations.items() if order.active
        )
        if current.active and not active:
            self._note_return(domain)
        eliot.log_message(
            message_type="lagoonpost:belief:evacuation",
            failure_domain=domain,
            active=active,
            version=version,
            source=source,
        )
        return True

    def _note_return(self, domain: str) -> None:
        """Assume that the runners of a domain return cold."""
        services = self.routes.configuration.services if self.routes else {}
        for runners in self._services.values():
            for runner in runners.values():
                service = services.get(runner.service)
                if runner.failure_domain == domain and service is not None:
                    self.limits.cold.note_return(
                        runner.id, service.cold_seconds, self._clock()
                    )

    def _note_loaded(self) -> None:
        if self.routes is not None and self._services:
            self.loaded.set()

    def _is_lapse(
        self, key: str, current: RunnerEntry | None, version: int, source: str
    ) -> bool:
        """Tell whether a deletion is only a lapse during a store outage.

        Runners can't renew their entries during an outage, so all entries
        expire at once although all runners still serve. The expiry shows as
        deletions around the store's recovery, and live runners rewrite their
        entries soon after. If only this gateway had lost the store, runners
        kept renewing, and a deletion means that the runner has left.
        """
        if current is None or current.endpoint is None:
            return False
        if self._clock() >= self._store_recovered + LAPSE_GRACE_SECONDS:
            return False
        rewritten = self._clock() < self._era_started + LAPSE_GRACE_SECONDS
        if not rewritten and not self.was_store_unavailable():
            return False
        if self._lapsed.get(key) != version:
            self._lapsed[key] = version
            eliot.log_message(
                message_type="lagoonpost:belief:lapsing",
                runner=key,
                version=version,
                source=source,
                since_return=round(self._clock() - self._store_recovered, 3),
            )
        return True

    def handle_store_recovery(self) -> None:
        """Start the grace period in which runners rewrite lapsed entries."""
        self._store_recovered = self._clock()

    def handle_new_era(self) -> None:
        """Start the grace period in which runners rewrite lost entries."""
        self._store_recovered = self._era_started = self._clock()

    def drop_lapsed(self) -> list[str]:
        """Delete entries that were not rewritten in time; return their ids."""
        if self._clock() < self._store_recovered + LAPSE_GRACE_SECONDS:
            return []
        lapsed = list(self._lapsed.items())
        self._lapsed.clear()
        return [
            key
            for key, version in lapsed
            if self.apply_entry(key, version, None, "lapsed")
        ]

    def _index_runner(
        self, key: str, before: Endpoint | None, after: Endpoint | None
    ) -> None:
        """Update the index of runners by service.

        Entries of deleted runners are kept for their versions, so a scan of
        all entries for each request would get slower each hour.
        """
        if before is not None:
            del self._services[before.service][key]
        if after is not None:
            self._services.setdefault(after.service, {})[key] = after

    def list_workspaces(self) -> tuple[Workspace, ...]:
        """Return the workspaces of the configuration in force."""
        return self.routes.configuration.workspaces if self.routes else ()

    def find_runners(
        self, service: str, regions: frozenset[str] | None = None
    ) -> list[Endpoint]:
        """Return the runners of a service that accept new requests.

        Args:
            service: Name of the service.
            regions: Regions that the runners may be in; None for all.
        """
        return [
            runner
            for runner in self.find_all_runners(service)
            if not runner.leaving
            and runner.failure_domain not in self.evacuated_domains
            and (
                regions is None
                or self._regions.get(runner.failure_domain) in regions
            )
        ]

    def may_send(self, endpoint: Endpoint) -> bool:
        """Return whether a runner may get a request now.

        To be asked right before each sending, as what is known of a runner
        may change between its choice and the first byte.
        """
        known = self._services.get(endpoint.service, {}).get(endpoint.id)
        return (
            known is not None
            and known.born == endpoint.born
            and not known.leaving
            and known.failure_domain not in self.evacuated_domains
            and self.notices.may_send(known, self._clock())
        )

    def find_by_address(self, address: Address) -> Endpoint | None:
        """Return the runner that is registered at an address."""
        for entry in self.entries.values():
            if entry.endpoint is not None and (
                entry.endpoint.address == address
            ):
                return entry.endpoint
        return None

    def find_copy_sources(self, service: str) -> list[Endpoint]:
        """Return leaving runners whose KV caches may be copied from."""
        return [
            runner
            for runner in self.find_all_runners(service)
            if runner.leaving
            and runner.failure_domain not in self.evacuated_domains
        ]

    def find_cold_rate(self, service: str) -> float:
        """Return the requests a second that a service's cold runner bears."""
        if self.routes is None:
            return 0.0
        found = self.routes.configuration.services.get(service)
        return found.cold_rate if found is not None else 0.0

    def find_health_path(self, service: str) -> str:
        """Return the path of the health check of a service's runners.

        For a service that is not configured any more, it is the usual one.
        """
        services = self.routes.configuration.services if self.routes else {}
        return services.get(service, Service(service)).health_path

    def is_engine(self, service: str) -> bool:
        """Return whether the runners of a service serve language models."""
        services = self.routes.configuration.services if self.routes else {}
        return services.get(service, Service(service)).engine

    def find_all_runners(self, service: str) -> list[Endpoint]:
        """Return all runners of a service, including leaving ones."""
        return list(self._services.get(service, {}).values())

    def is_known(self, runner: str) -> bool:
        """Tell whether a runner still has an entry."""
        entry = self.entries.get(runner)
        return entry is not None and entry.endpoint is not None


def _is_older_copy(
    current: RunnerEntry, version: Stamp, raw: bytes | None
) -> bool:
    """Tell whether a row predates one that a restored store has lost."""
    if raw is None or current.last_raw is None:
        return False
    if find_era(version) == find_era(current.version):
        return False
    if raw == current.last_raw:
        return True
    known, found = decode_sequence(current.last_raw), decode_sequence(raw)
    return known is not None and found is not None and found < known


def _went_down(before: Endpoint | None, after: Endpoint | None) -> bool:
    if before is None:
        return False
    return after is None or after.born != before.born


def _began_to_leave(before: Endpoint | None, after: Endpoint | None) -> bool:
    """Tell whether a runner starts to leave, announced or by deletion."""
    if before is None or before.leaving:
        return False
    return after is None or after.leaving


def _describe(endpoint: Endpoint | None) -> str:
    if endpoint is None:
        return "gone"
    return "leaving" if endpoint.leaving else "ready"
