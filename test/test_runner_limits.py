"""Tests of what gateways send together to runners that name a limit."""

from random import Random
from statistics import mean

import pytest

from bench.limited_play import (
    FIRST_COUNTED_SECONDS,
    Cut,
    Fleet,
    Life,
    Limit,
    make_endpoint,
    make_lives,
)
from lagoonpost.systems.permit_issuer import (
    RESERVED_PERMITS,
    UNUSED_PERMITS,
    Denied,
    Granted,
    PermitIssuer,
)
from lagoonpost.systems.runner_limits import (
    RENEWAL_SECONDS,
    Ask,
    RunnerLimits,
)
from lagoonpost.tables.permit import LimitNews, Statement
from lagoonpost.tables.stated_limits import NO_LIMITS, StatedLimits

SEEDS = range(3)
MIN_USE = 0.85
OVERLOAD = 6.0
"""Requests relative to what the runner takes."""
BEGIN, END = 5.0, 25.0
"""Time in which the use of the limit is measured."""
COUNTS = pytest.mark.parametrize("count", [9, 82, 195])


def play(fleets: list[Fleet], begin: float = BEGIN) -> float:
    """Play fleets, check the rule, and return the mean use of the limit."""
    for fleet in fleets:
        fleet.play(END)
        assert fleet.find_excess() <= 0
    return mean(fleet.find_use(begin, END) for fleet in fleets)


def keep(rate: float) -> Limit:
    return lambda now: rate


def by_time(*changes: tuple[float, float | None]) -> Limit:
    """Return a limit that changes at given times."""

    def find(now: float) -> float | None:
        return [rate for begin, rate in changes if begin <= max(0.0, now)][-1]

    return find


