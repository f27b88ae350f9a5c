"""Placement of forwarded requests: waits, and repeated prefills."""

from collections import Counter, deque
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.http.message import Address
from lagoonpost.systems.placement import Placement, PlacementRequest
from lagoonpost.systems.session_affinity import (
    MAX_RANKINGS,
    RankingCache,
    find_copy_source,
    rank_by_session,
)
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.gateway_report import RunnerWork
from lagoonpost.tables.metadata import PromptPart
from lagoonpost.tables.scheduling import Scheduling


def make_runners(count: int, service: str = "chat", slots: int = 8):
    return [
        Endpoint(
            f"{service}-{number}",
            service,
            Address("127.0.0.1", number + 1),
            "a",
            "v1",
            slots,
        )
        for number in range(count)
    ]


def make_draft(session: str, own: int = 2900) -> PlacementRequest:
    parts = (
        PromptPart("shared", 2500),
        PromptPart(session, 3800),
        PromptPart("own", own),
    )
    return PlacementRequest("chat", sum(p.tokens for p in parts), parts, True)


CHECK = PlacementRequest("desk", 0, (), False)
PACE = 1 / 38_000


class PrefillRunner:
    """Fake runner that prefills one prompt at a time and caches its parts."""

    def __init__(self, pace: float = PACE) -> None:
        self.pace = pace
        self.free_at = 0.0
        self.cached: set[str] = set()

    def take(self, wanted: PlacementRequest, now: float) -> tuple[float, int]:
        unread = 0
        for part in wanted.parts:
            if part.id not in self.cached:
                unread += part.tokens
        self.cached.update(part.id for part in wanted.parts[:-1])
        start = max(now, self.free_at)
        self.free_at = start + unread * self.pace + 0.005
        return self.free_at, unread


def play_drafts(gateways: int, slow: float = 1.0, seed: int = 1):
    """Simulate 60 s of drafts of 98 sessions.

    Returns:
        Sorted waits in seconds, mean prefilled tokens, requests by runner.
    """
    rng = Random(seed)
    endpoints = make_runners(4)
    runners = {endpoint.id: PrefillRunner() for endpoint in endpoints}
    runners["chat-0"].pace *= slow
    placements = [Placement() for _ in range(gateways)]
    waits, read, at = [], 0, Counter()
    finished: deque = deque()
    now, reported_at = 0.0, 0.0
    while now < 60.0:
        now += rng.expovariate(12.0)
        for item in sorted(finished, key=lambda entry: entry[0]):
            done, sent, placement, choice, wanted = item
            if done <= now:
                finished.remove(item)
                placement.note_first_byte(choice, wanted, done - sent, done)
                placement.note_ended(choice, True)
        if now - reported_at > 0.4:
            reported_at = now
            reports = [sender.report() for sender in placements]
            for own, placement in enumerate(placements):
                total: dict[str, RunnerWork] = {}
                for other, report in enumerate(reports):
                    for runner, work in report.items():
                        if other != own:
                            sum_so_far = total.get(runner, RunnerWork())
                            total[runner] = RunnerWork(
                                sum_so_far.requests + work.requests,
                                sum_so_far.tokens + work.tokens,
                            )
                placement.update_from_peers(total)
        wanted = make_draft(f"s{rng.randrange(98)}")
        placement = rng.choice(placements)
        choice = placement.choose(endpoints, wanted, now, rng)
        assert choice is not None
        placement.note_sent(choice, wanted, now)
        done, unread = runners[choice.endpoint.id].take(wanted, now)
        finished.append((done, now, placement, choice, wanted))
        waits.append(done - now)
        read += unread
        at[choice.endpoint.id] += 1
    return sorted(waits), read / len(waits), at


