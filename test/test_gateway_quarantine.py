"""Tests of lagoonpost.gateway.quarantine with gateways and engines."""

import asyncio
import time
from random import Random

import msgspec
from stack import CHAT, Stack, make_chat, play

from lagoonpost.gateway.quarantine import SETTLE_SECONDS
from lagoonpost.systems.event import (
    Action,
    Arrived,
    AttemptFailed,
    Declared,
    Dispatch,
    Event,
    Finished,
    Quarantined,
    Refuse,
    Tick,
)
from lagoonpost.systems.gateway import decide
from lagoonpost.systems.gateway_tables import GatewayTables
from lagoonpost.systems.isolation import GOSSIP_SECONDS
from lagoonpost.systems.quarantine import Loss
from lagoonpost.tables.entity import (
    Declaration,
    Route,
    Runner,
    Service,
    Version,
    Workspace,
)
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.request import RequestRow
from lagoonpost_standins.engine_batch import EngineOptions
from lagoonpost_standins.engine_fault import Faults
from lagoonpost_standins.engine_model import make_text

MARKER = "crash me"
POISON = "poison"
SLOW = EngineOptions(token_rate=100.0, prefill_rate=1e6)
TOKENS = 150


def _arm(stack: Stack, **faults: object) -> set[str]:
    """Make engines crash on the marker; return the set of crashed names."""
    lost: set[str] = set()
    closing: list[asyncio.Future[None]] = []
    for name, engine in stack.engines.items():

        def crash(name: str = name) -> None:
            if name not in lost:
                lost.add(name)
                closing.append(
                    asyncio.ensure_future(stack.engines[name].close())
                )

        engine.state.batch.crash = crash
        engine.set_faults(Faults(**faults))  # type: ignore[arg-type]
    return lost


async def _ask_innocent(stack: Stack, number: int) -> bool:
    prompt = f"innocent {number}"
    answer = await stack.call(
        "POST", CHAT, make_chat(prompt, TOKENS), gateway=number % 2
    )
    expected = make_text([{"role": "user", "content": prompt}], TOKENS)
    return answer.status == 200 and expected.encode() in answer.body


async def _wait_refused(stack: Stack) -> None:
    """Wait until every gateway refuses the poison request."""
    async with asyncio.timeout(20):
        for daemon in stack.gateways:
            verdicts = daemon._gateway.dispatcher.tables.verdicts
            while "refused" not in verdicts.values():  # noqa: ASYNC110
                await asyncio.sleep(0.01)


class TestPoisonRequest:
    def test_is_refused_everywhere_after_two_runners(self) -> None:
        """Guards against a poison request that crashes runner after runner.

        The request crashes each runner that runs it, and its caller keeps
        retrying at alternating gateways. Both gateways refuse it as soon as
        the verdict has been gossiped.
        """

        async def story(stack: Stack) -> None:
            lost = _arm(stack, crash_marker=MARKER, crash_after=5)
            innocent = [
                asyncio.ensure_future(_ask_innocent(stack, n))
                for n in range(6)
            ]
            await stack.wait_answer()
            body = make_chat(MARKER, TOKENS)
            first = await stack.call("POST", CHAT, body)
            assert first.status == 422, first.body
            await _wait_refused(stack)
            for n in range(6):
                again = await stack.call("POST", CHAT, body, gateway=n % 2)
                problem = msgspec.json.decode(again.body)
                assert again.status == 422
                assert problem["execution"] == "not_run"
            assert len(lost) == 2
            assert all(await asyncio.gather(*innocent))

        play(story, gateways=2, engines=5, options=SLOW)

    def test_lost_runner_convicts_nobody(self) -> None:
        """Guards against refusing requests of a runner that died by itself."""

        async def story(stack: Stack) -> None:
            drafts = [
                asyncio.ensure_future(_ask_innocent(stack, n))
                for n in range(6)
            ]
            await stack.wait_answer()
            await stack.engines["engine-1"].close()
            assert all(await asyncio.gather(*drafts))
            for n in range(6):
                assert await _ask_innocent(stack, n)

        play(story, gateways=2, engines=4, options=SLOW)


def _make_fact(fingerprint: str, runner: str, now: float) -> Fact:
    at = now + 10.0 * int(runner[-1])
    loss = Loss(fingerprint, runner, "v1", at, 0)
    key = f"assistant/{fingerprint}/{runner}"
    return Fact("crash_seen", key, 1, msgspec.msgpack.encode(loss))


