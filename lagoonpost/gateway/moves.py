"""Carries out version moves: traffic shares, evidence and rollbacks."""

import asyncio
import time
from collections.abc import Callable
from typing import Any, cast

import eliot
import msgspec

from lagoonpost.gateway.state import Gateway
from lagoonpost.store.store import Condition, Store, Unavailable, Write
from lagoonpost.systems.event import Declared
from lagoonpost.systems.move import (
    DeadlineTooNear,
    MoveRow,
    begin_move,
    compute_share,
    finish_move,
)
from lagoonpost.systems.rollout import Outcome, Report, Rollout
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.entity import Declaration, Runner, VersionMove
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.request import RequestRow
from lagoonpost.unreadable import read_fact, read_row

TICK_SECONDS = 0.25
# Evidence is of no use after its interval has been evaluated.
EVIDENCE_TTL_SECONDS = 30.0
RECORD_INTERVAL_SECONDS = 1.0
# Failures of one runner within this time count as one loss: all connections
# to a lost runner are found broken within seconds of one another.
LOSS_WINDOW_SECONDS = 10.0
STORE_PREFIX = "move/"


def make_key(move: VersionMove) -> str:
    """Return the key of a move, which is the same on all gateways."""
    return f"{move.service}/{move.ticket}"


class VersionMoves:
    """Carries out the declared version moves on one gateway.

    All gateways compute the same shares and outcomes from the same gossiped
    facts, so a move proceeds and ends without a controller. The store keeps
    the row of each move for a gateway that starts when no peer has it.

    Args:
        gateway: Gateway to apply the moves to.
        store: Table store of the platform.
        publish: Publishes a fact to all gateways, including this one.
        is_current: Returns whether the facts from peers are up to date.

    Attributes:
        fact_handlers: Handlers of gossiped facts, by kind of fact.
    """

    def __init__(
        self,
        gateway: Gateway,
        store: Store,
        publish: Callable[[Fact], None],
        is_current: Callable[[], bool],
    ) -> None:
        self._gateway = gateway
        self._store = store
        self._publish = publish
        self._is_current = is_current
        self._rollouts: dict[str, Rollout] = {}
        self._pending_rows: dict[str, MoveRow] = {}
        self._pending_reports: dict[str, list[Report]] = {}
        self._shares: dict[str, float] = {}
        self._recorded_outcomes: dict[str, str] = {}
        self._lost_at: dict[str, float] = {}
        self._facts_current_at = time.time()
        self.fact_handlers: dict[str, Callable[[Fact], None]] = {
            "move_begun": self._handle_row,
            "version_tripped": self._handle_row,
            "move_evidence": self._handle_report,
        }

    async def run(self) -> None:
        """Call `tick` periodically until cancelled."""
        while True:
            if self._gateway.phase != "starting":
                await self.tick(time.time())
            await asyncio.sleep(TICK_SECONDS)

    async def tick(self, now: float) -> None:
        """Begin, evaluate and finish moves, and apply their shares.

        Args:
            now: Current time in seconds since the epoch.
        """
        if self._is_current():
            self._facts_current_at = now
        self._drop_replaced()
        for move in self._gateway.declaration.moves:
            key = make_key(move)
            if key not in self._rollouts:
                await self._begin(key, move, now)
            if key in self._rollouts:
                self._evaluate(key, now)
        self._update_shares(now)

    async def run_records(self) -> None:
        """Write the rows of moves to the store until cancelled.

        Separate from `run`, so that a slow store does not delay the rollback
        of a bad version.
        """
        while True:
            for key in tuple(self._rollouts):
                await self._record(key)
            await asyncio.sleep(RECORD_INTERVAL_SECONDS)

    def share(self, service: str) -> float:
        """Return the new version's current share of a service's requests."""
        return self._shares.get(service, 0.0)

    def record_loss(self, runner: str) -> bool:
        """Record the loss of a runner; return False for a repeated report.

        After ``LOSS_WINDOW_SECONDS`` a loss counts again, even if requests
        failed all the time: otherwise a version that crashes at every start
        would go undetected.
        """
        now = time.time()
        if now - self._lost_at.get(runner, 0.0) <= LOSS_WINDOW_SECONDS:
            return False
        self._lost_at[runner] = now
        return True

    def record_attempt(
        self,
        row: RequestRow,
        runner: Runner,
        share: float,
        *,
        failed: bool,
        slow: bool,
    ) -> None:
        """Record the outcome of an attempt as evidence on its version."""
        outcome = Outcome(row.route, runner.version, share, failed, slow)
        for rollout in self._find_rollouts(row.service):
            rollout.record(outcome, time.time())

    def describe(self) -> list[dict[str, Any]]:
        """Return the state of all moves for the operators' status page."""
        now = time.time()
        return [
            {
                "service": rollout.row.move.service,
                "from": rollout.row.move.from_version,
                "to": rollout.row.move.to_version,
                "ticket": rollout.row.move.ticket,
                "outcome": rollout.row.outcome,
                "reason": rollout.row.reason,
                "share": round(self.share(rollout.row.move.service), 4),
                "evidence": rollout.describe_evidence(),
                "seconds_left": round(rollout.row.move.deadline - now, 1),
            }
            for rollout in self._rollouts.values()
        ]

    def _drop_replaced(self) -> None:
        """Drop moves that the declaration no longer lists.

        Shares are stored by service: a move that was rolled back and then
        replaced would otherwise apply the share of its replacement to its
        own bad version.
        """
        declared = {make_key(move) for move in self._gateway.declaration.moves}
        for key in self._rollouts.keys() - declared:
            del self._rollouts[key]

    def _find_rollouts(self, service: str) -> list[Rollout]:
        return [
            rollout
            for rollout in self._rollouts.values()
            if rollout.row.move.service == service
        ]

    async def _begin(self, key: str, move: VersionMove, now: float) -> None:
        row = self._pending_rows.get(key)
        if row is None:
            row = await self._read_row(key, move, now)
        if row is None:
            row = self._make_row(move, now)
            body = msgspec.msgpack.encode(row)
            # Gateways that begin at the same time publish rows that differ
            # slightly; all of them adopt the larger one.
            self._publish(Fact("move_begun", key, 1, body))
            row = self._pending_rows.get(key, row)
        service = self._gateway.find_service(move.service)
        routes = len(service.routes) if service else 1
        self._rollouts[key] = Rollout(row, routes)
        for report in self._pending_reports.pop(key, ()):
            self._rollouts[key].add_report(report)
        self._log(row)

    def _make_row(self, move: VersionMove, now: float) -> MoveRow:
        begun = begin_move(move, now)
        if not isinstance(begun, DeadlineTooNear):
            return begun
        reason = f"too near; the earliest time is {begun.earliest:.0f}"
        return MoveRow(move, now, now, "taken_back", reason, now)

    def _evaluate(self, key: str, now: float) -> None:
        rollout = self._rollouts[key]
        if rollout.row.outcome != "moving":
            return
        name = self._gateway.settings.name
        for report in rollout.close_intervals(name, now):
            fact_key = f"{key}/{report.interval}/{name}"
            body = msgspec.msgpack.encode(report)
            end = now + EVIDENCE_TTL_SECONDS
            self._publish(Fact("move_evidence", fact_key, 1, body, end))
        if rollout.evaluate(now):
            self._roll_back(key, rollout.describe_evidence(), now)
        elif not self._has_runner(rollout.row.move):
            self._roll_back(key, "no runner serves the new version", now)
        elif finish_move(rollout.row, now) != rollout.row:
            rollout.row = finish_move(rollout.row, now)
            self._log(rollout.row)

    def _roll_back(self, key: str, reason: str, now: float) -> None:
        row = self._rollouts[key].roll_back(reason, now)
        body = msgspec.msgpack.encode(row)
        self._publish(Fact("version_tripped", key, 1, body))
        self._log(row)

    def _has_runner(self, move: VersionMove) -> bool:
        return any(
            runner.service == move.service
            and runner.version == move.to_version
            and not self._gateway.is_leaving(runner.name)
            for runner in self._gateway.declaration.runners
        )

    def _handle_row(self, fact: Fact) -> None:
        row = read_fact(fact, MoveRow)
        if isinstance(row, Unreadable):
            return
        rollout = self._rollouts.get(fact.key)
        if rollout is None:
            known = self._pending_rows.get(fact.key)
            if known is None or known.outcome == "moving":
                self._pending_rows[fact.key] = row
            return
        if fact.kind == "move_begun":
            # Two gateways began the move concurrently; all adopt one row.
            if rollout.row.outcome == "moving":
                rollout.row = row
        elif rollout.merge(row):
            self._log(rollout.row)
        self._update_shares(time.time())

    def _handle_report(self, fact: Fact) -> None:
        report = read_fact(fact, Report)
        if isinstance(report, Unreadable):
            return
        service, ticket, *_ = (*fact.key.split("/", 2), "")
        key = f"{service}/{ticket}"
        if key in self._rollouts:
            self._rollouts[key].add_report(report)
        else:
            self._pending_reports.setdefault(key, []).append(report)

    def _update_shares(self, now: float) -> None:
        """Recompute the shares and apply them if they changed."""
        shares = {
            rollout.row.move.service: self._compute_share(rollout.row, now)
            for rollout in self._rollouts.values()
        }
        if shares == self._shares:
            return
        self._shares = shares
        self._gateway.dispatcher.notify(
            Declared(self.apply_shares(self._gateway.declaration))
        )

    def apply_shares(self, declaration: Declaration) -> Declaration:
        """Return the declaration with the current shares of all moves."""
        shares: dict[tuple[str, str], float] = {}
        for rollout in self._rollouts.values():
            move = rollout.row.move
            share = self._shares.get(move.service, 0.0)
            shares[move.service, move.to_version] = share
            shares[move.service, move.from_version] = 1.0 - share
        versions = tuple(
            version._replace(
                share=shares.get(
                    (version.service, version.name), version.share
                )
            )
            for version in declaration.versions
        )
        return declaration._replace(versions=versions)

    def _compute_share(self, row: MoveRow, now: float) -> float:
        names = [member.name for member in self._gateway.members()]
        me = self._gateway.settings.name
        current_at = self._facts_current_at if len(names) > 1 else now
        return compute_share(row, me, names or [me], now, current_at)

    async def _read_row(
        self, key: str, move: VersionMove, now: float
    ) -> MoveRow | None:
        """Return the stored row of a move; None if there is none.

        A row that can't be read may have recorded that the new version is bad,
        so the move counts as taken back; operators may declare it once more.
        """
        found = await self._store.read([STORE_PREFIX + key])
        if isinstance(found, Unavailable) or not found[0].version:
            return None
        row = read_row(found[0].key, found[0].value, MoveRow)
        if isinstance(row, Unreadable):
            reason = f"row {found[0].key!r} can't be read: {row.reason}"
            return MoveRow(move, now, now, "taken_back", reason, now)
        return cast(MoveRow, row)

    async def _record(self, key: str) -> None:
        """Write the row of a move to the store if its outcome has changed."""
        row = self._rollouts[key].row
        if self._recorded_outcomes.get(key) == row.outcome:
            return
        found = await self._store.read([STORE_PREFIX + key])
        if isinstance(found, Unavailable):
            return
        if found[0].version:
            stored = read_row(found[0].key, found[0].value, MoveRow)
            readable = not isinstance(stored, Unreadable)
            if readable and stored.outcome == row.outcome:
                self._recorded_outcomes[key] = row.outcome
                return
        condition = Condition(STORE_PREFIX + key, found[0].version)
        write = Write(STORE_PREFIX + key, msgspec.to_builtins(row))
        await self._store.transact([condition], [write])

    def _log(self, row: MoveRow) -> None:
        eliot.log_message(
            message_type="lagoonpost:gateway:version_move",
            service=row.move.service,
            ticket=row.move.ticket,
            to=row.move.to_version,
            outcome=row.outcome,
            reason=row.reason,
        )