class TestPlacement:
    def test_a_runner_that_slows_down_early_is_full_early(self):
        """Guards against sending on to runners that have slots left only."""
        early, other = make_runners(2, "desk", slots=24)
        placement = Placement()
        work = {early.id: RunnerWork(8, 0), other.id: RunnerWork(12, 0)}
        placement.update_from_peers(work)
        placement.speeds.capacity = (  # type: ignore[method-assign]
            lambda runner, slots, now: 4 if runner == early.id else slots
        )

        def choose():
            choice = placement.choose([early, other], CHECK, 0.0, Random(1))
            return choice.endpoint

        assert choose() == early
        placement.scheduling = Scheduling(speeds=True)
        assert choose() == other

    @pytest.mark.parametrize("gateways", [1, 9])
    def test_drafts_go_where_their_session_is(self, gateways):
        """Guards against repeated prefills of the sessions' shared parts.

        Drafts of 98 sessions arrive through nine gateways. Spread by load
        alone, each runner prefills each session's lesson notes again: 9,200
        tokens a draft instead of the 2,900 that are its own.
        """
        waits, read, _ = play_drafts(gateways)
        assert read < 4500
        assert waits[int(0.95 * len(waits))] < 0.8

    def test_a_slow_runner_gets_less(self):
        _, _, at = play_drafts(9, slow=6.0)
        assert at["chat-0"] < 0.6 * at["chat-1"]

    def test_checks_are_spread_by_what_is_open(self):
        placement = Placement()
        runners = make_runners(3, "desk", slots=2)
        rng = Random(1)
        at = Counter()
        for _ in range(30):
            choice = placement.choose(runners, CHECK, 0.0, rng)
            assert choice is not None
            placement.note_sent(choice, CHECK, 0.0)
            at[choice.endpoint.id] += 1
        assert set(at.values()) == {10}

    def test_others_work_counts(self):
        placement = Placement()
        runners = make_runners(2, "desk")
        placement.update_from_peers({"desk-0": RunnerWork(20, 0)})
        choice = placement.choose(runners, CHECK, 0.0, Random(1))
        assert choice is not None
        assert choice.endpoint.id == "desk-1"

    def test_an_unreachable_runner_is_passed_over_for_a_while(self):
        placement = Placement()
        runners = make_runners(2, "desk")
        placement.reach.note_direct("desk-0", False, 10.0)
        chosen = {
            placement.choose(runners, CHECK, 10.2, Random(n)).endpoint.id
            for n in range(10)
        }
        assert chosen == {"desk-1"}
        chosen = {
            placement.choose(runners, CHECK, 11.0, Random(n)).endpoint.id
            for n in range(10)
        }
        assert chosen == {"desk-0", "desk-1"}

    def test_the_last_runner_is_tried_even_if_it_was_not_reached(self):
        placement = Placement()
        runners = make_runners(1, "desk")
        placement.reach.note_direct("desk-0", False, 10.0)
        assert placement.choose(runners, CHECK, 10.1, Random(1)) is not None

    def test_no_runner_at_all(self):
        assert Placement().choose([], CHECK, 0.0, Random(1)) is None

    def test_a_runner_that_fails_is_avoided(self):
        placement = Placement()
        runners = make_runners(2, "desk")
        for _ in range(5):
            placement.state("desk-0").note_outcome(True)
        choice = placement.choose(runners, CHECK, 0.0, Random(1))
        assert choice is not None
        assert choice.endpoint.id == "desk-1"

    def test_pace_fades_to_the_mean(self):
        placement = Placement()
        state = placement.state("chat-0")
        for _ in range(20):
            state.note_pace(10.0, 5.0)
        assert state.slowness(5.0) > 5
        assert state.slowness(60.0) < 1.1

    def test_the_pace_of_a_prompt_alone_is_learned(self):
        placement = Placement()
        runners = make_runners(1)
        assert "chat" not in placement.unloaded_paces
        for step in range(40):
            wanted = make_draft(f"s{step}")
            now = float(step)
            choice = placement.choose(runners, wanted, now, Random(1))
            assert choice is not None
            placement.note_sent(choice, wanted, now)
            took = choice.uncached_tokens / 10_000
            placement.note_first_byte(choice, wanted, took, now + took)
            placement.note_ended(choice, True)
        assert placement.unloaded_paces["chat"] == pytest.approx(
            1e-4, rel=0.05
        )

    def test_waits_behind_others_are_not_taken_for_a_slow_runner(self):
        """Guards against a biased pace that orders too many runners.

        Half of the prompts that seem to run alone wait behind others. By
        their mean, the runners seem four times slower, and four times as
        many would be ordered.
        """
        placement = Placement()
        runners = make_runners(1)
        for step in range(100):
            wanted = make_draft(f"s{step}")
            now = float(step)
            choice = placement.choose(runners, wanted, now, Random(1))
            assert choice is not None
            placement.note_sent(choice, wanted, now)
            took = choice.uncached_tokens / 30_000 + (step % 2) * 0.5
            placement.note_first_byte(choice, wanted, took, now + took)
            placement.note_ended(choice, True)
        assert placement.unloaded_paces["chat"] < 1.4 / 30_000

    def test_states_of_missing_runners_are_dropped(self):
        placement = Placement()
        placement.state("gone")
        placement.forget_missing(["there"])
        assert "gone" not in placement.states


