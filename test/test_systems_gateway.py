"""Properties of the decision entry point for any arrivals and seeds."""

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.player import Player
from bench.workload import Call, make_declaration
from lagoonpost.systems.event import Dispatch, Refuse

calls = st.lists(
    st.builds(
        Call,
        time=st.floats(0, 4),
        workspace=st.sampled_from(["a", "b", "c"]),
        request_class=st.sampled_from(["check", "booking", "draft"]),
        prompt=st.integers(1, 2000),
        output=st.integers(1, 100),
        prefix=st.sampled_from([(), (1,), (1, 2), (3, 4)]),
    ),
    max_size=60,
)


def play(wanted, seed=1, gateways=1, lost=(), notice=True):
    player = Player(
        make_declaration(runners=3, slots=2), seed, gateways=gateways
    )
    if lost:
        player.schedule(2.0, lambda: player.lose_runners(lost, notice))
    outcomes = player.play(wanted, 150.0)
    return player, outcomes


class TestDecide:
    @settings(max_examples=40)
    @given(calls, st.integers(1, 3))
    def test_every_request_ends_once(self, wanted, gateways):
        player, outcomes = play(wanted, gateways=gateways)
        for outcome in outcomes:
            ended = (outcome.finished is not None) + (
                outcome.refused is not None
            )
            assert ended == 1
        sent = Counter(
            action.request_id
            for _, action in player.log
            if isinstance(action, Dispatch)
        )
        refused = {
            action.request_id
            for _, action in player.log
            if isinstance(action, Refuse)
        }
        assert not refused & sent.keys()
        assert all(count == 1 for count in sent.values())
        for tables in player.tables:
            pool = tables.pools["model"]
            assert not tables.requests
            assert not pool.flights
            assert pool.own == 0
            assert all(load.own == 0 for load in pool.loads.values())

    @settings(max_examples=10)
    @given(calls, st.integers(0, 9))
    def test_same_seed_gives_same_actions(self, wanted, seed):
        assert play(wanted, seed)[0].log == play(wanted, seed)[0].log

    @settings(max_examples=40)
    @given(calls, st.booleans())
    def test_accepted_requests_outlive_a_lost_runner(self, wanted, notice):
        """An accepted request must survive the loss of its runner.

        A runner is reclaimed, with or without notice, while requests run on
        it. They are retried on other runners while new requests occupy those.
        """
        _, outcomes = play(wanted, lost=["r1"], notice=notice)
        for outcome in outcomes:
            if outcome.attempts > 1:
                assert outcome.call.request_class != "booking"
                assert outcome.finished is not None

    @settings(max_examples=20)
    @given(st.integers(1, 400), st.integers(1, 60))
    def test_no_request_is_admitted_after_a_refusal(self, count, output):
        """Of equal simultaneous requests, none is admitted after a refusal."""
        same = Call(1.0, output=output)
        _, outcomes = play([same] * count)
        admitted = [o.refused != o.arrived for o in outcomes]
        assert admitted == sorted(admitted, reverse=True)

    def test_drafts_do_not_starve(self):
        """Drafts must make progress while checks keep arriving.

        Checks alone are three times the capacity of the runners and take
        precedence.
        """
        checks = [Call(0.01 * i, "c", output=50) for i in range(3000)]
        drafts = [Call(2.0 * i, "d", "draft", output=100) for i in range(12)]
        player = Player(make_declaration(runners=4, slots=4))
        outcomes = player.play(checks + drafts, 100.0)
        asked = [o for o in outcomes if o.call.workspace == "d"]
        assert all(o.good for o in asked)
