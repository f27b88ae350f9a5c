"""Services that shift to a new version, and the effect on callers."""

import asyncio
import time
from collections import deque
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any, NamedTuple, cast

import msgspec
import pytest
from forwarding_stack import (
    PATIENCE,
    Stack,
    find_holders,
    play,
    wait_until,
)
from played_loop import play_time
from played_store import PlayedClient

from lagoonpost.forwarding.version_shifts import (
    VersionShifts,
    run_version_shifts,
)
from lagoonpost.http.message import Address
from lagoonpost.platform.store import FeedRow, PlatformStore
from lagoonpost.systems.shift import (
    Exposure,
    ExposureBounds,
    ShiftEvaluator,
)
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.gateway_report import GatewayReport
from lagoonpost.tables.stamp import make_stamp
from lagoonpost.tables.version_shift import (
    ShiftOrder,
    ShiftPhase,
    VersionCounts,
    add_counts,
)
from lagoonpost_standins.rows import RowStore

EPOCH = 1.8e9
BOUNDS = ExposureBounds(share=0.1, slack=50)
ACTIVE = {"state": "active", "to": "v2"}
ENDS = [
    ("taken_back", "complete", "rolled_back"),
    ("complete", "taken_back", "complete"),
]


ROUTES = ("draft", "reply")
SOUND_FAILED, SOUND_SLOW = 0.02, 0.05


class Version(NamedTuple):
    """How a version answers.

    Attributes:
        failed: Share of failed answers.
        slow: Share of slow answers.
        bad_from: Time in seconds from which it is so; sound before.
        route: The only route on which it is so; empty for all.
        under_load: Whether it is so only once all requests go to it.
        silent: Whether it then answers nothing.
        answer_seconds: Time after which a request counts as answered.
    """

    failed: float = SOUND_FAILED
    slow: float = SOUND_SLOW
    bad_from: float = 0.0
    route: str = ""
    under_load: bool = False
    silent: bool = False
    answer_seconds: float = 0.0


class Result(NamedTuple):
    phase: str
    ended: float
    total: int
    new: int
    after_fiftieth: float


def play_shift(
    version: Version,
    *,
    gateways: int,
    rate: float,
    seconds: float = 16.0,
    seed: int = 0,
    outage: bool = False,
) -> Result:
    """Simulate one order; both versions fail alike in an outage."""
    rng = Random(seed)
    evaluator = ShiftEvaluator(ShiftOrder("chat", "v2", seconds, 1), 0.0)
    exposures = [Exposure(rng.random()) for _ in range(gateways)]
    counts: dict[str, VersionCounts] = {}
    heard: dict[str, VersionCounts] = {}
    phase, now, next_look = "trial", 0.0, 0.0
    bad_at: list[float] = []
    pending: deque[tuple[float, str, VersionCounts]] = deque()
    last_new = 0.0
    while now < 2 * seconds and phase in ("trial", "all"):
        now += rng.expovariate(rate)
        exposure = rng.choice(exposures)
        if phase == "all":
            is_new = True
        else:
            tries = rng.random() < 0.5
            is_new = tries and exposure.allows_trial(BOUNDS, gateways)
        exposure.record_sent(is_new)
        route = rng.choice(ROUTES)
        is_bad = is_new and now >= version.bad_from
        is_bad = is_bad and version.route in ("", route)
        if version.under_load and phase != "all":
            is_bad = False
        kind = version if is_bad else Version()
        if outage and 4 < now < 7:
            kind = Version(0.6, 0.9)
        failed, slow = rng.random() < kind.failed, rng.random() < kind.slow
        if is_new:
            last_new = now
            if failed or slow:
                bad_at.append(now)
        seen = (1, int(failed), int(slow))
        one = VersionCounts(
            *(seen if is_new else (0, 0, 0)), *((0, 0, 0) if is_new else seen)
        )
        if not (is_bad and kind.silent):
            pending.append((now + version.answer_seconds, route, one))
        while pending and pending[0][0] <= now:
            _, answered, one = pending.popleft()
            total = counts.get(answered, VersionCounts())
            counts[answered] = add_counts(total, one)
        if now >= next_look:
            next_look = now + 0.5
            phase = evaluator.advance(phase, heard, now)
            heard = dict(counts)
    late = last_new - bad_at[49] if len(bad_at) >= 50 else 0.0
    total = sum(each.total for each in exposures)
    return Result(phase, now, total, sum(e.new for e in exposures), late)