class TestSettling:
    def test_innocent_suspect_beside_the_poison_is_not_refused(self) -> None:
        """Guards against refusing an innocent request for good.

        Two gateways sent it and the poison request, both suspects, to the
        same runner. The fact about the innocent request's loss arrives first.
        """

        async def story(stack: Stack) -> None:
            gateway = stack.gateways[0]._gateway
            learn = gateway.quarantine.handle_fact
            verdicts = gateway.dispatcher.tables.verdicts
            now = time.time()
            for fingerprint, runner in (
                ("draft", "e1"),
                (POISON, "e1"),
                ("draft", "e2"),
            ):
                learn(_make_fact(fingerprint, runner, now))
            assert verdicts["draft"] == "alone"
            learn(_make_fact(POISON, "e2", now))
            await asyncio.sleep(2 * SETTLE_SECONDS)
            assert verdicts["draft"] == "alone"
            learn(_make_fact(POISON, "e3", now))
            await asyncio.sleep(2 * SETTLE_SECONDS)
            assert verdicts == {POISON: "refused"}

        play(story, engines=1)


class _Decisions:
    """Decision core with two runners and a request sent to one of them."""

    def __init__(self) -> None:
        self.tables = GatewayTables()
        route = Route(CHAT, "draft", True, 1.9)
        runners = tuple(
            Runner(f"e{n}", "127.0.0.1:1", "m", "v1", f"h{n}", "d")
            for n in range(2)
        )
        self.decide(
            Declared(
                Declaration(
                    1,
                    (Service("m", "model", (route,)),),
                    (Version("m", "v1"),),
                    (Workspace("w", ""),),
                    runners,
                )
            )
        )
        self.lost = self.send("r1")

    def decide(self, event: Event) -> list[Action]:
        return decide(self.tables, event, 1.0, Random(1))

    def wait(self) -> list[Action]:
        """Advance the time past the gossip delay of other gateways' facts."""
        return decide(self.tables, Tick(), 1.0 + GOSSIP_SECONDS, Random(1))

    def send(self, name: str) -> str:
        row = RequestRow(
            name, "w", "m", CHAT, "draft", 9, 9, (), name, 1.0, 9.0, True
        )
        (action,) = self.decide(Arrived(row)) or self.wait()
        assert isinstance(action, Dispatch)
        return action.runner

    def fail(self) -> list[Action]:
        event = AttemptFailed("r1", self.lost, "lost", retry=True)
        return self.decide(event)


class TestRetry:
    def test_convicted_request_is_not_retried(self) -> None:
        play = _Decisions()
        play.decide(Quarantined("r1", "refused"))
        assert play.fail() == [Refuse("r1", 422, "poison", None)]

    def test_suspect_waits_until_its_runner_is_idle(self) -> None:
        play = _Decisions()
        other = play.send("r2")
        assert other != play.lost
        play.decide(Quarantined("r1", "alone"))
        assert play.fail() == []
        assert play.wait() == []
        assert play.decide(Finished("r2", other, 9)) == []
        (action,) = play.wait()
        assert isinstance(action, Dispatch)
        assert (action.runner, action.reason) == (other, "alone")

    def test_freed_suspect_runs_beside_others(self) -> None:
        play = _Decisions()
        other = play.send("r2")
        play.decide(Quarantined("r1", "alone"))
        assert play.fail() == []
        (action,) = play.decide(Quarantined("r1", "free"))
        assert isinstance(action, Dispatch)
        assert action.runner == other

    def test_suspect_that_had_begun_is_never_late(self) -> None:
        """Guards against a deadline that ends the retry of a started request.

        A frozen runner is detected long after the first token was due.
        """
        play = _Decisions()
        other = play.send("r2")
        play.decide(Quarantined("r1", "alone"))
        assert play.fail() == []
        late = decide(play.tables, Tick(), 20.0, Random(1))
        assert late == []
        ended = Finished("r2", other, 9)
        (action,) = decide(play.tables, ended, 20.0, Random(1))
        assert isinstance(action, Dispatch)

    def test_suspects_that_are_heard_of_late_go_to_different_runners(
        self,
    ) -> None:
        """Guards against two suspects on one runner.

        Two gateways each lose a runner with a request of their own. Both
        requests are suspects before the gateways have exchanged these facts.
        Without a wait both would go to the first runner and be
        indistinguishable when it is lost as well.
        """
        chosen = set()
        for name, other in (("s1", "s2"), ("s2", "s1")):
            play = _Decisions()
            play.decide(Finished("r1", play.lost, 9))
            play.decide(Quarantined(name, "alone"))
            row = RequestRow(
                name, "w", "m", CHAT, "draft", 9, 9, (), name, 1.0, 9.0, True
            )
            assert play.decide(Arrived(row)) == []
            play.decide(Quarantined(other, "alone"))
            (action,) = play.wait()
            assert isinstance(action, Dispatch)
            chosen.add(action.runner)
        assert len(chosen) == 2

    def test_suspects_of_two_gateways_go_to_different_runners(self) -> None:
        chosen = set()
        for name in ("s1", "s2"):
            play = _Decisions()
            play.decide(Finished("r1", play.lost, 9))
            play.decide(Quarantined("s1", "alone"))
            play.decide(Quarantined("s2", "alone"))
            chosen.add(play.send(name))
        assert len(chosen) == 2