def find_home(runners, parts) -> str:
    order = rank_by_session(runners, parts)
    return order[0].id if order else ""


class TestFindHome:
    def test_a_runner_that_goes_moves_only_its_own_sessions(self):
        runners = make_runners(5)
        drafts = [make_draft(f"s{n}").parts for n in range(200)]
        before = [find_home(runners, parts) for parts in drafts]
        after = [find_home(runners[:-1], parts) for parts in drafts]
        moved = [b for b, a in zip(before, after, strict=True) if a != b]
        assert set(moved) == {"chat-4"}

    def test_a_prompt_without_shared_parts_has_no_home(self):
        assert find_home(make_runners(2), (PromptPart("own", 5),)) == ""


class TestHomeOrders:
    @given(st.lists(st.tuples(st.integers(1, 6), st.integers(0, 9))))
    def test_what_is_kept_is_what_would_be_ranked(self, steps):
        """Guards against a cached ranking after runners joined or left."""
        orders = RankingCache()
        for count, session in steps:
            runners = tuple(make_runners(count))
            parts = make_draft(f"s{session}").parts
            assert orders.rank(runners, parts) == rank_by_session(
                runners, parts
            )

    def test_a_runner_that_leaves_is_seen(self):
        orders = RankingCache()
        runners = tuple(make_runners(3))
        parts = make_draft("s1").parts
        orders.rank(runners, parts)
        leaving = (runners[0]._replace(leaving=True), *runners[1:])
        assert any(each.leaving for each in orders.rank(leaving, parts))

    def test_orders_of_many_sessions_are_not_all_kept(self):
        orders = RankingCache()
        for session in range(2 * MAX_RANKINGS):
            parts = make_draft(f"s{session}").parts
            orders.rank(tuple(make_runners(2)), parts)
        assert len(orders._ranked) == MAX_RANKINGS


class TestFindHolder:
    def test_a_new_home_copies_from_the_one_before(self):
        """Guards against repeated prefills when sessions change their home.

        Runners join and leave during shortages. Each new home would prefill
        6,300 shared tokens of every session again and delay its other
        prompts.
        """
        runners = make_runners(4)
        for number in range(50):
            draft = make_draft(f"s{number}")
            before = rank_by_session(runners[:3], draft.parts)[0]
            order = rank_by_session(runners, draft.parts)
            holder = find_copy_source(order, order[0], draft.parts)
            assert before in (order[0], holder)

    def test_a_leaving_home_gives_what_it_holds(self):
        runners = make_runners(4)
        placement = Placement()
        draft = make_draft("s1")
        home = find_home(runners, draft.parts)
        staying = [each for each in runners if each.id != home]
        leaving = [each for each in runners if each.id == home]
        choice = placement.choose(staying, draft, 0.0, Random(1), leaving)
        assert choice is not None and choice.copy_source is not None
        assert choice.copy_source.id == home

    def test_a_runner_that_can_not_be_reached_gives_nothing(self):
        runners = make_runners(3)
        placement = Placement()
        draft = make_draft("s1")
        for runner in runners[1:]:
            placement.reach.note_direct(runner.id, False, 0.0)
        choice = placement.choose(runners, draft, 0.1, Random(1))
        assert choice is not None
        assert choice.copy_source is None

    def test_little_is_read_and_not_copied(self):
        small = make_draft("s1")._replace(
            parts=(PromptPart("a", 300), PromptPart("b", 9))
        )
        runners = make_runners(2)
        assert find_copy_source(runners, runners[0], small.parts) is None

    def test_memory_of_another_version_is_not_copied(self):
        target, other = make_runners(2)
        new = other._replace(version="v2")
        draft = make_draft("s1")
        assert find_copy_source([target, other], target, draft.parts) == other
        assert find_copy_source([target, new], target, draft.parts) is None