class TestUntried:
    def test_a_version_without_answers_is_taken_back_at_the_end(self):
        """Guards against a trial that goes on after the order's time.

        Its runners were reclaimed or ordered away soon after the order, so
        that nothing is known of it; runners that come later have it again.
        """
        order = ShiftOrder("chat", "v2", 16.0, 1)
        evaluator = ShiftEvaluator(order, 0.0)
        few = {"draft": VersionCounts(4, 0, 4, 400, 8, 20)}
        phases = [
            evaluator.advance("trial", few, step / 2) for step in range(32)
        ]
        assert set(phases[:29]) == {"trial"}
        assert phases[-1] == "taken_back"


class TestOverloaded:
    """A version that answers several times slower."""

    def test_the_last_answers_of_a_trial_are_tested(self):
        """Guards against slow answers that come right before all requests."""
        order = ShiftOrder("chat", "v2", 15.0, 1)
        evaluator = ShiftEvaluator(order, 0.0)
        sound = {"draft": VersionCounts(18, 0, 0, 100, 0, 0)}
        slow = {"draft": VersionCounts(30, 0, 12, 150, 0, 0)}
        evaluator.advance("trial", sound, 10.0)
        assert evaluator.advance("trial", slow, 11.5) == "taken_back"

    def test_a_request_counts_as_slow_before_it_is_answered(self):
        """Guards against a version that is complete as it answers nothing."""

        async def story(stack: Stack) -> VersionCounts:
            for id_ in NEW:
                stack.runners[id_].fault = "hang"
                await stack.register(id_, version="v2")
            # Entries and orders are followed apart; a version that is not
            # known yet gets requests as the old one does.
            entries = stack.gateways[0].view.entries
            await wait_until(
                lambda: all(
                    entries[id_].endpoint.version == "v2" for id_ in NEW
                )
            )
            order = {"service": "desk", "to": "v2", "duration_s": 30}
            await stack.store.put("op", "rollout/desk", order)
            shifts = stack.gateways[0]._shifts
            await wait_until(lambda: "desk" in shifts._shifts)
            calls = [
                asyncio.create_task(
                    stack.call(f"/book/{number}", "POST", b"{}")
                )
                for number in range(80)
            ]
            counts = shifts._shifts["desk"].counts
            await wait_until(
                lambda: any(each.new_slow for each in counts.values())
            )
            for call in calls:
                call.cancel()
            return next(each for each in counts.values() if each.new)

        assert play(story, desk=4).new_failed == 0


class TestJudge:
    @pytest.mark.parametrize("seed", range(20))
    @pytest.mark.parametrize(("gateways", "rate"), [(9, 25.0), (82, 240.0)])
    def test_a_good_version_is_complete_in_time(self, gateways, rate, seed):
        result = play_shift(Version(), gateways=gateways, rate=rate, seed=seed)
        assert result.phase == "complete"
        assert result.ended <= 16.0

    @pytest.mark.parametrize("seed", range(20))
    @pytest.mark.parametrize(
        "version",
        [Version(failed=0.5), Version(slow=0.9), Version(failed=1.0)],
    )
    def test_a_bad_version_meets_few(self, version, seed):
        """Guards against a bad version that gets too many requests.

        It fails half of its requests from the start. With requests spread
        evenly over all runners it would get half of them.
        """
        result = play_shift(version, gateways=9, rate=25.0, seed=seed)
        assert result.phase == "taken_back"
        assert result.new <= 0.1 * 25.0 * 16.0 + 50

    @pytest.mark.parametrize("seed", range(20))
    def test_a_version_that_turns_bad_under_all_requests(self, seed):
        """Guards against a version that fails only under full load."""
        version = Version(failed=0.5, bad_from=13.0)
        result = play_shift(version, gateways=82, rate=240.0, seed=seed)
        assert result.phase == "taken_back"
        assert result.after_fiftieth < 5.0

    @pytest.mark.parametrize("seed", range(20))
    def test_an_outage_of_both_takes_nothing_back(self, seed):
        result = play_shift(
            Version(), gateways=82, rate=240.0, seed=seed, outage=True
        )
        assert result.phase == "complete"

    def test_nothing_is_complete_without_answers(self):
        evaluator = ShiftEvaluator(ShiftOrder("chat", "v2", 10.0, 1), 0.0)
        assert evaluator.advance("trial", {}, 60.0) == "taken_back"


