"""Tests of lagoonpost.runners.answer with in-process stand-in engines."""

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
from lagoonpost_standins.engine_model import make_text

LOOPBACK = Address("127.0.0.1", 0)
MESSAGES = [{"role": "user", "content": "rules of the market " * 30}]
PROMPT = 121
LENGTH = 120
BODY = {"model": "m", "messages": MESSAGES, "max_tokens": LENGTH}
WHOLE = make_text(MESSAGES, LENGTH)
OPTIONS = EngineOptions(token_rate=400.0, prefill_rate=1e5)


class Fleet:
    """In-process engines and a placement that selects them in order."""

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
        generation = Generation(
            "r1", BODY, deadline=deadline, prompt_tokens=PROMPT
        )
        return relay_answer(
            generation, self.runners[0], self.place, self.client, self.mover
        )

    async def close(self) -> None:
        self.client.close()
        for engine in self.engines.values():
            await engine.close()


class Transcript:
    """Collects what the caller received and checks it on arrival."""

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


Hook = Callable[[Transcript], Awaitable[None]]


async def _collect(
    answer: RelayedAnswer, hook: Hook | None = None
) -> Transcript:
    transcript = Transcript()
    async for outcome in answer:
        transcript.take(outcome)
        if hook is not None:
            await hook(transcript)
    return transcript


def _assert_whole(transcript: Transcript) -> None:
    assert isinstance(transcript.end, Completed)
    assert transcript.end.usage.completion_tokens == LENGTH
    assert transcript.text == WHOLE


def _run(scenario: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        fleet = Fleet()
        try:
            await asyncio.wait_for(scenario(fleet), 60)
        finally:
            await fleet.close()

    asyncio.run(run())


def _assert_answer_completes(
    *faults: Faults, moves: list[tuple[str, FailureKind]]
) -> None:
    """Run one answer over engines with ``faults``, then a faultless one."""

    async def scenario(fleet: Fleet) -> None:
        for fault in faults:
            await fleet.add(fault)
        await fleet.add()
        _assert_whole(await _collect(fleet.ask()))
        assert fleet.asked == moves
        for engine in fleet.engines.values():
            assert engine.counts.bad_continuations == 0

    _run(scenario)


class TestFaultyRunner:
    def test_without_faults(self) -> None:
        _assert_answer_completes(Faults(), moves=[])

    def test_cut_connection(self) -> None:
        """Guards against a gap when the connection to the runner is cut.

        The runner continues; the rest is read over a new connection.
        """
        _assert_answer_completes(Faults(cut_after=30), moves=[])

    def test_silent_connection(self) -> None:
        """Guards against a stalled answer when a middlebox drops a connection.

        New connections work, so the probe finds the answer and no token is
        recomputed.
        """
        _assert_answer_completes(Faults(silence_after=30), moves=[])

    def test_runner_freezes_in_mid_answer(self) -> None:
        """Guards against a stalled answer when the runner freezes.

        The runner accepts calls but generates no tokens: the probe receives
        a response head and no token, and the answer moves.
        """
        _assert_answer_completes(
            Faults(freeze_after=30), moves=[("e0", "silent")]
        )

    def test_runner_fails_in_mid_answer(self) -> None:
        _assert_answer_completes(
            Faults(fail_after=30), moves=[("e0", "failed")]
        )

    def test_runner_refuses_then_one_fails(self) -> None:
        _assert_answer_completes(
            Faults(refuse=True),
            Faults(fail_status=500),
            moves=[("e0", "refused"), ("e1", "failed")],
        )

    def test_parts_twice_swapped_and_late(self) -> None:
        """Parts may be duplicated, reordered and delayed."""
        _assert_answer_completes(
            Faults(duplicate=True, reorder=True, late=True), moves=[]
        )

    def test_runner_dies_without_notice(self) -> None:
        """Guards against losing an answer when its runner is killed.

        The caller sees a short pause; another runner generates the rest.
        """

        async def scenario(fleet: Fleet) -> None:
            doomed = await fleet.add()
            successor = await fleet.add()

            async def kill(transcript: Transcript) -> None:
                if transcript.count >= 30 and not fleet.asked:
                    await doomed.close()

            transcript = await _collect(fleet.ask(), kill)
            _assert_whole(transcript)
            assert fleet.asked == [("e0", "lost")]
            counts = successor.counts
            assert counts.tokens_recomputed >= PROMPT + 30
            assert counts.tokens_generated <= LENGTH - 30

        _run(scenario)


class TestGivingUp:
    def test_no_runner_left(self) -> None:
        """If all runners refuse, the answer fails at once as not run."""

        async def scenario(fleet: Fleet) -> None:
            await fleet.add(Faults(refuse=True))
            transcript = await _collect(fleet.ask())
            assert transcript.end == Failed("not_run", "no_runner", 1.5)

        _run(scenario)

    def test_deadline_passes_while_the_runner_is_frozen(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            engine = await fleet.add(Faults(freeze_after=5))
            loop = asyncio.get_running_loop()
            transcript = await _collect(fleet.ask(loop.time() + 0.3))
            assert transcript.end == Failed("ran", "deadline", 1.0)
            while not engine.counts.canceled:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

        _run(scenario)

    def test_caller_goes_and_the_runner_is_told(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            engine = await fleet.add()
            parts = aiter(fleet.ask())
            assert isinstance(await anext(parts), Part)
            await parts.aclose()
            while not engine.counts.canceled:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

        _run(scenario)


class TestLeavingRunner:
    def _leave(
        self,
        faults: Faults,
        options: EngineOptions = OPTIONS,
        notice: float = 3.0,
    ) -> list[EngineStandin]:
        engines = []

        async def scenario(fleet: Fleet) -> None:
            engines.append(await fleet.add(faults, options))
            engines.append(await fleet.add())
            answer = fleet.ask()
            notified = False

            async def notify(transcript: Transcript) -> None:
                nonlocal notified
                if transcript.count >= 40 and not notified:
                    notified = True
                    loop = asyncio.get_running_loop()
                    answer.announce_reclaim(loop.time() + notice)

            _assert_whole(await _collect(answer, notify))

        _run(scenario)
        return engines

    SLOW = OPTIONS._replace(token_rate=40.0)

    def test_cache_moves_and_little_is_recomputed(self) -> None:
        """Guards against recomputing an answer after a reclaim notice.

        The KV cache moves in time; the next runner recomputes only the
        tokens outside the exported whole blocks.
        """
        old, new = self._leave(Faults(), self.SLOW, notice=1.5)
        assert old.counts.exported_bytes > 0
        assert old.counts.canceled == 1
        assert 0 < new.counts.tokens_recomputed < 40

    def test_cut_export_falls_back_to_tokens(self) -> None:
        """If the export is cut half-way, the answer moves by its tokens."""
        _, new = self._leave(Faults(export_cut=0.5), self.SLOW, notice=1.5)
        assert new.counts.tokens_recomputed >= PROMPT + 40

    def test_export_too_slow_for_the_notice(self) -> None:
        """If the export would outlast the notice, the answer moves in time."""
        slow = self.SLOW._replace(export_rate=4096.0)
        _, new = self._leave(Faults(), slow, notice=1.5)
        assert new.counts.tokens_recomputed >= PROMPT + 40

    def test_answer_that_ends_in_time_stays(self) -> None:
        _, new = self._leave(Faults(), OPTIONS, notice=30.0)
        assert new.counts.requests == 0
