"""Tests of lagoonpost.runners.answer over stand-in engines in the loop."""

import asyncio
from collections.abc import Awaitable, Callable

from lagoonpost.http.client import Client
from lagoonpost.http.message import Address
from lagoonpost.runners.answer import (
    Completed,
    Failed,
    Generation,
    Outcome,
    Part,
    RelayedAnswer,
    relay_answer,
)
from lagoonpost.runners.kv import KvMover
from lagoonpost.systems.event import Refuse
from lagoonpost.systems.relay_event import FailureKind
from lagoonpost.tables.entity import Runner
from lagoonpost_standins.engine import EngineStandin
from lagoonpost_standins.engine_batch import EngineOptions
from lagoonpost_standins.engine_fault import Faults
from lagoonpost_standins.engine_model import answer_text

LOOPBACK = Address("127.0.0.1", 0)
MESSAGES = [{"role": "user", "content": "rules of the market " * 30}]
PROMPT = 121
LENGTH = 120
BODY = {"model": "m", "messages": MESSAGES, "max_tokens": LENGTH}
WHOLE = answer_text(MESSAGES, LENGTH)
OPTIONS = EngineOptions(token_rate=400.0, prefill_rate=1e5)


class Fleet:
    """Engines in this loop and a placement that takes the next one."""

    def __init__(self) -> None:
        self.engines: dict[str, EngineStandin] = {}
        self.runners: list[Runner] = []
        self.asked: list[tuple[str, FailureKind]] = []
        self.client = Client()
        self.mover = KvMover(self.client)

    async def add(
        self, faults: Faults | None = None, options: EngineOptions = OPTIONS
    ) -> EngineStandin:
        name = f"e{len(self.runners)}"
        engine = EngineStandin(name, options)
        engine.set_faults(faults or Faults())
        address = await engine.start(LOOPBACK)
        self.engines[name] = engine
        self.runners.append(Runner(name, str(address), "m", "v1", "h", "d"))
        return engine

    async def place(
        self, failed: Runner, kind: FailureKind
    ) -> Runner | Refuse:
        self.asked.append((failed.name, kind))
        if len(self.asked) < len(self.runners):
            return self.runners[len(self.asked)]
        return Refuse("r1", 503, "no_runner", 1.5)

    def ask(self, deadline: float | None = None) -> RelayedAnswer:
        order = Generation("r1", BODY, deadline=deadline, prompt_tokens=PROMPT)
        return relay_answer(
            order, self.runners[0], self.place, self.client, self.mover
        )

    async def close(self) -> None:
        self.client.close()
        for engine in self.engines.values():
            await engine.close()


class Heard:
    """What the caller got, checked as it came."""

    def __init__(self) -> None:
        self.text = ""
        self.count = 0
        self.end: Completed | Failed | None = None

    def take(self, outcome: Outcome) -> None:
        assert self.end is None
        if isinstance(outcome, Part):
            assert outcome.offset == self.count
            self.text += outcome.text
            self.count = outcome.end
            assert WHOLE.startswith(self.text)
        else:
            self.end = outcome


Hook = Callable[[Heard], Awaitable[None]]


async def _listen(answer: RelayedAnswer, hook: Hook | None = None) -> Heard:
    heard = Heard()
    async for outcome in answer:
        heard.take(outcome)
        if hook is not None:
            await hook(heard)
    return heard


def _assert_whole(heard: Heard) -> None:
    assert isinstance(heard.end, Completed)
    assert heard.end.usage.completion_tokens == LENGTH
    assert heard.text == WHOLE