BAD_VERSIONS = {
    "slow": Version(slow=0.5),
    "slower-answers": Version(slow=0.9, answer_seconds=4.0),
    "errors": Version(failed=0.5),
    "slow-on-one-route": Version(slow=0.8, route="draft"),
    "slow-under-load": Version(slow=0.9, under_load=True),
    "silent-under-load": Version(under_load=True, silent=True),
}
REFUSED_GOOD_SHARE = 0.05
"""Largest share of sound versions that may be rolled back."""
LOADS = [(3, 12.0), (9, 25.0), (82, 30.0), (82, 240.0), (195, 120.0)]


class TestDrawnVersions:
    """A version that is bad in one way or another is completed and kept."""

    @pytest.mark.parametrize("name", BAD_VERSIONS)
    @pytest.mark.parametrize(("gateways", "rate"), LOADS)
    def test_no_bad_version_is_complete(self, gateways, rate, name):
        ends = [
            play_shift(
                BAD_VERSIONS[name], gateways=gateways, rate=rate, seed=seed
            ).phase
            for seed in range(30)
        ]
        assert set(ends) == {"taken_back"}

    @pytest.mark.parametrize(("gateways", "rate"), LOADS)
    def test_few_good_versions_are_refused(self, gateways, rate):
        """Guards against steps that hardly any sound version may take.

        Among many gateways each may have a part of the trial of less than one
        request.
        """
        ends = [
            play_shift(
                Version(), gateways=gateways, rate=rate, seed=seed
            ).phase
            for seed in range(200)
        ]
        assert ends.count("taken_back") <= REFUSED_GOOD_SHARE * len(ends)

    @pytest.mark.parametrize("bad_share", [0.5, 0.9])
    @pytest.mark.parametrize(
        ("gateways", "rate", "seconds"), [(9, 60.0, 30.0), (82, 240.0, 16.0)]
    )
    def test_a_version_that_fails_under_all_requests_gets_few(
        self, gateways: int, rate: float, seconds: float, bad_share: float
    ) -> None:
        """Guards against a test too rare for the requests it is to stop."""
        version = Version(failed=bad_share, under_load=True)
        allowed = BOUNDS.share * rate * seconds + BOUNDS.slack
        for seed in range(10):
            result = play_shift(
                version,
                gateways=gateways,
                rate=rate,
                seconds=seconds,
                seed=seed,
            )
            assert result.phase == "taken_back"
            assert result.new <= allowed

    def test_a_version_that_is_slow_under_all_requests_gets_few(self):
        """Guards against a step that takes more requests than are promised.

        A request counts as slow after a second, and all that are sent until
        then go to the version as well.
        """
        version = Version(slow=0.9, under_load=True, answer_seconds=1.0)
        results = [
            play_shift(version, gateways=9, rate=35.0, seconds=15.0, seed=seed)
            for seed in range(10)
        ]
        allowed = BOUNDS.share * 35.0 * 15.0 + BOUNDS.slack
        assert max(result.new for result in results) <= allowed

    def test_slow_answers_on_one_route_hold_a_version_back(self):
        """Guards against a step on six of six slow answers of one route."""
        evaluator = ShiftEvaluator(ShiftOrder("chat", "v2", 15.0, 1), 0.0)
        counts = {
            "r-1": VersionCounts(9, 0, 0, 44, 0, 0),
            "r-2": VersionCounts(6, 0, 6, 57, 0, 4),
            "r-3": VersionCounts(9, 0, 0, 56, 0, 0),
        }
        assert evaluator.advance("trial", counts, 11.5) != "all"

    def test_silence_is_no_evidence_for_a_version(self):
        """Guards against a version that answers nothing before it is kept."""
        evaluator = ShiftEvaluator(ShiftOrder("chat", "v2", 15.0, 1), 0.0)
        before = {"draft": VersionCounts(24, 0, 0, 157, 0, 4)}
        after = {"draft": VersionCounts(24, 0, 0, 229, 0, 4)}
        assert evaluator.advance("trial", before, 11.5) == "all"
        assert evaluator.advance("all", before, 11.6) == "all"
        assert evaluator.advance("all", after, 14.2) == "taken_back"


