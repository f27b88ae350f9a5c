"""Shifts of services to new versions: routing, gossip, evaluation, status.

If requests were spread evenly over all runners, a bad new version would fail a
share of them as large as its share of the runners. So it gets a bounded number
of trial requests until its answers were compared with the old version's.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
from random import Random
from typing import NamedTuple

import eliot
import msgspec

from lagoonpost.forwarding.timers import sleep_aligned
from lagoonpost.platform.configuration import InvalidRowError
from lagoonpost.platform.rollout import (
    ORDER_PREFIX,
    decode_final_phase,
    decode_order,
    format_status,
)
from lagoonpost.platform.store import FeedRow, PlatformStore
from lagoonpost.store.clock import read_clock
from lagoonpost.store.store import Committed, Unavailable
from lagoonpost.systems.permit_group import INTRODUCTION_SECONDS
from lagoonpost.systems.shift import (
    MAX_TRIAL_SHARE,
    Exposure,
    ExposureBounds,
    ShiftEvaluator,
)
from lagoonpost.tables.decoding import Unreadable
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
from lagoonpost.unreadable import log_unreadable, read_fact

Counts = dict[str, VersionCounts]
FINAL_PHASES: tuple[ShiftPhase, ...] = ("complete", "taken_back")
ROLLBACK_PHASES: tuple[ShiftPhase, ...] = ("taken_back",)


class _ShiftFact(NamedTuple):
    """Body of a gossiped fact about a shift order.

    Attributes:
        order: The order.
        phase: Phase of the order.
        start_offset: Milliseconds from the order's start to the epoch, which
            is negative. Of bodies that are equal otherwise, the largest wins
            a merge, which is that with the earliest start. Zero if the start
            is unknown.
    """

    order: ShiftOrder
    phase: ShiftPhase
    start_offset: int = 0


class _Shift:
    """State of one order at this gateway.

    Attributes:
        order: The order.
        phase: Phase of the order.
        exposure: Requests sent to the old and the new version.
        counts: Counts of answers by route.
        evaluator: Decides on the next phase.
        written_phase: Phase last written or read in the status for
            operators; None if unknown.
        may_have_ended: Whether the order may have ended before this gateway
            started, as far as it knows.
    """

    def __init__(self, order: ShiftOrder, fraction: float) -> None:
        self.order = order
        self.phase: ShiftPhase = "trial"
        self.exposure = Exposure(fraction)
        self.counts: Counts = {}
        self.evaluator = ShiftEvaluator(order, read_clock())
        self.written_phase: ShiftPhase | None = None
        self.may_have_ended = False

    @property
    def rank(self) -> int:
        """Rank of the fact: grows with each order and each phase of it."""
        return self.order.number * len(SHIFT_PHASES) + SHIFT_PHASES.index(
            self.phase
        )


class VersionShifts:
    """The newest known shift order of each service.

    Args:
        bounds: Bounds on trial requests to a new version.
        rng: Source of random choices.
        publish: Gossips a fact to the other gateways.
        clock: Returns seconds since the epoch; never goes back.
        started: Time in seconds at which this process started; None if the
            whole system is new.
    """

    def __init__(
        self,
        bounds: ExposureBounds,
        rng: Random,
        publish: Callable[[Fact], None],
        clock: Callable[[], float],
        started: float | None = None,
    ) -> None:
        self._bounds = bounds
        self._started = started
        self._rng = rng
        self._publish = publish
        self._clock = clock
        self._shifts: dict[str, _Shift] = {}
        self._orders: set[ShiftOrder] = set()

    # Receiving

    def handle_row(self, row: FeedRow) -> None:
        """Handle an order from the operators' table."""
        if row.value is None or not row.key.startswith(ORDER_PREFIX):
            return
        try:
            order = decode_order(row.value, row.version)
        except InvalidRowError as error:
            log_unreadable("order", row.key, error)
            return
        if self._apply(order, "trial", "store"):
            self._publish_shift(self._shifts[order.service])
        shift = self._shifts[order.service]
        shift.may_have_ended = not self._was_settled_at(shift)

    def handle_fact(self, fact: Fact) -> None:
        """Handle a fact about an order from another gateway."""
        body = read_fact(fact, _ShiftFact)
        if isinstance(body, Unreadable):
            return
        self._apply(body.order, body.phase, "peer")
        known = self._shifts[body.order.service]
        if body.start_offset and known.order == body.order:
            self._note_start(known, body.start_offset)

    def _note_start(self, shift: _Shift, start_offset: int) -> None:
        age = self._clock() + start_offset / 1000
        # Starts beyond the order's duration are ignored: they would not help,
        # and one gateway's wrong clock would give all requests to a version
        # before it was tried.
        if 0 <= age <= shift.order.seconds:
            shift.evaluator.merge_start(read_clock() - age)

    def _apply(
        self, order: ShiftOrder, phase: ShiftPhase, source: str
    ) -> bool:
        """Apply an order or phase if it is newer; return whether it was."""
        known = self._shifts.get(order.service)
        if known is not None and self._is_older_copy(known, order):
            return False
        self._orders.add(_strip_era(order))
        if known is not None and _is_rewritten(known.order, order):
            known.order = order
            phase = max(known.phase, phase, key=SHIFT_PHASES.index)
        elif known is None or known.order.number < order.number:
            known = self._shifts[order.service] = _Shift(
                order, self._rng.random()
            )
        elif known.order.number > order.number or SHIFT_PHASES.index(
            known.phase
        ) >= SHIFT_PHASES.index(phase):
            return False
        known.phase = phase
        if phase == "all":
            known.evaluator.mark_all_new(read_clock())
        eliot.log_message(
            message_type="lagoonpost:shift:phase",
            source=source,
            phase=phase,
            **order._asdict(),
        )
        return True

    def _is_older_copy(self, known: _Shift, order: ShiftOrder) -> bool:
        """Tell whether a restored store shows an order that was superseded."""
        return (
            find_era(order.number) > find_era(known.order.number)
            and not _is_same(known.order, order)
            and _strip_era(order) in self._orders
        )

    def handle_new_era(self) -> None:
        """Schedule new writes of all statuses, as the store has lost rows."""
        for shift in self._shifts.values():
            shift.written_phase = None

    def _publish_shift(self, shift: _Shift) -> None:
        age = read_clock() - shift.evaluator.started
        start_offset = round((age - self._clock()) * 1000)
        content = _ShiftFact(shift.order, shift.phase, start_offset)
        body = msgspec.msgpack.encode(content)
        self._publish(Fact("shift", shift.order.service, shift.rank, body))

    # Requests

    def choose_candidates(
        self, service: str, runners: Sequence[Endpoint], gateways: int
    ) -> Sequence[Endpoint]:
        """Return the candidate runners for a request.

        Args:
            service: Service of the request.
            runners: Runners of the service that accept new requests.
            gateways: Number of gateways that share the exposure bound.
        """
        shift = self._shifts.get(service)
        if shift is None or shift.phase == "complete":
            return runners
        new = [r for r in runners if r.version == shift.order.to]
        old = [r for r in runners if r.version != shift.order.to]
        match shift.phase:
            case "taken_back":
                return old
            case "all":
                return new or old
        tries = self._rng.random() < MAX_TRIAL_SHARE or not old
        if (
            new
            and tries
            and shift.exposure.allows_trial(self._find_bounds(shift), gateways)
        ):
            return new
        return old

    def _find_bounds(self, shift: _Shift) -> ExposureBounds:
        """Return the bounds on trial requests of one order.

        A gateway that had not yet run for long at the order has no part of
        the slack: the process before it may have used it up, and the gateways
        that share it may not be known.
        """
        if self._was_settled_at(shift):
            return self._bounds
        return self._bounds._replace(slack=0.0)

    def _was_settled_at(self, shift: _Shift) -> bool:
        """Tell whether this gateway had run for long at an order."""
        if self._started is None:
            return True
        settled = self._started + INTRODUCTION_SECONDS
        return settled <= shift.evaluator.started

    def is_shifting(self, service: str) -> bool:
        """Tell whether a service moves to another version now."""
        shift = self._shifts.get(service)
        return shift is not None and shift.phase not in FINAL_PHASES

    def is_rolled_back(self, endpoint: Endpoint) -> bool:
        """Tell whether a runner has a version that was rolled back."""
        shift = self._shifts.get(endpoint.service)
        if shift is None or shift.phase != "taken_back":
            return False
        return endpoint.version == shift.order.to

    def note_sent(self, endpoint: Endpoint) -> None:
        """Count a request that is sent to a runner."""
        shift = self._shifts.get(endpoint.service)
        if shift is not None:
            shift.exposure.record_sent(endpoint.version == shift.order.to)

    def note_answer(
        self, endpoint: Endpoint, route: str, failed: bool, slow: bool
    ) -> None:
        """Count an answer, whether whole or broken off."""
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
        """Return this gateway's counts by service, for unfinished orders."""
        return {
            service: shift.counts
            for service, shift in self._shifts.items()
            if shift.counts and shift.phase not in FINAL_PHASES
        }

    # Evaluation, by the leader

    async def advance(
        self,
        reports: Iterable[GatewayReport],
        store: PlatformStore,
        may_go_on: Callable[[], bool] = lambda: True,
    ) -> None:
        """Evaluate all orders and write their status for operators.

        Args:
            reports: Reports of all gateways.
            store: Store that holds the status.
            may_go_on: Returns whether this gateway is still the leader;
                leadership may pass on during a store call.
        """
        all_reports = list(reports)
        for shift in list(self._shifts.values()):
            if shift.written_phase is None:
                # A final phase that was written earlier takes precedence.
                await self._write_status(shift, store, may_go_on)
            if not may_go_on():
                return
            if shift.written_phase is None:
                # The status may name an end that must not be contradicted.
                self._roll_back_if_bad(shift, all_reports)
            else:
                self._evaluate(shift, all_reports, SHIFT_PHASES)
                await self._write_status(shift, store, may_go_on)

    def roll_back_bad_versions(self, reports: Iterable[GatewayReport]) -> None:
        """Roll back bad versions while another gateway is the leader.

        The leader may have died, and its lease lasts longer than a bad
        version may stay in use. The next leader writes the status.

        Args:
            reports: Reports of all gateways.
        """
        all_reports = list(reports)
        for shift in self._shifts.values():
            self._roll_back_if_bad(shift, all_reports)

    def _roll_back_if_bad(
        self, shift: _Shift, reports: list[GatewayReport]
    ) -> None:
        may_roll_back = shift.evaluator.may_roll_back(read_clock())
        # Evaluated also without effect: what was answered before a step must
        # be known to a gateway that becomes the leader.
        self._evaluate(
            shift, reports, ROLLBACK_PHASES if may_roll_back else ()
        )

    async def read_ends(self, store: PlatformStore) -> None:
        """Read the status of orders that may have ended before the start.

        After a kill of all gateways no other one knows the end, and there is
        no leader until a lease has expired; the old runners of a complete
        version are gone meanwhile.

        Args:
            store: Store that holds the status.
        """
        for shift in list(self._shifts.values()):
            if not shift.may_have_ended or shift.phase in FINAL_PHASES:
                continue
            row = await store.read_status(_make_key(shift))
            if isinstance(row, Unavailable):
                return
            shift.may_have_ended = False
            self._take_end(shift, row)

    def hand_over(self) -> None:
        """Forget the written phases, as another gateway may write them now."""
        for shift in self._shifts.values():
            shift.written_phase = None

    def _evaluate(
        self,
        shift: _Shift,
        reports: list[GatewayReport],
        allowed: Collection[ShiftPhase],
    ) -> None:
        service = shift.order.service
        counts = _sum_counts(reports, service)
        phase = shift.evaluator.advance(shift.phase, counts, read_clock())
        if phase == shift.phase or phase not in allowed:
            return
        self._apply(shift.order, phase, "own")
        self._publish_shift(shift)
        eliot.log_message(
            message_type="lagoonpost:shift:judged",
            service=service,
            phase=phase,
            counts={k: v._asdict() for k, v in counts.items()},
        )

    async def _write_status(
        self,
        shift: _Shift,
        store: PlatformStore,
        may_go_on: Callable[[], bool],
    ) -> None:
        """Write an order's status for operators, but never over a final one.

        A new leader may not know how an order ended, so it reads the status
        first. Operators stop the runners of one version at either end, so
        the first final status stands.
        """
        order, written = shift.order, shift.written_phase
        if written in FINAL_PHASES or (
            written is not None
            and format_status(order, written)
            == format_status(order, shift.phase)
        ):
            return
        key = _make_key(shift)
        row = await store.read_status(key)
        if isinstance(row, Unavailable) or not may_go_on():
            return
        shift.may_have_ended = False
        end = self._take_end(shift, row)
        if end is not None:
            shift.written_phase = end
            return
        phase = shift.phase
        status = format_status(shift.order, phase)
        outcome = await store.write_status(key, row.version, status)
        if isinstance(outcome, Committed):
            shift.written_phase = phase

    def _take_end(self, shift: _Shift, row: FeedRow) -> ShiftPhase | None:
        """Apply the end of an order that its status names, if any.

        Returns:
            The end; None if the status names none.
        """
        end = decode_final_phase(row.value, shift.order) if row.value else None
        if isinstance(end, Unreadable):
            # Only gateways write it, so it is overwritten. If nobody knows the
            # order's end, the order is tried again, but a gateway that has
            # started since has only a share of the requests for it, no slack.
            log_unreadable("status", _make_key(shift), end.reason)
            return None
        # Only the end of this order counts. A repeated order to the same
        # version can't be told apart and counts as ended as well.
        if end is not None and self._apply(shift.order, end, "status"):
            self._publish_shift(shift)
        return end


def _make_key(shift: _Shift) -> str:
    return f"{ORDER_PREFIX}{shift.order.service}"


def _strip_era(order: ShiftOrder) -> ShiftOrder:
    """Return an order without the era in its number."""
    return order._replace(number=find_version(order.number))


def _is_same(one: ShiftOrder, other: ShiftOrder) -> bool:
    return one._replace(number=0) == other._replace(number=0)


def _is_rewritten(known: ShiftOrder, order: ShiftOrder) -> bool:
    """Tell whether an order repeats one that the store has lost."""
    return find_era(order.number) > find_era(known.number) and _is_same(
        known, order
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
    """Evaluate all orders periodically until cancelled.

    Args:
        shifts: The orders.
        store: Store that holds the status for operators.
        may_advance: Returns whether this gateway is the leader.
        may_watch: Returns whether this gateway may become the leader.
        find_reports: Returns the reports of all gateways.
        pause: Seconds between two evaluations.
    """
    while True:
        await sleep_aligned(pause)
        if may_advance():
            await shifts.advance(find_reports(), store, may_advance)
            continue
        shifts.hand_over()
        if may_watch():
            shifts.roll_back_bad_versions(find_reports())
        await shifts.read_ends(store)
