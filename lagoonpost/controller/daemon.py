"""The controller process: shard leases, orders to runners, ledger sweep."""

import asyncio
import signal
from collections.abc import Collection, Sequence

import eliot
import xxhash

from lagoonpost.controller.loop import Controller
from lagoonpost.controller.order import OrderSender
from lagoonpost.controller.sweep import SHARD as SWEEP_SHARD
from lagoonpost.controller.sweep import sweep_ledger
from lagoonpost.http.account import ClientAccount, read_descriptor_limit
from lagoonpost.http.client import Client
from lagoonpost.peers.node import Peers, PeerSettings
from lagoonpost.settings import ControllerSettings
from lagoonpost.store.lease import LeaseManager
from lagoonpost.store.table import TableStore
from lagoonpost.store.watch import DeclarationWatch
from lagoonpost.systems.order import DesiredState
from lagoonpost.systems.process_budget import DEFAULT_MEMORY_MB, divide
from lagoonpost.tables.entity import Declaration, Runner
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.peer import Member

# Enough shards that with 320 controllers none handles a large share of 2,800
# runners, and few enough that leases cost the store under 10 writes a second.
RUNNER_SHARDS = 16
RUNNER_PREFIX = "runners-"
RECONCILE_SECONDS = 1.0


class ControllerDaemon:
    """A controller process, from its settings to its shutdown."""

    def __init__(self, settings: ControllerSettings) -> None:
        self._settings = settings
        self._client = Client()
        self._store = TableStore(self._client, settings.platform)
        self._declaration = Declaration()
        self._watch = DeclarationWatch(self._store, self._apply_declaration)
        self._peers = Peers(
            PeerSettings(
                name=settings.name,
                role="controller",
                region=settings.region,
                failure_domain=settings.failure_domain,
                address=settings.peer_listen,
                seeds=settings.seeds,
            ),
            self._handle_facts,
            self._handle_members,
            account=ClientAccount(
                divide(DEFAULT_MEMORY_MB, read_descriptor_limit()).peers
            ),
        )
        shards = [f"{RUNNER_PREFIX}{n}" for n in range(RUNNER_SHARDS)]
        self._controller = Controller(
            self._store,
            settings.name,
            [*shards, SWEEP_SHARD],
            self._run_shard,
            self._list_live_controllers,
        )

    async def run(self) -> None:
        """Work until SIGTERM or SIGINT, then release all leases."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        await self._peers.start()
        watching = asyncio.create_task(self._watch.run())
        eliot.log_message(
            message_type="lagoonpost:controller:started",
            controller=self._settings.name,
        )
        try:
            await self._controller.run(stop)
        finally:
            watching.cancel()
            await self._peers.close()
            self._client.close()

    def _apply_declaration(self, declaration: Declaration) -> None:
        self._declaration = declaration

    def _handle_facts(self, facts: Sequence[Fact]) -> None:
        for fact in facts:
            if fact.kind == "revision":
                self._watch.observe_revision(fact.rank)

    def _handle_members(self, members: Sequence[Member]) -> None:
        """Ignore membership changes; live members are read on demand."""

    def _list_live_controllers(self) -> Collection[str]:
        return [
            member.name
            for member in self._peers.members()
            if member.role == "controller"
        ]

    async def _run_shard(self, shard: str, keeper: LeaseManager) -> None:
        if shard == SWEEP_SHARD:
            await sweep_ledger(self._store, keeper)
            return
        orders = OrderSender(self._client, keeper)
        while keeper.is_held():
            # A controller with an outdated declaration would order runners
            # back to an earlier state.
            if self._watch.is_current():
                runners = self._list_runners(shard)
                wanted = {
                    runner.name: DesiredState((runner.version,))
                    for runner in runners
                }
                await orders.reconcile(runners, wanted)
            await asyncio.sleep(RECONCILE_SECONDS)

    def _list_runners(self, shard: str) -> list[Runner]:
        models = {
            service.name
            for service in self._declaration.services
            if service.kind == "model"
        }
        return [
            runner
            for runner in self._declaration.runners
            if runner.service in models and choose_shard(runner.name) == shard
        ]


def choose_shard(runner: str) -> str:
    """Return the shard of a runner, equal on all controllers."""
    number = xxhash.xxh3_64_intdigest(runner.encode()) % RUNNER_SHARDS
    return f"{RUNNER_PREFIX}{number}"