class TestTakeover:
    """A gateway that begins to evaluate once all requests go to a version."""

    BEFORE = VersionCounts(24, 0, 0, 157, 3, 8)
    AFTER = VersionCounts(64, 1, 2, 157, 3, 8)

    def take_over(
        self, seconds_left: float, before: VersionCounts, after: VersionCounts
    ) -> ShiftPhase:
        """Return the end of an order of 16 s.

        Args:
            seconds_left: Time before the end at which the gateway begins.
            before: Answers that it knows then.
            after: Answers that it knows from half a second later.
        """
        evaluator = ShiftEvaluator(ShiftOrder("chat", "v2", 16.0, 1), 0.0)
        evaluator.mark_all_new(12.0)
        now, phase = 16.0 - seconds_left, cast(ShiftPhase, "all")
        counts = {"draft": before}
        while phase == "all" and now < 24.0:
            phase = evaluator.advance(phase, counts, now)
            counts = {"draft": after}
            now += 0.5
        return phase

    @pytest.mark.parametrize("seconds_left", [0.5, 1.0, 1.5, 3.0])
    def test_a_sound_version_is_complete(self, seconds_left: float) -> None:
        end = self.take_over(seconds_left, self.BEFORE, self.AFTER)
        assert end == "complete"

    @pytest.mark.parametrize("seconds_left", [0.5, 1.0, 1.5, 3.0])
    def test_a_silent_version_is_not_complete(
        self, seconds_left: float
    ) -> None:
        """Guards against a version that is judged by an instant's answers."""
        end = self.take_over(seconds_left, self.BEFORE, self.BEFORE)
        assert end == "taken_back"

    @pytest.mark.parametrize("answers", [0, 40])
    def test_without_answers_of_the_trial_it_is_not_complete(
        self, answers: int
    ) -> None:
        """Guards against a version that fails and is compared with nothing.

        All gateways that had counted the trial's answers were killed.
        """
        after = VersionCounts(answers, answers, 0, 0, 0, 0)
        end = self.take_over(3.0, VersionCounts(), after)
        assert end == "taken_back"