@COUNTS
class TestManyGateways:
    @pytest.mark.parametrize("rate", [0.5, 1.0, 8.0, 50.0])
    def test_they_use_the_limit_and_keep_to_it(self, count, rate):
        """Guards against parts of a limit that add up to too much or idle."""
        lives = make_lives(count)
        fleets = [
            Fleet(lives, keep(rate), OVERLOAD * rate, seed) for seed in SEEDS
        ]
        assert play(fleets) >= MIN_USE

    def test_few_find_out_by_a_request_of_their_own(self, count):
        """Guards against a first request from each gateway to a runner."""
        fleet = Fleet(make_lives(count), keep(1.0), 100.0, 1)
        fleet.play(FIRST_COUNTED_SECONDS)
        late = [at for at in fleet.sent if at >= 0.5]
        assert len(late) <= FIRST_COUNTED_SECONDS + UNUSED_PERMITS + 1

    @pytest.mark.parametrize(
        "limit",
        [
            by_time((0, 1.0), (6, 4.0), (12, 0.5), (18, 2.5)),
            by_time((0, 50.0), (6, 0.5), (14, 8.0)),
        ],
    )
    def test_a_limit_that_changes(self, count, limit):
        """Guards against gateways that keep to a limit of before."""
        lives = make_lives(count)
        fleets = [Fleet(lives, limit, 60.0, seed) for seed in SEEDS]
        assert play(fleets) >= MIN_USE

    @pytest.mark.parametrize("rate", [0.0, 0.5, 8.0])
    def test_a_limit_that_ends(self, count, rate):
        """Guards against a limit that holds for good after the need."""
        limit = by_time((0, rate), (12, None))
        fleets = [Fleet(make_lives(count), limit, 20.0, s) for s in SEEDS]
        for fleet in fleets:
            fleet.play(END)
            begin = 12.0 + 5.0
            assert fleet.count(begin, END) >= MIN_USE * 20.0 * (END - begin)

    @pytest.mark.parametrize("rate", [0.5, 8.0])
    def test_gateways_join_leave_and_are_killed(self, count, rate):
        """Guards against parts that are kept for others, or taken twice."""
        fleets = []
        for seed in SEEDS[:2]:
            lives = make_lives(count)
            names = Random(seed).sample(list(lives), len(lives))
            some = max(1, count // 5)
            lives |= dict.fromkeys(names[:some], Life(end=7.0, killed=True))
            lives |= dict.fromkeys(names[some : 2 * some], Life(end=12.0))
            for number in range(2 * some):
                start = (5.0, 9.0, 13.0)[number % 3]
                lives[f"added-{number}"] = Life(start=start)
            fleets.append(Fleet(lives, keep(rate), OVERLOAD * rate, seed))
        assert play(fleets) >= MIN_USE

    @pytest.mark.parametrize("rate", [0.5, 8.0])
    @pytest.mark.parametrize("share", [0.1, 0.5, 0.7])
    def test_gateways_are_cut_off_from_each_other(self, count, rate, share):
        """Guards against the whole limit on either side of a cut."""
        lives = make_lives(count)
        fleets = []
        for seed in range(8):
            some = max(1, int(share * count))
            names = frozenset(Random(seed).sample(list(lives), some))
            cut = Cut(names, 6.0, 16.0)
            demand = OVERLOAD * rate
            fleets.append(Fleet(lives, keep(rate), demand, seed, [cut]))
        assert play(fleets) >= MIN_USE

    def test_messages_are_lost(self, count):
        lives = make_lives(count)
        fleets = [
            Fleet(lives, keep(8.0), 48.0, seed, loss=0.1) for seed in SEEDS
        ]
        assert play(fleets) >= MIN_USE


class TestIssuer:
    def test_permits_are_spaced_evenly(self):
        issuer = PermitIssuer()
        waits = []
        for _ in range(RESERVED_PERMITS):
            decision = issuer.issue("desk-0", 2.0, 10.0, 5.0)
            assert isinstance(decision, Granted)
            waits.append(decision.wait)
        assert waits == [0.0, 0.5, 1.0, 1.5, 2.0]
        assert issuer.issue("desk-0", 2.0, 10.0, 5.0) == Denied(2.5)

    def test_few_unused_permits_are_kept(self):
        """Guards against a rush after a time without requests."""
        issuer = PermitIssuer()
        issuer.issue("desk-0", 2.0, 0.0, 0.0)
        granted = [
            issuer.issue("desk-0", 2.0, 0.0, 100.0) for _ in range(4)
        ].count(Granted(0.0))
        assert granted == 1 + UNUSED_PERMITS


def make_limits(name: str = "gateway-0", count: int = 2) -> RunnerLimits:
    limits = RunnerLimits(name, -60.0, Random(name))
    names = [f"gateway-{number}" for number in range(count)]
    limits.note_gateways(names, names, (), 0.0)
    return limits


DESK = make_endpoint()
LIMITED, BRITTLE = StatedLimits(rate=1.0), StatedLimits(refusals=4.0)


class TestStatements:
    def test_a_late_answer_of_before_does_not_end_a_limit(self):
        """Guards against answers that overtake each other."""
        limits = make_limits()
        limits.note_answer(DESK, LIMITED, 1.0, 2.0)
        assert not limits.note_answer(DESK, NO_LIMITS, 1.9, 2.1)
        assert limits.find_rate(DESK, 0.0, 2.1) == 1.0
        assert limits.note_answer(DESK, NO_LIMITS, 2.05, 2.2)
        assert limits.find_rate(DESK, 0.0, 2.2) is None

    def test_older_news_does_not_bring_a_limit_back(self):
        limits = make_limits()
        limits.note_answer(DESK, LIMITED, 1.0, 2.0)
        limits.note_answer(DESK, NO_LIMITS, 3.0, 4.0)
        old = Statement(DESK.id, DESK.service, DESK.born, LIMITED, 1.0)
        limits.handle_news(LimitNews((old,)), 4.5)
        assert limits.find_rate(DESK, 0.0, 4.5) is None

    def test_a_runner_that_restarts_has_no_limit(self):
        limits = make_limits()
        limits.note_answer(DESK, LIMITED, 1.0, 2.0)
        assert limits.find_rate(DESK._replace(born=7), 0.0, 2.0) is None

    def test_one_answer_ends_brittleness_of_one_runner_only(self):
        """Guards against a sound runner that speaks for its whole service."""
        limits = make_limits()
        other = make_endpoint(1)
        limits.note_answer(DESK, BRITTLE, 1.0, 2.0)
        assert not limits.has_room(other, 1000, 2.5)
        limits.note_answer(other, NO_LIMITS, 2.5, 3.0)
        assert limits.has_room(other, 1000, 3.0)
        assert not limits.has_room(DESK, 1000, 3.0)

    def test_the_lower_of_two_rates_holds(self):
        limits = make_limits()
        limits.note_answer(DESK, StatedLimits(rate=8.0), 1.0, 2.0)
        limits.cold.note_entry(DESK.id, 10.0, 2.0)
        assert limits.find_rate(DESK, 3.0, 2.0) == 3.0
        assert limits.find_rate(DESK, 30.0, 2.0) == 8.0


class TestRenewal:
    """Gateways that are quiet while the others hear of brittle runners."""

    GATEWAYS = 5
    END = 40.0
    """Time in seconds; answers say so in its first half."""

    def play(
        self, loss: float = 0.0
    ) -> tuple[list[RunnerLimits], list[float], int]:
        """Let all gateways but the last have answers all the time.

        Returns:
            The gateways; the times at which the last one took the service for
            sound while answers said otherwise; the messages sent.
        """
        rng = Random(1)
        fleet = [
            make_limits(f"gateway-{n}", self.GATEWAYS)
            for n in range(self.GATEWAYS)
        ]
        runners = [make_endpoint(n) for n in range(3)]
        unaware, sent = [], 0
        for step in range(int(self.END / 0.1)):
            now = step * 0.1
            limits = BRITTLE if now < self.END / 2 else NO_LIMITS
            for limited in fleet[:-1]:
                limited.note_answer(rng.choice(runners), limits, now, now)
            for _ in range(2):
                for source in fleet:
                    for tell in source.take_tells():
                        for number, target in enumerate(fleet):
                            name = f"gateway-{number}"
                            if target is source or tell.gateway not in (
                                None,
                                name,
                            ):
                                continue
                            sent += 1
                            if rng.random() >= loss:
                                target.handle_news(tell.news, now)
            if 1.0 < now < self.END / 2 and any(
                fleet[-1].has_room(each, 1000, now) for each in runners
            ):
                unaware.append(now)
        return fleet, unaware, sent

    @pytest.mark.parametrize("loss", [0.0, 0.3])
    def test_a_quiet_gateway_knows_of_them(self, loss):
        """Guards against a rush at brittle runners after a quiet time."""
        _, unaware, _ = self.play(loss)
        assert unaware == []

    def test_two_that_tell_each_other_tell_all(self):
        """Guards against two issuers that each take the other's for told.

        Each has answers of the other one's runners only, at the same times.
        """
        fleet = [make_limits(f"gateway-{n}", 3) for n in range(3)]
        runners = [make_endpoint(n) for n in range(100)]
        by_issuer = {
            name: next(
                each
                for each in runners
                if fleet[0].group.find_issuer(each.id) == name
            )
            for name in ("gateway-0", "gateway-1")
        }
        unaware = []
        for step in range(200):
            now = step * 0.1
            fleet[0].note_answer(by_issuer["gateway-1"], BRITTLE, now, now)
            fleet[1].note_answer(by_issuer["gateway-0"], BRITTLE, now, now)
            for _ in range(2):
                tells = [
                    (source, tell)
                    for source in fleet
                    for tell in source.take_tells()
                ]
                for source, tell in tells:
                    for number, target in enumerate(fleet):
                        name = f"gateway-{number}"
                        if target is not source and tell.gateway in (
                            None,
                            name,
                        ):
                            target.handle_news(tell.news, now)
            if fleet[2].has_room(by_issuer["gateway-0"], 1000, now):
                unaware.append(now)
        assert unaware == []

    def test_it_takes_few_messages(self):
        """Guards against news with each of many answers."""
        _, _, sent = self.play()
        renewals = self.END / 2 / RENEWAL_SECONDS
        # At each renewal every gateway may tell an issuer, which tells all.
        assert sent <= (renewals + 3) * 3 * 2 * self.GATEWAYS

    def test_the_end_is_heard(self):
        """Guards against limits that outlast the runners' trouble."""
        fleet, _, _ = self.play()
        assert all(
            limits.has_room(make_endpoint(n), 1000, self.END)
            for limits in fleet
            for n in range(3)
        )


class TestSilentIssuer:
    def test_each_gateway_uses_half_of_its_own_part(self):
        """Guards against a runner without requests, or with too many."""
        fleet = {
            name: make_limits(name, 9)
            for name in (f"gateway-{number}" for number in range(9))
        }
        granted = 0
        for limits in fleet.values():
            limits.note_answer(DESK, StatedLimits(rate=9.0), 0.0, 0.0)
            for step in range(1000):
                now = step * 0.02
                decision = limits.request_permit(DESK, 0.0, 0.0, now)
                if isinstance(decision, Ask):
                    decision = limits.handle_reply(
                        decision, DESK, 0.0, None, now
                    )
                elif limits.group.is_issuer(DESK.id):
                    continue
                granted += isinstance(decision, Granted)
        assert 0.7 * 4.0 * 20 <= granted <= 4.0 * 20 + 8

    def test_an_issuer_that_answers_again_is_asked_at_once(self):
        """Guards against a denial that outlasts the silence."""
        names = ["gateway-0", "gateway-1"]
        asking = next(
            make_limits(name)
            for name in names
            if not make_limits(name).group.is_issuer(DESK.id)
        )
        asking.note_answer(DESK, StatedLimits(rate=0.5), 0.0, 0.0)
        ask = asking.request_permit(DESK, 0.0, 0.4, 1.0)
        assert isinstance(ask, Ask)
        asking.handle_reply(ask, DESK, 0.0, None, 1.1)
        assert asking.find_wait(DESK, 0.0, 0, 0.4, 2.0) is not None
        assert isinstance(asking.request_permit(DESK, 0.0, 0.4, 2.0), Ask)
