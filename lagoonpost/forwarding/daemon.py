"""The forwarding gateway's process: wires, starts and stops its components."""

import asyncio
import random
import signal
import socket
from collections.abc import Coroutine, Iterator, Mapping
from typing import Any

import eliot

from lagoonpost.forwarding.admission import Admission
from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.crash_recorder import WRITERS, CrashRecorder
from lagoonpost.forwarding.crash_watch import CrashWatch
from lagoonpost.forwarding.directory import Directory
from lagoonpost.forwarding.duties import LeaderDuties
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.forwarder import Forwarder
from lagoonpost.forwarding.metrics import ForwardingMetrics
from lagoonpost.forwarding.peer_key import PeerKey
from lagoonpost.forwarding.peer_sync import PeerSync, make_links
from lagoonpost.forwarding.quota_recorder import QuotaRecorder
from lagoonpost.forwarding.request_log import log_exchange
from lagoonpost.forwarding.runner_paths import RunnerPaths
from lagoonpost.forwarding.speed_exchange import SpeedExchange
from lagoonpost.forwarding.store_follower import (
    StoreFollower,
    find_feed_wait,
    read_configuration,
)
from lagoonpost.forwarding.timers import sleep_aligned
from lagoonpost.forwarding.tunnel_server import TunnelServer
from lagoonpost.forwarding.usage_counter import UsageCounter
from lagoonpost.forwarding.version_shifts import (
    VersionShifts,
    run_version_shifts,
)
from lagoonpost.forwarding.watchers import (
    SettingsWatcher,
    watch_for_suspension,
)
from lagoonpost.http.account import ClientAccount, read_descriptor_limit
from lagoonpost.http.client import Client
from lagoonpost.http.message import Address
from lagoonpost.http.responder import Limits
from lagoonpost.http.server import Handler, Server
from lagoonpost.http.tunnel import describe_keepalive
from lagoonpost.peers.node import make_clock
from lagoonpost.platform.cloud import CloudClient
from lagoonpost.platform.settings import HostSettings
from lagoonpost.platform.store import PlatformStore
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.hub import READER_LONG_POLL_SECONDS
from lagoonpost.systems.process_budget import divide
from lagoonpost.systems.route import RouteTable
from lagoonpost.systems.scheduling import SchedulingSetting, choose_parts
from lagoonpost.systems.shift import ExposureBounds
from lagoonpost.tables.control_traffic import ControlTraffic
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.gateway_report import GatewayReport, UsageByAge

LAME_DUCK_SECONDS = 2.5
"""Time in which a leaving gateway still accepts connections. Callers resolve
the gateways' addresses again after two seconds."""
EXIT_RESERVE_SECONDS = 0.7
"""Part of the grace period that is reserved for the process to exit."""
BODYLESS_LIMITS = Limits(
    body=4096, head=16384, read_seconds=3.0, idle_seconds=15.0
)
"""Limits of the directory, readiness and metrics, which need no body."""
MAINTENANCE_INTERVAL_SECONDS = 0.25
"""Pause between rounds of periodic housekeeping."""
SHIFT_INTERVAL_SECONDS = 0.5
"""Pause between checks of services that shift to another version."""
BASE_RUNNERS = 1
"""Minimum number of on-demand runners of each scaled service."""
AUTOMATIC_SCHEDULING = SchedulingSetting()