class TestShift:
    async def send(self, stack: Stack, answers: list[int]) -> None:
        """Send more requests at once than one runner has slots for."""
        calls = [stack.call("/check/1") for _ in range(AT_ONCE)]
        answers += [each.status for each in await asyncio.gather(*calls)]

    async def move(self, stack: Stack) -> tuple[str, int]:
        """Order a shift to v2 and send requests until it has ended."""
        await stack.register("desk-3", version="v2")
        await stack.register("desk-4", version="v2")
        order = {"service": "desk", "to": "v2", "duration_s": 3.5}
        await stack.store.put("op", "rollout/desk", order)

        def find_state() -> str:
            status = stack.store.get("status", "rollout/desk")
            return status["state"] if status else ""

        answers: list[int] = []
        while find_state() not in ("complete", "rolled_back"):
            await self.send(stack, answers)
        return find_state(), sum(status >= 500 for status in answers)

    def test_a_good_version_takes_over(self):
        async def story(stack: Stack):
            state, _ = await self.move(stack)
            seen = [len(stack.runners[id_].received) for id_ in NEW]
            old = [len(stack.runners[id_].received) for id_ in OLD]
            await self.send(stack, [])
            return state, min(seen), min(old)

        state, new, old = play(story, desk=4, duties=("usage_report",))
        assert state == "complete"
        assert new > 0
        assert old > 0

    def test_a_bad_version_gets_nothing_after_it_was_taken_back(self):
        """Guards against requests to a version after its rollback.

        Operators shift a service to a version that fails each request. Both
        gateways must stop using it, also the one that did not evaluate it.
        """

        async def story(stack: Stack):
            for id_ in NEW:
                stack.runners[id_].fault = "fail"
            state, _ = await self.move(stack)
            groups = [
                lambda d=daemon: d._shifts.choose_candidates(
                    "desk", d.view.find_runners("desk"), 2
                )
                for daemon in stack.gateways
            ]
            for group in groups:
                await wait_until(
                    lambda g=group: {each.id for each in g()} == set(OLD)
                )
            tried = sum(len(stack.runners[id_].received) for id_ in NEW)
            for gateway in (0, 1):
                for _ in range(10):
                    await stack.call("/check/1", gateway=gateway)
            after = sum(len(stack.runners[id_].received) for id_ in NEW)
            return state, tried, after

        state, tried, after = play(
            story, gateways=2, desk=4, duties=("usage_report",)
        )
        assert state == "rolled_back"
        assert tried == after

    def test_a_bad_version_is_taken_back_though_the_holder_died(self):
        """Guards against a fault that lasts for the length of a lease."""

        async def story(stack: Stack):
            await wait_until(lambda: bool(find_holders(stack)))
            (first,) = find_holders(stack)
            other = 1 - first
            await stack.gateways[first].abort()
            for id_ in NEW:
                stack.runners[id_].fault = "fail"
                await stack.register(id_, version="v2")
            order = {"service": "desk", "to": "v2", "duration_s": 60}
            await stack.store.put("op", "rollout/desk", order)
            shifts = stack.gateways[other]._shifts
            await wait_until(lambda: "desk" in shifts._shifts)
            async with asyncio.timeout(PATIENCE):
                while shifts._shifts["desk"].phase != "taken_back":
                    await stack.call("/check/1", gateway=other)

        bounds = {"lease_ms": 60_000}
        play(
            story, gateways=2, desk=4, duties=("usage_report",), bounds=bounds
        )

    def test_an_end_that_was_told_before_stands(self):
        """Guards against a second trial of a version after its rollback.

        All gateways are killed right after the rollback, and the new ones
        know of it only from the status.
        """

        async def story(stack: Stack):
            order = {"service": "desk", "to": "v2", "duration_s": 60}
            told = {"state": "rolled_back", "to": "v2"}
            await stack.store.put("status", "rollout/desk", told)
            await stack.store.put("op", "rollout/desk", order)
            shifts = stack.gateways[0]._shifts
            await wait_until(
                lambda: (
                    "desk" in shifts._shifts
                    and shifts._shifts["desk"].phase == "taken_back"
                )
            )
            return stack.store.get("status", "rollout/desk")

        told = play(story, duties=("usage_report",))
        assert told == {"state": "rolled_back", "to": "v2"}


AT_ONCE = 20
OLD = ("desk-1", "desk-2")
NEW = ("desk-3", "desk-4")


