"""What this gateway holds true: the configuration and the runners.

Everything here has a stamp, and only grows: news comes from the store and
from peers, in any order and more than once. After the store came back from an
older copy, what runners say of themselves orders what it has of them.
"""

import asyncio
import math
from collections.abc import Callable
from typing import NamedTuple

import eliot

from lagoonpost.platform.configuration import (
    UnreadableError,
    decode_configuration,
)
from lagoonpost.platform.endpoint import decode_endpoint, decode_order
from lagoonpost.systems.route import RouteTable
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.stamp import Stamp, find_era

LAPSE_GRACE_SECONDS = 2.2
"""How long a missing entry is kept after the store's return. Entries of
runners that live are back within two seconds; a tenth more for the feed."""


class RunnerEntry(NamedTuple):
    """What is known of a runner's entry.

    Attributes:
        version: Stamp of the row.
        endpoint: The entry; None if it is deleted or can't be read.
        raw: The row's bytes as others are told them; None if deleted.
        last: The bytes that it had last, also if it is deleted since.
    """

    version: int
    endpoint: Endpoint | None
    raw: bytes | None
    last_raw: bytes | None = None


class ClusterState:
    """The newest configuration and runners that are known here.

    Args:
        clock: Steady clock in seconds.

    Attributes:
        was_store_away: Tells whether the store was away for all gateways
            lately, and not for this one alone.
        routes: The configuration in force; None while none is known.
        loaded: Set once a configuration and a runner are known.
        raw_configuration: Its bytes, for peers that ask.
        entries: Entries of runners by id, deleted ones included.
        on_configuration: Told each newer configuration.
        on_down: Told the id of a runner that went or started anew.
        on_leaving: Told the id of a runner that will go, with the seconds
            until then; None if it does not say.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.was_store_unavailable: Callable[[], bool] = lambda: True
        self.routes: RouteTable | None = None
        self.loaded = asyncio.Event()
        self.raw_configuration = b""
        self.entries: dict[str, RunnerEntry] = {}
        self._services: dict[str, dict[str, Endpoint]] = {}
        self._lapsing: dict[str, int] = {}
        self._store_back = -math.inf
        self._era_began = -math.inf
        self.on_configuration: list[Callable[[RouteTable], None]] = []
        self.on_runner_down: list[Callable[[str], None]] = []
        self.on_runner_leaving: list[Callable[[str, float | None], None]] = []

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if none is."""
        return self.routes.configuration.version if self.routes else 0

    def apply_configuration(self, raw: bytes, source: str) -> bool:
        """Take a configuration if it is newer than the one in force."""
        try:
            configuration = decode_configuration(raw)
        except UnreadableError as error:
            eliot.log_message(
                message_type="lagoonpost:belief:unreadable",
                source=source,
                detail=str(error),
            )
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
        for told in self.on_configuration:
            told(self.routes)
        self._note_loaded()
        return True

    def apply_entry(
        self, key: str, version: Stamp, raw: bytes | None, source: str
    ) -> bool:
        """Take a runner's entry, or its deletion, if it is newer.

        Returns:
            Whether the runner changed, and others should hear of it. A row
            that was only written anew is not news: 45 runners that renew
            theirs each second would fill the gateways' links.
        """
        held = self.entries.get(key)
        if held is not None and held.version >= version:
            return False
        if held is not None and _is_older_copy(held, version, raw):
            return False
        if raw is None and self._is_lapsing(key, held, version, source):
            return False
        self._lapsing.pop(key, None)
        endpoint = None
        if raw is not None:
            try:
                endpoint = decode_endpoint(key, raw)
            except UnreadableError as error:
                eliot.log_message(
                    message_type="lagoonpost:belief:unreadable",
                    source=source,
                    detail=str(error),
                )
        last = raw or (held.last_raw if held is not None else None)
        self.entries[key] = RunnerEntry(version, endpoint, raw, last)
        before = held.endpoint if held is not None else None
        if endpoint != before:
            self._arrange(key, before, endpoint)
        self._note_loaded()
        if _went_down(before, endpoint):
            for told in self.on_runner_down:
                told(key)
        if _began_to_leave(before, endpoint):
            for warned in self.on_runner_leaving:
                warned(key, endpoint.leaves_in_seconds if endpoint else None)
        changed = held is None or held.endpoint != endpoint
        if changed:
            eliot.log_message(
                message_type="lagoonpost:belief:runner",
                runner=key,
                version=version,
                source=source,
                state=_describe(endpoint),
                service=endpoint.service if endpoint else "",
                failure_domain=endpoint.failure_domain if endpoint else "",
            )
        return changed

    def _note_loaded(self) -> None:
        if self.routes is not None and self._services:
            self.loaded.set()

    def _is_lapsing(
        self, key: str, held: RunnerEntry | None, version: int, source: str
    ) -> bool:
        """Keep an entry that was deleted while the store was away.

        Runners can't renew their entries then, so that all of them lapse at
        once while all of them serve. It shows as deletions around the
        store's return; those that live are written anew soon after it.
        Where only this gateway had lost the store, runners renewed their
        entries all the while, and a deletion means that one is gone.
        """
        if held is None or held.endpoint is None:
            return False
        if self._clock() >= self._store_back + LAPSE_GRACE_SECONDS:
            return False
        rewritten = self._clock() < self._era_began + LAPSE_GRACE_SECONDS
        if not rewritten and not self.was_store_unavailable():
            return False
        if self._lapsing.get(key) != version:
            self._lapsing[key] = version
            eliot.log_message(
                message_type="lagoonpost:belief:lapsing",
                runner=key,
                version=version,
                source=source,
                since_return=round(self._clock() - self._store_back, 3),
            )
        return True

    def handle_store_recovery(self) -> None:
        """Begin the time in which lapsed entries may be written anew."""
        self._store_back = self._clock()

    def handle_new_era(self) -> None:
        """Begin the time in which runners write anew what the store lost."""
        self._store_back = self._era_began = self._clock()

    def drop_lapsed(self) -> list[str]:
        """Delete what was not written anew in time; return the ids."""
        if self._clock() < self._store_back + LAPSE_GRACE_SECONDS:
            return []
        lapsed = list(self._lapsing.items())
        self._lapsing.clear()
        return [
            key
            for key, version in lapsed
            if self.apply_entry(key, version, None, "lapsed")
        ]

    def _arrange(
        self, key: str, before: Endpoint | None, after: Endpoint | None
    ) -> None:
        """Keep the runners of each service together.

        Entries of runners that are gone stay for their versions; looking
        through all of them for each request would take longer each hour.
        """
        if before is not None:
            del self._services[before.service][key]
        if after is not None:
            self._services.setdefault(after.service, {})[key] = after

    def list_workspaces(self) -> tuple[Workspace, ...]:
        """Return the workspaces of the configuration in force."""
        return self.routes.configuration.workspaces if self.routes else ()

    def find_runners(self, service: str) -> list[Endpoint]:
        """Return the runners of a service that may get new work."""
        return [
            each for each in self.find_all_runners(service) if not each.leaving
        ]

    def find_all_runners(self, service: str) -> list[Endpoint]:
        """Return all runners of a service, leaving ones included."""
        return list(self._services.get(service, {}).values())

    def is_known(self, runner: str) -> bool:
        """Tell whether a runner still has an entry."""
        entry = self.entries.get(runner)
        return entry is not None and entry.endpoint is not None


def _is_older_copy(
    held: RunnerEntry, version: Stamp, raw: bytes | None
) -> bool:
    """Tell whether a row is one that the store lost a newer one of."""
    if raw is None or held.last_raw is None:
        return False
    if find_era(version) == find_era(held.version):
        return False
    if raw == held.last_raw:
        return True
    known, found = decode_order(held.last_raw), decode_order(raw)
    return known is not None and found is not None and found < known


def _went_down(before: Endpoint | None, after: Endpoint | None) -> bool:
    if before is None:
        return False
    return after is None or after.born != before.born


def _began_to_leave(before: Endpoint | None, after: Endpoint | None) -> bool:
    """Tell whether a runner goes; some are deleted without saying so."""
    if before is None or before.leaving:
        return False
    return after is None or after.leaving


def _describe(endpoint: Endpoint | None) -> str:
    if endpoint is None:
        return "gone"
    return "leaving" if endpoint.leaving else "ready"
