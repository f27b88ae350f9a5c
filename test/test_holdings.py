"""Tests of the bounds over all connections of clients."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.systems.holdings import (
    CONNECTION_BYTES,
    LARGE_SHARE,
    REFUSED_SHARE,
    SMALL_BYTES,
    STALL_SECONDS,
    YOUNG_SECONDS,
    HoldingBounds,
    Holdings,
)
from lagoonpost.systems.process_budget import divide
from lagoonpost.tables.holding import Holding, Stage

MEMORY = 4 * 1024 * 1024
LARGE = 1024 * 1024
STALLED = 2 * STALL_SECONDS


def make_holdings(memory: int = MEMORY, connections: int = 10) -> Holdings:
    return Holdings(HoldingBounds(memory, connections))


def add(holdings: Holdings, stage: Stage, now: float = 0.0) -> Holding:
    holding, room = holdings.add(now)
    assert room.fits
    holdings.enter(holding, stage, now)
    return holding


def fill(holdings: Holdings, now: float = 0.0) -> list[Holding]:
    """Add connections with large bodies until there is room for no more."""
    filled = []
    while True:
        holding = add(holdings, "reading", now)
        if not holdings.resize(holding, "body", LARGE, now).fits:
            holdings.remove(holding)
            return filled
        filled.append(holding)


class TestMemory:
    def test_a_small_request_fits_beside_large_ones(self):
        """Guards against large bodies that leave no room for ordinary ones."""
        holdings = make_holdings()
        large = fill(holdings)
        assert len(large) == int(LARGE_SHARE * MEMORY / LARGE)
        small = add(holdings, "reading")
        assert holdings.resize(small, "body", SMALL_BYTES, 0.0) == ((), True)

    def test_the_one_without_progress_goes_first(self):
        """Guards against refusing whoever comes last."""
        holdings = make_holdings()
        first, second, *_ = fill(holdings)
        holdings.note_arrived(first, LARGE, STALLED)
        newest = add(holdings, "reading", STALLED)
        room = holdings.resize(newest, "body", LARGE, STALLED)
        assert room == ((second,), True)

    def test_a_byte_at_a_time_is_no_progress(self):
        """Guards against a crowd that keeps its room by single bytes."""
        holdings = make_holdings()
        first, *_ = fill(holdings)
        holdings.note_arrived(first, 1, STALLED)
        newest = add(holdings, "reading", STALLED)
        room = holdings.resize(newest, "body", LARGE, STALLED)
        assert room == ((first,), True)

    def test_whole_requests_are_not_closed_for_others(self):
        """Guards against ending an accepted request for lack of memory."""
        holdings = make_holdings()
        for each in fill(holdings):
            holdings.enter(each, "handled", 0.0)
        newest = add(holdings, "reading", STALLED)
        room = holdings.resize(newest, "body", LARGE, STALLED)
        assert room == ((), False)
        assert not holdings.has_room(LARGE, STALLED)
        assert holdings.has_room(SMALL_BYTES, STALLED)

    def test_room_that_can_be_made_counts(self):
        """Guards against refusing an announced body for a stalled crowd."""
        holdings = make_holdings()
        fill(holdings)
        assert not holdings.has_room(LARGE, 0.0)
        assert holdings.has_room(LARGE, STALLED)

    def test_a_single_large_request_always_fits(self):
        """Guards against a legal body that is larger than the bound."""
        holdings = make_holdings()
        only = add(holdings, "reading")
        assert holdings.has_room(4 * MEMORY, 0.0)
        assert holdings.resize(only, "body", 4 * MEMORY, 0.0).fits
        other = add(holdings, "reading")
        assert not holdings.resize(other, "body", LARGE, 0.0).fits

    def test_an_answer_that_is_not_taken_makes_room(self):
        """Guards against clients that fill the memory by not reading."""
        holdings = make_holdings()
        unread = []
        for _ in range(3):
            each = add(holdings, "handled")
            assert holdings.resize(each, "unsent", LARGE, 0.0).fits
            unread.append(each)
        # The first one goes on reading.
        holdings.resize(unread[0], "unsent", LARGE - 1, STALLED)
        newest = add(holdings, "handled", STALLED)
        room = holdings.resize(newest, "unsent", LARGE, STALLED)
        assert room == ((unread[1],), True)

    def test_an_answer_that_was_taken_meanwhile_is_none(self):
        """Guards against closing a client by what it held a while ago."""
        buffered: dict[Holding, int] = {}
        bounds = HoldingBounds(MEMORY, 10)
        holdings = Holdings(bounds, lambda holding: buffered[holding])
        answers = [add(holdings, "handled") for _ in range(3)]
        for each in answers:
            buffered[each] = LARGE
            assert holdings.resize(each, "unsent", LARGE, 0.0).fits
        buffered[answers[0]] = 0
        newest = add(holdings, "handled", STALLED)
        assert holdings.has_room(LARGE, STALLED)
        buffered[newest] = LARGE
        room = holdings.resize(newest, "unsent", LARGE, STALLED)
        assert room == ((), True)
        assert holdings.large == 3 * LARGE

    def test_requests_sent_ahead_make_room(self):
        """Guards against clients that send without waiting for answers."""
        holdings = make_holdings(memory=8 * CONNECTION_BYTES)
        ahead = add(holdings, "handled")
        size = 5 * CONNECTION_BYTES
        assert holdings.resize(ahead, "ahead", size, 0.0).fits
        add(holdings, "handled")
        add(holdings, "handled")
        _, room = holdings.add(0.0)
        assert room == ((ahead,), True)


class TestDescriptors:
    def test_who_has_sent_nothing_goes_first(self):
        """Guards against silent connections that shut ordinary callers out."""
        holdings = make_holdings()
        idle = add(holdings, "idle")
        silent = [add(holdings, "opening", 1.0) for _ in range(9)]
        _, room = holdings.add(2.0)
        assert room == ((silent[0],), True)
        assert idle.stage == "idle"

    def test_idle_ones_go_in_the_order_of_their_last_use(self):
        holdings = make_holdings()
        idle = [add(holdings, "idle") for _ in range(10)]
        holdings.enter(idle[0], "reading", 1.0)
        holdings.enter(idle[0], "idle", 1.0)
        _, room = holdings.add(2.0)
        assert room == ((idle[1],), True)

    def test_parts_of_requests_make_room_in_the_end(self):
        """Guards against a crowd that fills all places faster than it stalls.

        The connection with the oldest progress goes long before it counts as
        stalled.
        """
        holdings = make_holdings()
        reading = [add(holdings, "reading") for _ in range(10)]
        holdings.note_arrived(reading[0], LARGE, YOUNG_SECONDS)
        _, room = holdings.add(YOUNG_SECONDS)
        assert room == ((reading[1],), True)

    @pytest.mark.parametrize("stage", ["opening", "reading"])
    def test_those_that_come_together_do_not_close_each_other(self, stage):
        """Guards against requests that are closed before they are read."""
        holdings = make_holdings()
        for _ in range(10):
            add(holdings, stage)
        _, room = holdings.add(0.0)
        assert room == ((), False)

    def test_a_request_takes_one_more_for_its_runner(self):
        """Guards against descriptors that lack when a request is sent on."""
        holdings = make_holdings()
        handled = [add(holdings, "reading") for _ in range(5)]
        for each in handled:
            assert holdings.enter(each, "handled", 0.0).fits
        assert holdings.descriptors == 10
        _, room = holdings.add(0.0)
        assert not room.fits

    def test_few_discard_what_still_arrives(self):
        """Guards against refused clients that keep their connections."""
        holdings = make_holdings(connections=80)
        refused = [add(holdings, "reading") for _ in range(11)]
        allowed = int(REFUSED_SHARE * 80)
        for each in refused[:allowed]:
            assert not holdings.enter(each, "refused", 0.0).closed
        room = holdings.enter(refused[allowed], "refused", 0.0)
        assert room.closed == (refused[0],)


CHANGES = st.tuples(
    st.sampled_from(
        ["add", "remove", "body", "ahead", "unsent", "handled", "idle"]
    ),
    st.integers(0, 20),
    st.integers(0, 2 * LARGE),
    st.floats(0.0, 1.0),
)


class TestAnyOrder:
    @given(st.lists(CHANGES, max_size=60))
    def test_the_bounds_hold_after_each_change(self, changes):
        """Guards against sums that drift, and bounds that are passed."""
        holdings, now = make_holdings(), 0.0
        live: list[Holding] = []
        for what, which, size, passed in changes:
            now += passed
            if what == "add":
                newest, room = holdings.add(now)
                live.append(newest)
            elif not live:
                continue
            else:
                newest = live[which % len(live)]
                room = None
                if what in ("body", "ahead", "unsent"):
                    room = holdings.resize(newest, what, size, now)
                elif what != "remove":
                    room = holdings.enter(newest, what, now)
            if room is None or not room.fits:
                holdings.remove(newest)
                live.remove(newest)
            for closed in room.closed if room else ():
                live.remove(closed)
            content = sum(each.size for each in live)
            large = [each.size for each in live if each.size > SMALL_BYTES]
            assert len(holdings) == len(live)
            assert holdings.memory == content + CONNECTION_BYTES * len(live)
            assert holdings.large == sum(large)
            assert holdings.descriptors <= 10 or len(live) == 1
            assert len(large) < 2 or sum(large) <= LARGE_SHARE * MEMORY
            assert holdings.memory <= MEMORY or len(large) == 1


class TestBudget:
    @pytest.mark.parametrize("memory_mb", [64, 96, 160, 300, 552])
    @pytest.mark.parametrize("max_fds", [300, 420, 3075, 4100, 10250])
    def test_the_parts_fit_the_host(self, memory_mb, max_fds):
        """Guards against shares that together exceed the host."""
        budget = divide(memory_mb, max_fds)
        parts = (
            budget.clients.memory
            + budget.auxiliary.memory
            + budget.peers.memory
            + 2 * budget.answer_bytes
        )
        assert parts <= 0.6 * memory_mb * 1_000_000
        own = max_fds - 200 - budget.clients.connections
        assert own >= (
            budget.auxiliary.connections
            + budget.peers.connections
            + 2 * budget.tunnels
        )
