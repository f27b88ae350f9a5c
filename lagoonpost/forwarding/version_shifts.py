"""Moves of services to new versions: what this gateway sends, hears, tells."""

from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random
from typing import NamedTuple

import eliot
import msgspec

from lagoonpost.forwarding.timers import sleep_aligned
from lagoonpost.platform.configuration import UnreadableError
from lagoonpost.platform.rollout import (
    ORDER_PREFIX,
    decode_end,
    decode_order,
    make_status,
)
from lagoonpost.platform.store import FeedRow, PlatformStore
from lagoonpost.store.clock import read_clock
from lagoonpost.store.store import Committed, Unavailable
from lagoonpost.systems.shift import (
    MAX_TRIAL_SHARE,
    Exposure,
    ExposureBounds,
    ShiftEvaluator,
)
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.gateway_report import GatewayReport
from lagoonpost.tables.stamp import find_era, find_version
from lagoonpost.tables.version_shift import (
    SHIFT_PHASES,
    ShiftOrder,
    ShiftPhase,
    VersionCounts,
    add_counts,
)

Counts = dict[str, VersionCounts]
FINAL_PHASES: tuple[ShiftPhase, ...] = ("complete", "taken_back")
ROLLBACK_PHASES: tuple[ShiftPhase, ...] = ("taken_back",)


class _Told(NamedTuple):
    """Body of a fact about an order.

    Attributes:
        order: The order.
        phase: How far it is.
        before: Milliseconds from the order's start to the epoch, below zero
            so that the earliest start is the largest of bodies that are
            alike else; zero if it is not told.
    """

    order: ShiftOrder
    phase: ShiftPhase
    before: int = 0


class _Shift:
    """One order as this gateway knows it."""

    def __init__(self, order: ShiftOrder) -> None:
        self.order = order
        self.phase: ShiftPhase = "trial"
        self.exposure = Exposure()
        self.counts: Counts = {}
        self.evaluator = ShiftEvaluator(order, read_clock())
        self.written_phase: ShiftPhase | None = None

    @property
    def rank(self) -> int:
        """Grows with each order, and with each phase of one."""
        return self.order.number * len(SHIFT_PHASES) + SHIFT_PHASES.index(
            self.phase
        )