class ForwardingDaemon:
    """One forwarding gateway, from reading its settings to its exit.

    Args:
        path: Settings file that the platform writes.
        base_runners: Minimum number of on-demand runners of each scaled
            service.
        metrics_port: Port on which the metrics are served, at the same host
            as the callers' requests; 0 to disable.
        listeners: Sockets that are already listening, by address.
        scheduling: Parts of the scheduling that may be in effect.

    Attributes:
        view: This gateway's view of the configuration and the runners.
    """

    def __init__(
        self,
        path: str,
        base_runners: int = BASE_RUNNERS,
        metrics_port: int = 0,
        listeners: Mapping[Address, socket.socket] | None = None,
        scheduling: SchedulingSetting = AUTOMATIC_SCHEDULING,
    ) -> None:
        self._listeners = listeners or {}
        self._scheduling = scheduling
        self._settings_watcher = SettingsWatcher(path, self._apply_settings)
        settings = self._settings = self._settings_watcher.settings
        # Seeded, so that simulated days are reproducible.
        rng = random.Random(settings.name)
        budget = divide(
            settings.memory_mb, settings.max_fds or read_descriptor_limit()
        )
        self._client = Client(max_buffered=budget.answer_bytes)
        traffic = ControlTraffic()
        self._metrics = ForwardingMetrics(traffic, self._update_gauges)
        self.view = ClusterState(
            read_clock, settings.name, settings.regions, rng
        )
        self._store = PlatformStore(self._client, settings.store, traffic)
        wall_clock = self._wall_clock = make_clock()
        bounds = settings.bounds
        self._peer_key = PeerKey(self._store, rng)
        usage = UsageCounter(bounds.usage_window, wall_clock)
        self._usage = usage
        crashes = self._crashes = CrashWatch(wall_clock)
        self._forwarder = Forwarder(
            self.view,
            # What runners send must not take room from the store's answers.
            Client(max_buffered=budget.answer_bytes),
            usage,
            settings.bounds,
            rng,
            self._record_exchange,
            Admission(
                self.view,
                crashes,
                settings.bounds,
                rng,
                None if settings.first_start else read_clock(),
                any(seed != settings.peer for seed in settings.seeds),
            ),
            crashes,
            lambda reach: RunnerPaths(
                self._client,
                self.view,
                reach,
                self._peer_key,
                lambda: self._cluster.find_others(),
                settings.region,
                crashes.note_down,
                rng,
            ),
            self._store,
            lambda: self._follower.lost,
        )
        self._cluster = PeerSync(
            settings,
            self.view,
            self,
            crashes.merge,
            self._forwarder.notices.merge,
            lambda fact: self._shifts.handle_fact(fact),
            self._note_recorded_quota,
            self._store.eras.note,
            rng,
            make_links(traffic, ClientAccount(budget.peers)),
            lambda: read_configuration(self._store),
        )
        self._shifts = VersionShifts(
            ExposureBounds(bounds.exposure_share, bounds.exposure_slack),
            rng,
            self._cluster.peers.publish,
            wall_clock,
            None if settings.first_start else read_clock(),
        )
        self._forwarder.connect(self._cluster, self._shifts)
        self._speeds = SpeedExchange(
            self._forwarder.placement,
            lambda: asyncio.get_running_loop().time(),
        )
        self._cluster.reports.speeds = self._speeds
        self._tunnels = TunnelServer(
            self._client,
            self.view,
            self._forwarder.placement.reach,
            self._peer_key,
            self._shifts.is_rolled_back,
            self._forwarder.notices,
            budget.tunnels,
        )
        crashes.publish = self._cluster.publish_news
        self._crash_recorder = CrashRecorder(
            self._store,
            crashes,
            self._is_crash_writer,
            self._cluster.reports.reachable_share,
        )
        self.view.on_runner_down.append(crashes.note_down)
        self.view.was_store_unavailable = self._cluster.was_store_unavailable
        self._bursts = QuotaRecorder(
            self._store,
            settings.name,
            self._forwarder.admission.quotas,
            self._cluster,
            self.view.list_workspaces,
            lambda: self._store.eras.era,
        )
        self._forwarder.admission.on_quota_charged = self._bursts.check_usage
        self._follower = StoreFollower(
            self._store,
            self.view,
            self._cluster.publish_entry,
            self._cluster.publish_configuration,
            self._cluster.publish_evacuation,
            self._cluster.find_read_pause,
            self._find_feed_timeout,
            self._shifts.handle_row,
        )
        self._clients = ClientAccount(budget.clients)
        self._server = Server(
            self._forwarder.handle,
            Limits(),
            cancel_on_disconnect=True,
            account=self._clients,
        )
        self.view.on_configuration.append(self._apply_limits)
        directory = Directory(
            self._cluster.entries,
            self._is_ready,
            settings.bounds.ttl_most,
            rng,
        )
        # Callers reach the directory; the other two must answer whatever
        # callers take.
        auxiliary = ClientAccount(budget.auxiliary)
        doors: list[tuple[Address | None, Handler, ClientAccount]] = [
            (settings.ready, directory.handle, auxiliary),
            (settings.directory, directory.handle, self._clients),
        ]
        if metrics_port:
            address = Address(settings.entry.host, metrics_port)
            doors.append((address, self._metrics.handle, auxiliary))
        self._auxiliary_servers = [
            (address, Server(handler, BODYLESS_LIMITS, account=account))
            for address, handler, account in doors
            if address is not None
        ]
        self._duties = None
        if settings.cloud is not None:
            self._duties = LeaderDuties(
                settings,
                self._store,
                CloudClient(self._client, settings.cloud),
                self.view,
                self._cluster,
                wall_clock,
                base_runners,
                self._shifts.is_shifting,
            )
            self._store.eras.era_listeners.append(self._duties.handle_new_era)
        self._store.eras.era_listeners += [
            self.view.handle_new_era,
            self._follower.handle_new_era,
            self._cluster.handle_new_era,
            self._shifts.handle_new_era,
            self._forwarder.admission.quotas.forget_records,
            self._peer_key.refresh,
            self._crash_recorder.handle_new_era,
            self._forwarder.retries.handle_new_era,
        ]
        self._leaving = False
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._settings_watcher.reload)
        await self.start()
        await self._stop.wait()
        await self.leave()

    async def start(self) -> None:
        """Start the servers and begin to follow the store and the peers."""
        settings = self._settings
        self._spawn(self._follower.run())
        await self._cluster.start()
        if settings.tunnel is not None:
            await self._tunnels.start(settings.tunnel)
        await self._serve(self._server, settings.entry)
        for address, server in self._auxiliary_servers:
            await self._serve(server, address)
        self._spawn(self._cluster.run())
        self._spawn(self._cluster.discover_gateways(self._store))
        self._spawn(self._bursts.run())
        self._spawn(self._peer_key.run())
        self._spawn(self._crash_recorder.run(not settings.first_start))
        self._spawn(self._forwarder.paths.run())
        self._spawn(self._run_maintenance())
        self._spawn(self._settings_watcher.run())
        self._spawn(watch_for_suspension(self._reconnect))
        if self._duties is not None:
            self._spawn(self._duties.run())
            self._spawn(
                run_version_shifts(
                    self._shifts,
                    self._store,
                    self._duties.is_held,
                    self._duties.is_contender,
                    self._cluster.reports.list_reports,
                    SHIFT_INTERVAL_SECONDS,
                )
            )
        eliot.log_message(
            message_type="lagoonpost:forwarding:started",
            settings=settings._asdict(),
            run=self._cluster.reports.run_id,
            keepalive=describe_keepalive(),
        )

    async def _serve(self, server: Server, address: Address) -> None:
        await server.start(address, self._listeners.get(address))

    def _apply_settings(self, settings: HostSettings) -> None:
        """Apply reloaded settings, except for addresses and names."""
        self._forwarder.set_bounds(settings.bounds)
        self._cluster.set_bounds(settings.bounds)
        self._cluster.peers.add_seeds(settings.seeds)

    def _find_feed_timeout(self) -> float:
        contact = self._settings_watcher.settings.bounds.contact_seconds
        timeout = find_feed_wait(
            contact, self._cluster.find_read_pause() or 0.0
        )
        if self._cluster.find_roles().mesh:
            return timeout
        return min(timeout, READER_LONG_POLL_SECONDS)

    def _reconnect(self) -> None:
        self._client.close()
        self._follower.restart()

    async def leave(self) -> None:
        """Shut down gracefully.

        Deregisters from the peers, accepts connections for a short time
        while callers switch to other gateways, and waits within the grace
        period for the requests in flight.
        """
        self._leaving = True
        grace = self._settings_watcher.settings.bounds.grace_seconds
        loop = asyncio.get_running_loop()
        end = loop.time() + grace - EXIT_RESERVE_SECONDS
        eliot.log_message(
            message_type="lagoonpost:forwarding:leaving", grace=grace
        )
        self._server.leave()
        self._tunnels.leave()
        if self._duties is not None:
            self._duties.leave()
        await self._cluster.peers.leave()
        if self._duties is not None:
            await self._duties.release()
        await asyncio.sleep(min(LAME_DUCK_SECONDS, grace / 3))
        await self._server.drain(end - loop.time())
        await self._tunnels.drain(end - loop.time())
        for task in self._tasks:
            task.cancel()
        await self._tunnels.close()
        await self._server.close(0.0)
        eliot.log_message(message_type="lagoonpost:forwarding:stopped")

    async def abort(self) -> None:
        """Stop immediately, as in a crash."""
        for task in self._tasks:
            task.cancel()
        for _, server in self._auxiliary_servers:
            await server.close(0.0)
        await self._server.close(0.0)
        await self._tunnels.close()
        await self._cluster.close()

    def _record_exchange(self, exchange: Exchange) -> None:
        self._metrics.note(exchange)
        log_exchange(exchange)

    def _is_ready(self) -> bool:
        return self.view.routes is not None and not self._leaving

    def _apply_limits(self, routes: RouteTable) -> None:
        limits = routes.configuration.limits
        self._server.limits = self._server.limits._replace(
            body=limits.body,
            head=limits.head,
            head_seconds=limits.head_seconds,
            idle_seconds=limits.idle_seconds,
        )

    # Exchange of reports with the other gateways

    def make_report(self, name: str, run: str) -> GatewayReport:
        """Return the report that this gateway publishes.

        Args:
            name: Name of this gateway.
            run: Id of this process run.
        """
        forwarder = self._forwarder
        quotas = forwarder.admission.quotas
        quotas.mark_published()
        now = read_clock()
        return GatewayReport(
            name=name,
            run=run,
            work=forwarder.placement.report(),
            used={name: round(units) for name, units in quotas.used.items()},
            recent={
                name: round(units)
                for name, units in quotas.list_own_usage(now).items()
            },
            dated_usage=quotas.list_dated_usage(now),
            quota_order=quotas.note_report(now),
            begun=self._usage.begun,
            prompt_tokens=forwarder.offers.prompt_tokens,
            unread_prompt_tokens=self._sum_waiting(),
            seconds_per_prompt_token=forwarder.placement.unloaded_paces,
            version=self.view.version,
            shift_counts=self._shifts.report(),
            read_age=self._follower.find_age(),
            speeds=self._speeds.make_report(),
            demand=forwarder.admission.shares.make_report(now)
            if forwarder.scheduling.shares
            else None,
        )

    def handle_report(self, report: GatewayReport) -> None:
        """Process a new report of another gateway."""
        now = read_clock()
        self._speeds.handle_report(report.speeds)
        sender = f"{report.name}/{report.run}"
        quotas = self._forwarder.admission.quotas
        quotas.update_from_peers(
            sender,
            report.used,
            report.recent,
            now,
            report.quota_order,
            report.dated_usage,
        )
        self._bursts.check_usage()
        if self._cluster.find_roles().mesh:
            return
        if quotas.is_near_limit(self.view.list_workspaces(), now):
            self._cluster.reports.send_soon()

    def list_taken(self) -> UsageByAge:
        """Return the quota used at all gateways."""
        quotas = self._forwarder.admission.quotas
        return quotas.list_taken(read_clock(), self.view.list_workspaces())

    def apply_taken(self, taken: UsageByAge, since: float) -> None:
        """Process the quota totals that a hub computed.

        Args:
            taken: Quota used at all gateways.
            since: Time up to which this gateway's own use is included, in
                seconds.
        """
        self._forwarder.admission.quotas.replace_with_summary(
            taken, since, read_clock()
        )

    def _sum_waiting(self) -> dict[str, int]:
        """Return the prompt tokens of requests in flight, by service."""
        waiting: dict[str, int] = {}
        for runner, work in self._forwarder.placement.report().items():
            entry = self.view.entries.get(runner)
            if entry is not None and entry.endpoint is not None:
                service = entry.endpoint.service
                waiting[service] = waiting.get(service, 0) + work.tokens
        return waiting

    def _is_crash_writer(self) -> bool:
        hubs = self._cluster.find_roles().store_hubs
        return self._settings.name in hubs[:WRITERS]

    def _note_recorded_quota(self, workspace: str, age: float) -> None:
        quotas = self._forwarder.admission.quotas
        quotas.note_recorded(workspace, read_clock() - age)

    async def _run_maintenance(self) -> None:
        while True:
            await sleep_aligned(MAINTENANCE_INTERVAL_SECONDS)
            self._forwarder.set_scheduling(
                choose_parts(
                    self._scheduling,
                    self._cluster.count_gateways(),
                    self._forwarder.scheduling,
                )
            )
            peer_work = self._cluster.reports.sum_peer_work()
            self._forwarder.note_peer_work(peer_work)
            self._speeds.review(self._find_endpoints())
            self._cluster.publish_store_lost(self._follower.lost)
            self._crashes.forget_old()
            self.view.notices.forget_old(read_clock())
            self._forwarder.permits.note_members(
                self._cluster.peers.all_members(), self._wall_clock()
            )
            for key in self.view.drop_lapsed():
                self._cluster.publish_entry(key)
            self._forwarder.placement.forget_missing(
                key for key in self.view.entries if self.view.is_known(key)
            )

    def _find_endpoints(self) -> Iterator[Endpoint]:
        """Yield the endpoints of all known runners."""
        for entry in self.view.entries.values():
            if entry.endpoint is not None:
                yield entry.endpoint

    def _update_gauges(self) -> None:
        metrics = self._metrics
        metrics.configuration.set(self.view.version)
        metrics.store_lost.set(self._follower.lost)
        for table, age in self._follower.list_ages():
            metrics.store_age.labels(table).set(age)
        metrics.gateways.set(self._cluster.count_gateways())
        clients = self._clients
        metrics.client_bytes.set(clients.memory)
        metrics.client_descriptors.set(clients.descriptors)
        metrics.clients_bounded.labels("closed").set(clients.closed)
        metrics.clients_bounded.labels("refused").set(clients.refused)
        is_leader = self._duties is not None and self._duties.is_held()
        metrics.duties_held.set(is_leader)
        metrics.set_slowness(self._speeds.list_exported())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._stop_on_failure)
        self._tasks.append(task)

    def _stop_on_failure(self, task: asyncio.Task[None]) -> None:
        """Stop the process if one of its background tasks failed.

        A gateway that kept running without receiving updates would serve an
        old configuration forever. After an exit, it is restarted.
        """
        if task.cancelled() or task.exception() is None:
            return
        eliot.log_message(
            message_type="lagoonpost:forwarding:broken",
            detail=repr(task.exception()),
        )
        self._stop.set()