class TestReturnOfTheStore:
    """Orders that a store shows again after its restore from a copy."""

    def setup_method(self) -> None:
        self.published: list[Fact] = []
        self.shifts = VersionShifts(
            BOUNDS, Random(1), self.published.append, time.time
        )

    def take(self, era: int, version: int, to: str) -> None:
        order = {"service": "chat", "to": to, "duration_s": 10}
        value = msgspec.json.encode(order)
        stamp = make_stamp(era, version)
        self.shifts.handle_row(FeedRow("rollout/chat", stamp, value))

    def take_back(self) -> None:
        order = self.shifts._shifts["chat"].order
        self.shifts._apply(order, "taken_back", "own")

    def phase(self) -> tuple[str, str]:
        shift = self.shifts._shifts["chat"]
        return shift.order.to, shift.phase

    def test_a_version_that_was_taken_back_is_not_tried_again(self):
        """Guards against a new trial when operators repeat the order."""
        self.take(0, 50, "v2")
        self.take_back()
        self.take(1, 41, "v2")
        assert self.phase() == ("v2", "taken_back")
        assert self.published[-1].rank > self.published[0].rank

    def test_an_older_order_of_the_copy_is_not_followed(self):
        self.take(0, 20, "v2")
        self.take_back()
        self.take(0, 50, "v3")
        self.take(1, 20, "v2")
        assert self.phase() == ("v3", "trial")

    def test_a_new_order_after_the_return_is_followed(self):
        self.take(0, 50, "v2")
        self.take(1, 41, "v3")
        assert self.phase() == ("v3", "trial")

    def test_operators_are_told_again_how_an_order_ended(self):
        """Guards against a status that stays active for good."""
        rows = RowStore()
        store = PlatformStore(PlayedClient(rows), Address("10.0.0.1", 80))
        store.eras.era_listeners.append(self.shifts.handle_new_era)

        async def story() -> str:
            self.take(0, 50, "v2")
            await self.shifts.advance([], store)
            await asyncio.sleep(1.0)
            self.take_back()
            await self.shifts.advance([], store)
            await rows.roll_back(0.5)
            await store.read_status("rollout/chat")
            await self.shifts.advance([], store)
            return str(rows.get("status", "rollout/chat")["state"])

        assert play_time(story()) == "rolled_back"


class Holder:
    """A gateway that may evaluate orders, and receives no reports itself.

    Args:
        rows: Rows of the store.
        services: Services that have orders.
        find_reports: Returns the reports of all gateways. With any, it
            watches the orders while it doesn't hold the duties.
    """

    def __init__(
        self,
        rows: RowStore,
        services: tuple[str, ...],
        find_reports: Callable[[], list[GatewayReport]] = list,
    ) -> None:
        self._find_reports = find_reports
        self.shifts = VersionShifts(
            BOUNDS,
            Random(1),
            lambda fact: None,
            lambda: EPOCH + asyncio.get_running_loop().time(),
        )
        client = PlayedClient(rows)
        self.store = PlatformStore(client, Address("10.0.0.1", 80))
        self.holds = False
        for number, service in enumerate(services, 1):
            order = {"service": service, "to": "v2", "duration_s": 16}
            value = msgspec.json.encode(order)
            self.shifts.handle_row(
                FeedRow(f"rollout/{service}", number, value)
            )

    async def run(self) -> None:
        await run_version_shifts(
            self.shifts,
            self.store,
            lambda: self.holds,
            lambda: bool(self._find_reports()),
            self._find_reports,
            0.5,
        )

    async def hold(self, seconds: float) -> None:
        self.holds = True
        await asyncio.sleep(seconds)
        self.holds = False
        await asyncio.sleep(1.0)

    def judge(self, phase: ShiftPhase, service: str = "chat") -> None:
        evaluator = self.shifts._shifts[service].evaluator
        advance = evaluator.advance

        def force_phase(current: ShiftPhase, *args: Any) -> ShiftPhase:
            ended = current in ("complete", "taken_back")
            return advance(current, *args) if ended else phase

        evaluator.advance = force_phase  # type: ignore[method-assign]

    def phase(self) -> ShiftPhase:
        return self.shifts._shifts["chat"].phase


def report_sound_answers() -> list[GatewayReport]:
    """Return reports of a sound version that answers 10 requests a second.

    It gets a quarter of them for 12 s, and all of them later.
    """
    now = asyncio.get_running_loop().time()
    old = round(7.5 * min(now, 12.0))
    counts = VersionCounts(round(10 * now) - old, 0, 0, old, 0, 0)
    shifts = {"chat": {"draft": counts}}
    return [GatewayReport("", "", {}, {}, {}, {}, {}, {}, {}, 1, shifts)]