class VersionShifts:
    """All orders that are known here, the newest of each service.

    Args:
        bounds: What a version may get before it is trusted.
        rng: Source of random choices.
        publish: Tells other gateways a fact.
        clock: Returns seconds since the epoch; never set back.
    """

    def __init__(
        self,
        bounds: ExposureBounds,
        rng: Random,
        publish: Callable[[Fact], None],
        clock: Callable[[], float],
    ) -> None:
        self._bounds = bounds
        self._rng = rng
        self._publish = publish
        self._clock = clock
        self._shifts: dict[str, _Shift] = {}
        self._orders: set[ShiftOrder] = set()

    # Learning

    def handle_row(self, row: FeedRow) -> None:
        """Take an order from the operators' table."""
        if row.value is None or not row.key.startswith(ORDER_PREFIX):
            return
        try:
            order = decode_order(row.value, row.version)
        except UnreadableError as error:
            eliot.log_message(
                message_type="lagoonpost:shift:unreadable", detail=str(error)
            )
            return
        if self._apply(order, "trial", "store"):
            self._tell(self._shifts[order.service])

    def handle_fact(self, fact: Fact) -> None:
        """Take an order or its phase from another gateway."""
        told = msgspec.msgpack.decode(fact.body, type=_Told)
        self._apply(told.order, told.phase, "peer")
        held = self._shifts[told.order.service]
        if told.before and held.order == told.order:
            self._note_start(held, told.before)

    def _note_start(self, shift: _Shift, before: int) -> None:
        age = self._clock() + before / 1000
        # An order past its time gains nothing by it, and by one wrong clock
        # a version would get all requests before it was tried.
        if 0 <= age <= shift.order.seconds:
            shift.evaluator.merge_start(read_clock() - age)

    def _apply(
        self, order: ShiftOrder, phase: ShiftPhase, source: str
    ) -> bool:
        """Take what is newer; tell whether it was."""
        held = self._shifts.get(order.service)
        if held is not None and self._is_older_copy(held, order):
            return False
        self._orders.add(_name_content(order))
        if held is not None and _is_written_again(held.order, order):
            held.order = order
            phase = max(held.phase, phase, key=SHIFT_PHASES.index)
        elif held is None or held.order.number < order.number:
            held = self._shifts[order.service] = _Shift(order)
        elif held.order.number > order.number or SHIFT_PHASES.index(
            held.phase
        ) >= SHIFT_PHASES.index(phase):
            return False
        held.phase = phase
        if phase == "all":
            held.evaluator.mark_all_new(read_clock())
        eliot.log_message(
            message_type="lagoonpost:shift:phase",
            source=source,
            phase=phase,
            **order._asdict(),
        )
        return True

    def _is_older_copy(self, held: _Shift, order: ShiftOrder) -> bool:
        """Tell whether the store lost a newer order and shows one before."""
        return (
            find_era(order.number) > find_era(held.order.number)
            and not _is_same(held.order, order)
            and _name_content(order) in self._orders
        )

    def handle_new_era(self) -> None:
        """Tell operators again how orders are, as the store lost some rows."""
        for shift in self._shifts.values():
            shift.written_phase = None

    def _tell(self, shift: _Shift) -> None:
        age = read_clock() - shift.evaluator.started
        before = round((age - self._clock()) * 1000)
        told = _Told(shift.order, shift.phase, before)
        body = msgspec.msgpack.encode(told)
        self._publish(Fact("shift", shift.order.service, shift.rank, body))

    # Requests

    def choose_candidates(
        self, service: str, runners: Sequence[Endpoint], gateways: int
    ) -> Sequence[Endpoint]:
        """Return the runners among which a request may be placed.

        Args:
            service: Service of the request.
            runners: Its runners that may get new work.
            gateways: Number of gateways that share the bound on exposure.
        """
        shift = self._shifts.get(service)
        if shift is None or shift.phase == "complete":
            return runners
        new = [each for each in runners if each.version == shift.order.to]
        old = [each for each in runners if each.version != shift.order.to]
        match shift.phase:
            case "taken_back":
                return old
            case "all":
                return new or old
        tries = self._rng.random() < MAX_TRIAL_SHARE or not old
        if (
            new
            and tries
            and shift.exposure.allows_trial(self._bounds, gateways)
        ):
            return new
        return old

    def note_sent(self, endpoint: Endpoint) -> None:
        """Count a request that goes to a runner."""
        shift = self._shifts.get(endpoint.service)
        if shift is not None:
            shift.exposure.record_sent(endpoint.version == shift.order.to)

    def note_answer(
        self, endpoint: Endpoint, route: str, failed: bool, slow: bool
    ) -> None:
        """Count an answer, or that it broke off."""
        shift = self._shifts.get(endpoint.service)
        if shift is None or shift.phase in FINAL_PHASES:
            return
        seen = (1, int(failed), int(slow))
        none = (0, 0, 0)
        is_new = endpoint.version == shift.order.to
        counts = VersionCounts(*(seen + none if is_new else none + seen))
        before = shift.counts.get(route, VersionCounts())
        shift.counts[route] = add_counts(before, counts)

    def report(self) -> dict[str, Counts]:
        """Return the own counts by service, of orders under way."""
        return {
            service: shift.counts
            for service, shift in self._shifts.items()
            if shift.counts and shift.phase not in FINAL_PHASES
        }

    # The duty of one gateway at a time

    async def advance(
        self,
        reports: Iterable[GatewayReport],
        store: PlatformStore,
        may_go_on: Callable[[], bool] = lambda: True,
    ) -> None:
        """Judge all orders and tell operators how far they are.

        Args:
            reports: Of all gateways.
            store: Where operators read it.
            may_go_on: Tells whether it is still this gateway's duty; it may
                have passed on while the store was waited for.
        """
        held = list(reports)
        for shift in list(self._shifts.values()):
            if shift.written_phase is None:
                # An end that was written before comes before any judgement.
                await self._tell_operators(shift, store, may_go_on)
            if not may_go_on():
                return
            self._judge(shift, held, SHIFT_PHASES)
            if shift.written_phase is not None:
                await self._tell_operators(shift, store, may_go_on)

    def roll_back_bad_versions(self, reports: Iterable[GatewayReport]) -> None:
        """Take bad versions back while it is another gateway's duty.

        That one may have died, and its lease lasts longer than a bad version
        may go on. Operators are told by who has the duty next.

        Args:
            reports: Of all gateways.
        """
        held = list(reports)
        for shift in self._shifts.values():
            if shift.evaluator.may_roll_back(read_clock()):
                self._judge(shift, held, ROLLBACK_PHASES)

    def hand_over(self) -> None:
        """Note that another gateway may tell operators from now on."""
        for shift in self._shifts.values():
            shift.written_phase = None

    def _judge(
        self,
        shift: _Shift,
        held: list[GatewayReport],
        allowed: Collection[ShiftPhase],
    ) -> None:
        service = shift.order.service
        counts = _sum_counts(held, service)
        phase = shift.evaluator.advance(shift.phase, counts, read_clock())
        if phase == shift.phase or phase not in allowed:
            return
        self._apply(shift.order, phase, "own")
        self._tell(shift)
        eliot.log_message(
            message_type="lagoonpost:shift:judged",
            service=service,
            phase=phase,
            counts={k: v._asdict() for k, v in counts.items()},
        )

    async def _tell_operators(
        self,
        shift: _Shift,
        store: PlatformStore,
        may_go_on: Callable[[], bool],
    ) -> None:
        """Write the state where operators read it, never over an end.

        A gateway that takes over may know nothing of how an order ended;
        what was written before tells it. At either end runners are stopped,
        so that the first one stands.
        """
        key = f"{ORDER_PREFIX}{shift.order.service}"
        order, told = shift.order, shift.written_phase
        if told in FINAL_PHASES or (
            told is not None
            and make_status(order, told) == make_status(order, shift.phase)
        ):
            return
        row = await store.read_status(key)
        if isinstance(row, Unavailable) or not may_go_on():
            return
        end = decode_end(row.value, shift.order) if row.value else None
        if end is not None:
            # Only the own order's end counts; one to the same version that
            # was given again is not told apart, and has ended as well.
            if self._apply(shift.order, end, "status"):
                self._tell(shift)
            shift.written_phase = end
            return
        phase = shift.phase
        status = make_status(shift.order, phase)
        outcome = await store.write_status(key, row.version, status)
        if isinstance(outcome, Committed):
            shift.written_phase = phase