def _play(story: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        fleet = Fleet()
        try:
            await asyncio.wait_for(story(fleet), 60)
        finally:
            await fleet.close()

    asyncio.run(run())


def _hear_whole(*faults: Faults, moves: list[tuple[str, FailureKind]]) -> None:
    """Play one answer over engines with ``faults``, then a sound one."""

    async def story(fleet: Fleet) -> None:
        for fault in faults:
            await fleet.add(fault)
        await fleet.add()
        _assert_whole(await _listen(fleet.ask()))
        assert fleet.asked == moves
        for engine in fleet.engines.values():
            assert engine.counts.bad_continuations == 0

    _play(story)


class TestFaultyRunner:
    def test_without_faults(self) -> None:
        _hear_whole(Faults(), moves=[])

    def test_cut_connection(self) -> None:
        """A caller sees no gap when the connection to the runner is cut.

        The runner goes on; the answer is read on over a new connection.
        """
        _hear_whole(Faults(cut_after=30), moves=[])

    def test_silent_connection(self) -> None:
        """The answer stops: something on the way forgot the connection.

        New connections work, so the probe finds the answer and no token
        is computed again.
        """
        _hear_whole(Faults(silence_after=30), moves=[])

    def test_runner_freezes_in_mid_answer(self) -> None:
        """The answer stops: its runner accepts calls but makes no tokens.

        The probe gets a head and no token; the answer moves.
        """
        _hear_whole(Faults(freeze_after=30), moves=[("e0", "silent")])

    def test_runner_fails_in_mid_answer(self) -> None:
        _hear_whole(Faults(fail_after=30), moves=[("e0", "failed")])

    def test_runner_refuses_then_one_fails(self) -> None:
        _hear_whole(
            Faults(refuse=True),
            Faults(fail_status=500),
            moves=[("e0", "refused"), ("e1", "failed")],
        )

    def test_parts_twice_swapped_and_late(self) -> None:
        """Parts come twice, in another order, and long after their time."""
        _hear_whole(Faults(duplicate=True, reorder=True, late=True), moves=[])

    def test_runner_dies_without_notice(self) -> None:
        """The caller sees a short pause, then the rest of the answer.

        The runner's process was killed; another one computes the rest.
        """

        async def story(fleet: Fleet) -> None:
            doomed = await fleet.add()
            successor = await fleet.add()

            async def kill(heard: Heard) -> None:
                if heard.count >= 30 and not fleet.asked:
                    await doomed.close()

            heard = await _listen(fleet.ask(), kill)
            _assert_whole(heard)
            assert fleet.asked == [("e0", "lost")]
            counts = successor.counts
            assert counts.tokens_recomputed >= PROMPT + 30
            assert counts.tokens_generated <= LENGTH - 30

        _play(story)


class TestGivingUp:
    def test_no_runner_left(self) -> None:
        """All runners refuse: the caller hears so at once, as not run."""

        async def story(fleet: Fleet) -> None:
            await fleet.add(Faults(refuse=True))
            heard = await _listen(fleet.ask())
            assert heard.end == Failed("not_run", "no_runner", 1.5)

        _play(story)

    def test_deadline_passes_while_the_runner_is_frozen(self) -> None:
        async def story(fleet: Fleet) -> None:
            engine = await fleet.add(Faults(freeze_after=5))
            loop = asyncio.get_running_loop()
            heard = await _listen(fleet.ask(loop.time() + 0.3))
            assert heard.end == Failed("ran", "deadline", 1.0)
            while not engine.counts.canceled:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

        _play(story)

    def test_caller_goes_and_the_runner_is_told(self) -> None:
        async def story(fleet: Fleet) -> None:
            engine = await fleet.add()
            parts = aiter(fleet.ask())
            assert isinstance(await anext(parts), Part)
            await parts.aclose()
            while not engine.counts.canceled:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

        _play(story)


class TestLeavingRunner:
    def _leave(
        self,
        faults: Faults,
        options: EngineOptions = OPTIONS,
        notice: float = 3.0,
    ) -> list[EngineStandin]:
        engines = []

        async def story(fleet: Fleet) -> None:
            engines.append(await fleet.add(faults, options))
            engines.append(await fleet.add())
            answer = fleet.ask()
            told = False

            async def tell(heard: Heard) -> None:
                nonlocal told
                if heard.count >= 40 and not told:
                    told = True
                    loop = asyncio.get_running_loop()
                    answer.announce_reclaim(loop.time() + notice)

            _assert_whole(await _listen(answer, tell))

        _play(story)
        return engines

    SLOW = OPTIONS._replace(token_rate=40.0)

    def test_cache_moves_and_little_is_recomputed(self) -> None:
        """A reclaim notice comes under a draft whose cache can be moved.

        The caller sees no pause; the next runner computes only what the
        exported whole blocks do not hold.
        """
        old, new = self._leave(Faults(), self.SLOW, notice=1.5)
        assert old.counts.exported_bytes > 0
        assert old.counts.canceled == 1
        assert 0 < new.counts.tokens_recomputed < 40

    def test_cut_export_falls_back_to_tokens(self) -> None:
        """The export is cut half-way: the answer moves by its tokens."""
        _, new = self._leave(Faults(export_cut=0.5), self.SLOW, notice=1.5)
        assert new.counts.tokens_recomputed >= PROMPT + 40

    def test_export_too_slow_for_the_notice(self) -> None:
        """The export would outlast the notice: the answer leaves in time."""
        slow = self.SLOW._replace(export_rate=4096.0)
        _, new = self._leave(Faults(), slow, notice=1.5)
        assert new.counts.tokens_recomputed >= PROMPT + 40

    def test_answer_that_ends_in_time_stays(self) -> None:
        _, new = self._leave(Faults(), OPTIONS, notice=30.0)
        assert new.counts.requests == 0