class TestHolders:
    """Two gateways evaluate an order in turn and disagree on its end."""

    def play(
        self,
        story: Callable[[RowStore, Holder, Holder], Awaitable[None]],
        services: tuple[str, ...] = ("chat",),
        find_reports: Callable[[], list[GatewayReport]] = list,
    ) -> tuple[str, Holder, Holder]:
        rows = RowStore()

        async def run() -> tuple[str, Holder, Holder]:
            holders = (
                Holder(rows, services, find_reports),
                Holder(rows, services, find_reports),
            )
            tasks = [asyncio.create_task(each.run()) for each in holders]
            await story(rows, *holders)
            for task in tasks:
                task.cancel()
            state = str(rows.get("status", "rollout/chat")["state"])
            return state, *holders

        return play_time(run())

    @pytest.mark.parametrize("end", ENDS)
    @pytest.mark.parametrize("held_before", [True, False])
    def test_the_first_end_stands(
        self, end: tuple[ShiftPhase, ShiftPhase, str], held_before: bool
    ) -> None:
        """Guards against stopping the runners of both versions."""
        first, second, state = end

        async def story(rows: RowStore, one: Holder, two: Holder) -> None:
            if held_before:
                await one.hold(2.0)
            two.judge(first)
            await two.hold(2.0)
            one.judge(second)
            await one.hold(3.0)

        told, one, two = self.play(story)
        assert told == state
        assert one.phase() == two.phase() == first

    def test_a_holder_tells_nothing_after_its_turn(self) -> None:
        """Guards against a decision written after a slow store call."""

        async def story(rows: RowStore, one: Holder, two: Holder) -> None:
            await one.hold(2.0)
            one.judge("complete", "desk")
            one.judge("complete", "chat")
            one.holds = True
            while rows.get("status", "rollout/desk") == ACTIVE:  # noqa: ASYNC110
                await asyncio.sleep(0.001)
            one.holds = False
            await asyncio.sleep(2.0)

        assert self.play(story, ("desk", "chat"))[0] == "active"

    def test_a_late_write_of_the_one_before_has_no_effect(self) -> None:
        """Guards against a final status written by an old leader's call."""

        async def story(rows: RowStore, one: Holder, two: Holder) -> None:
            await one.hold(2.0)
            row = await one.store.read_status("rollout/chat")
            await two.hold(2.0)
            late = ACTIVE | {"state": "complete"}
            await one.store.write_status("rollout/chat", row.version, late)

        assert self.play(story)[0] == "active"

    def test_a_turn_that_begins_near_the_deadline_completes_in_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a good version that completes after its deadline."""
        monkeypatch.setattr(
            "lagoonpost.forwarding.version_shifts.read_clock",
            lambda: asyncio.get_running_loop().time(),
        )

        async def story(rows: RowStore, one: Holder, two: Holder) -> None:
            one.shifts._publish = two.shifts.handle_fact
            one.judge("all")
            await asyncio.sleep(12.0)
            await one.hold(1.0)
            await two.hold(2.0)

        assert (
            self.play(story, find_reports=report_sound_answers)[0]
            == "complete"
        )

    def test_a_restarted_holder_completes_in_time(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a deadline that counts from a gateway's start."""
        monkeypatch.setattr(
            "lagoonpost.forwarding.version_shifts.read_clock",
            lambda: asyncio.get_running_loop().time(),
        )

        async def story(rows: RowStore, one: Holder, two: Holder) -> None:
            published: list[Fact] = []
            one.shifts._publish = published.append
            one.judge("all")
            await asyncio.sleep(8.0)
            await one.hold(1.0)
            started = Holder(rows, ("chat",), report_sound_answers)
            for fact in published:
                started.shifts.handle_fact(fact)
            task = asyncio.create_task(started.run())
            await started.hold(6.0)
            task.cancel()

        assert (
            self.play(story, find_reports=report_sound_answers)[0]
            == "complete"
        )