def _name_content(order: ShiftOrder) -> ShiftOrder:
    """Return an order as any copy of the store has it."""
    return order._replace(number=find_version(order.number))


def _is_same(one: ShiftOrder, other: ShiftOrder) -> bool:
    return one._replace(number=0) == other._replace(number=0)


def _is_written_again(held: ShiftOrder, order: ShiftOrder) -> bool:
    """Tell whether operators wrote an order again that the store lost."""
    return find_era(order.number) > find_era(held.number) and _is_same(
        held, order
    )


def _sum_counts(reports: Iterable[GatewayReport], service: str) -> Counts:
    total: Counts = {}
    for report in reports:
        for route, counts in report.shift_counts.get(service, {}).items():
            before = total.get(route, VersionCounts())
            total[route] = add_counts(before, counts)
    return total


async def run_version_shifts(
    shifts: VersionShifts,
    store: PlatformStore,
    may_advance: Callable[[], bool],
    may_watch: Callable[[], bool],
    find_reports: Callable[[], Iterable[GatewayReport]],
    pause: float,
) -> None:
    """Advance all orders until cancelled.

    Args:
        shifts: The orders.
        store: Where operators read how far they are.
        may_advance: Tells whether it is this gateway's duty.
        may_watch: Tells whether this gateway may have the duty next.
        find_reports: Returns the reports of all gateways.
        pause: Seconds between two looks.
    """
    while True:
        await sleep_aligned(pause)
        if may_advance():
            await shifts.advance(find_reports(), store, may_advance)
            continue
        shifts.hand_over()
        if may_watch():
            shifts.roll_back_bad_versions(find_reports())
