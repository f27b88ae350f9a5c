"""Tests for answers that end before they are whole, and whole ones."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest
from forwarding_stack import (
    PATIENCE,
    Stack,
    make_configuration,
    make_prompt,
    play,
    wait_until,
)
from hypothesis import given
from hypothesis import strategies as st
from test_crashing_parts import make_stream
from test_migration import (
    reclaim,
    wait_for_busy_runner,
)
from test_partition import cut_path

from lagoonpost.http.client import CallFailedError
from lagoonpost.http.message import Request, Response
from lagoonpost.http.responder import Responder
from lagoonpost.platform.kv_cache import _read_outcome
from lagoonpost.systems.answer_end import EndVerdict, judge_end
from lagoonpost.systems.migration import MIN_PROMPT_TOKENS
from lagoonpost.systems.placement import Choice
from lagoonpost.systems.stop_order import read_stop_answer
from lagoonpost.tables.address import Address
from lagoonpost.tables.answer_end import (
    EndEvidence,
    RunnerState,
    StopState,
    UploadState,
)
from lagoonpost.tables.kv_copy import (
    Busy,
    Copied,
    CopyOutcome,
    KvCopy,
    NoRoom,
    NoRun,
    PartlyCopied,
    Unanswered,
    Unreached,
)
from lagoonpost_standins.runner import MoveFault, RunnerStandin

ONCE, RESUMABLE = "/reply/1", "/draft/1"
LOST_ANSWERS: tuple[MoveFault, ...] = (
    "stop_unanswered",
    "stop_silent",
    "stop_late",
    "stop_fails",
    "stop_refused",
    "stop_without_handle",
    "stop_garbled",
    "stop_without_copy",
    "stopped_late",
)
FRAMING = pytest.mark.parametrize(
    "framed", [True, False], ids=["framed", "unframed"]
)


EVENTS, LONG_EVENTS, EVENT_SECONDS = 30, 60, 0.05
"""Events of a stream, of one that outlasts a late stop, and their pause."""


class Played(NamedTuple):
    """What came of a stream whose runner was ordered to stop it.

    Attributes:
        answer: What the caller got.
        runs: How often it was run from its beginning.
    """

    answer: Response | CallFailedError
    runs: int


def play_stop(
    path: str,
    framed: bool,
    fault: MoveFault,
    faults: int | None = None,
    refused: bool = False,
    outlives: bool = False,
    tunnel: bool = False,
    events: int = EVENTS,
) -> Played:
    """Reclaim the runner of a stream, which is ordered to stop it.

    Args:
        path: Path of the stream.
        framed: Whether the stream comes in chunks.
        fault: What the runner does with the order.
        faults: How many orders have the fault; None for all.
        refused: Whether the other runners refuse to go on.
        outlives: Whether the runner serves beyond the time of its end.
        tunnel: Whether another gateway is between the caller's and runners.
        events: Events of the stream.
    """

    async def scenario(stack: Stack) -> Played:
        for runner in stack.runners.values():
            runner.pause, runner.events = EVENT_SECONDS, events
        if tunnel:
            cut_path(stack, stack.gateways[0], "refuse")
        headers = make_prompt(MIN_PROMPT_TOKENS)
        for runner in stack.runners.values():
            runner.framed = framed
            runner.move_fault = fault
            runner.move_faults = faults
        call = asyncio.create_task(
            stack.call(
                path,
                "POST",
                headers=(*headers, ("attempt-id", "a-1")),
                deadline=PATIENCE,
            )
        )
        busy = await wait_for_busy_runner(stack)
        if refused:
            stack.set_fault("full", "chat")
        if outlives:
            await stack.register(
                busy.id, spot=True, state="draining", leaves_ms=1300
            )
        else:
            await reclaim(stack, busy)
        try:
            answer: Response | CallFailedError = await call
        except CallFailedError as error:
            answer = error
        return Played(answer, stack.count_runs("a-1"))

    configuration = make_configuration()
    for route in configuration["routes"]:
        route["timeout_ms"] = PATIENCE * 1000
    return play(
        scenario,
        gateways=2 if tunnel else 1,
        configuration=configuration,
    )


class TestStops:
    @FRAMING
    @pytest.mark.parametrize("path", [ONCE, RESUMABLE])
    @pytest.mark.parametrize("fault", LOST_ANSWERS)
    def test_a_stopped_stream_goes_on_when_the_answer_is_lost(
        self, fault, path, framed
    ):
        """Guards against a stopped stream that is passed on as complete."""
        played = play_stop(path, framed, fault)
        assert isinstance(played.answer, Response)
        assert played.answer.body == make_stream(path, EVENTS)
        assert played.runs == 1

    @FRAMING
    @pytest.mark.parametrize("fault", LOST_ANSWERS)
    def test_a_stopped_stream_that_can_not_go_on_is_visibly_cut(
        self, fault, framed
    ):
        """Guards against a stopped stream that is passed on as complete."""
        played = play_stop(ONCE, framed, fault, refused=True)
        assert isinstance(played.answer, CallFailedError)
        assert played.runs == 1

    @pytest.mark.parametrize("path", [ONCE, RESUMABLE])
    @pytest.mark.parametrize("fault", ["none", *LOST_ANSWERS])
    def test_the_same_through_a_tunnel(self, fault, path):
        """Guards against a stopped stream that is passed on as complete."""
        played = play_stop(path, False, fault, tunnel=True)
        assert isinstance(played.answer, Response)
        assert played.answer.body == make_stream(path, EVENTS)
        assert played.runs == 1

    @FRAMING
    def test_a_stop_whose_answer_is_lost_is_asked_again(self, framed):
        """Guards against a lost run whose state is kept at its runner."""
        played = play_stop(ONCE, framed, "stop_unanswered", faults=1)
        assert isinstance(played.answer, Response)
        assert played.answer.body == make_stream(ONCE, EVENTS)
        assert played.runs == 1

    @FRAMING
    @pytest.mark.parametrize("path", [ONCE, RESUMABLE])
    def test_a_stream_that_is_stopped_late_goes_on(self, path, framed):
        """Guards against a stop that is carried out after it was given up."""
        played = play_stop(
            path, framed, "stopped_late", outlives=True, events=LONG_EVENTS
        )
        assert isinstance(played.answer, Response)
        assert played.answer.body == make_stream(path, LONG_EVENTS)
        assert played.runs == 1

    @FRAMING
    @pytest.mark.parametrize("path", [ONCE, RESUMABLE])
    @pytest.mark.parametrize("fault", ["stop_declined", "stop_ended"])
    def test_a_stream_that_is_not_stopped_stays_whole(
        self, fault, path, framed
    ):
        """Guards against a true end that is taken for a stop."""
        played = play_stop(path, framed, fault, refused=True, outlives=True)
        assert isinstance(played.answer, Response)
        assert played.answer.body == make_stream(path, EVENTS)
        assert played.runs == 1


EVIDENCE = st.builds(
    EndEvidence,
    ended=st.booleans(),
    framed=st.booleans(),
    repeatable=st.booleans(),
    late=st.booleans(),
    stop=st.sampled_from(StopState),
    upload=st.sampled_from(UploadState),
    runner=st.sampled_from(RunnerState),
)
SOUND = EndEvidence(
    ended=True,
    framed=False,
    upload=UploadState.READ,
    runner=RunnerState.UP,
)


class TestVerdicts:
    @given(EVIDENCE)
    def test_a_bare_end_alone_proves_nothing(self, evidence):
        """Guards against any single sign that a part is taken for whole."""
        verdict = judge_end(evidence)
        if evidence.framed or verdict is not EndVerdict.WHOLE:
            return
        assert evidence.ended
        assert not evidence.late
        assert evidence.stop in (StopState.NONE, StopState.DECLINED)
        assert evidence.upload is UploadState.READ
        assert evidence.runner in (RunnerState.UP, RunnerState.LEAVING)

    @given(EVIDENCE)
    def test_a_marked_end_is_whole(self, evidence):
        """Guards against true ends that are taken for cuts."""
        marked = evidence._replace(ended=True, framed=True)
        stopped = evidence.stop is StopState.STOPPED
        expected = EndVerdict.STOPPED if stopped else EndVerdict.WHOLE
        assert judge_end(marked) is expected

    @given(EVIDENCE)
    def test_what_may_have_been_stopped_goes_on(self, evidence):
        """Guards against stopped runs whose copied state is not used."""
        maybe = evidence._replace(ended=False, stop=StopState.UNKNOWN)
        assert judge_end(maybe) is EndVerdict.STOPPED

    @given(EVIDENCE)
    def test_nothing_is_whole_without_an_end(self, evidence):
        """Guards against a reset that is taken for an end."""
        cut = evidence._replace(ended=False)
        assert judge_end(cut) in (EndVerdict.CUT, EndVerdict.STOPPED)

    @pytest.mark.parametrize(
        ("change", "verdict"),
        [
            ({}, EndVerdict.WHOLE),
            ({"late": True}, EndVerdict.CUT),
            ({"stop": StopState.DECLINED}, EndVerdict.WHOLE),
            ({"stop": StopState.UNKNOWN}, EndVerdict.STOPPED),
            ({"upload": UploadState.UNFINISHED}, EndVerdict.CUT),
            ({"upload": UploadState.RESET}, EndVerdict.CUT),
            ({"upload": UploadState.UNKNOWN}, EndVerdict.UNPROVEN),
            ({"runner": RunnerState.UNKNOWN}, EndVerdict.UNPROVEN),
            ({"runner": RunnerState.DOWN}, EndVerdict.CUT),
            ({"runner": RunnerState.LEAVING}, EndVerdict.WHOLE),
            (
                {"runner": RunnerState.LEAVING, "repeatable": True},
                EndVerdict.CUT,
            ),
        ],
    )
    def test_each_sign_counts(self, change, verdict):
        assert judge_end(SOUND._replace(**change)) is verdict


COPY = KvCopy(Address("127.0.0.1", 1), "handle")


class TestStopAnswers:
    @pytest.mark.parametrize("before", StopState)
    @pytest.mark.parametrize("answer", [Copied(COPY), PartlyCopied(COPY)])
    def test_a_handle_shows_that_the_run_was_stopped(self, before, answer):
        step = read_stop_answer(before, answer)
        assert step == (StopState.STOPPED, False)

    @pytest.mark.parametrize(
        ("answer", "state"),
        [
            (NoRun(), StopState.DECLINED),
            (Busy(), StopState.DECLINED),
            (Unreached("refused"), StopState.NONE),
            (Unanswered("reset"), StopState.UNKNOWN),
            (NoRoom(), StopState.UNKNOWN),
        ],
    )
    def test_the_first_answer(self, answer, state):
        assert read_stop_answer(StopState.NONE, answer).state is state

    @pytest.mark.parametrize(
        "answer",
        [NoRun(), Busy(), NoRoom(), Unreached("refused"), Unanswered("")],
    )
    def test_later_answers_do_not_undo_a_loss(self, answer: CopyOutcome):
        """Guards against an order that was carried out and is forgotten."""
        step = read_stop_answer(StopState.UNKNOWN, answer)
        assert step.state is StopState.UNKNOWN


class TestRunnerStates:
    @staticmethod
    def find_state(
        change: Callable[[RunnerStandin], None] | None = None, **known: Any
    ) -> RunnerState:
        """Return the state of a runner after it was chosen and changed.

        Args:
            change: Changes the runner.
            known: Fields of its entry that changed.
        """

        async def scenario(stack: Stack) -> RunnerState:
            view = stack.gateways[0].view
            before = view.entries["desk-1"].endpoint
            assert before is not None
            if known:
                await stack.register("desk-1", seq=2, **known)
                await wait_until(
                    lambda: view.entries["desk-1"].endpoint != before
                )
            if change is not None:
                change(stack.runners["desk-1"])
            paths = stack.gateways[0]._forwarder.paths
            return await paths.find_state(Choice(before, 0.0, 0, False, True))

        return play(scenario)

    def test_a_runner_that_was_started_again_is_down(self):
        """Guards against a new process that vouches for a killed one."""
        assert self.find_state(born=2000) is RunnerState.DOWN

    def test_the_same_process_is_up(self):
        assert self.find_state() is RunnerState.UP
        assert self.find_state(slots=3) is RunnerState.UP

    def test_another_runner_at_the_address_is_no_sign_of_life(self):
        """Guards against an address that is used again at once."""

        def replace(runner: RunnerStandin) -> None:
            runner.id = "desk-9"

        assert self.find_state(replace) is RunnerState.DOWN

    def test_a_kernel_that_still_accepts_is_no_sign_of_life(self):
        """Guards against connections that a killed process's kernel takes."""

        def reset(runner: RunnerStandin) -> None:
            async def end(request: Request, responder: Responder) -> None:
                """End the connection, and accept no further one."""
                runner._server._server.close()

            runner._server._handler = end

        assert self.find_state(reset) is RunnerState.DOWN

    def test_a_check_that_waits_for_a_slot_is_no_sign_of_death(self):
        """Guards against true ends of full runners that are taken for cuts."""

        def fill(runner: RunnerStandin) -> None:
            async def wait(request: Request, responder: Responder) -> None:
                await asyncio.sleep(PATIENCE)

            runner._server._handler = wait

        assert self.find_state(fill) is RunnerState.UP

    def test_one_that_leaves_and_accepts_connections_is_up(self):
        assert self.find_state(state="draining") is RunnerState.UP


class TestLeavingRunners:
    @FRAMING
    def test_a_check_that_a_leaving_runner_cuts_off_is_asked_elsewhere(
        self, framed
    ):
        """Guards against a part of an answer that its runner's exit ended."""

        async def scenario(stack: Stack) -> list[Response]:
            leaving = stack.runners["desk-1"]
            for runner in stack.runners.values():
                runner.framed = framed
                runner.pause = 0.3
            leaving.crash_midway = True
            leaving.down_seconds = 60.0
            calls = [
                asyncio.create_task(stack.call(f"/check/{n}"))
                for n in range(4)
            ]
            await wait_until(lambda: bool(leaving.runs))
            await stack.register("desk-1", state="draining")
            return await asyncio.gather(*calls)

        for number, answer in enumerate(play(scenario)):
            assert answer.status == 200
            assert answer.body == b"GET /check/%d " % number


class TestCopyAnswers:
    @pytest.mark.parametrize(
        ("status", "body", "stop", "expected"),
        [
            (200, b'{"handle": "h"}', False, Copied),
            (200, b"{}", True, Unanswered),
            (200, b"", True, Unanswered),
            (404, b"", True, NoRun),
            (409, b"", True, Busy),
            (503, b"", True, NoRoom),
            (503, b'{"handle": "h"}', True, PartlyCopied),
            (503, b'{"handle": "h"}', False, NoRoom),
            (500, b'{"handle": "h"}', True, Unanswered),
        ],
    )
    def test_each_status(self, status, body, stop, expected):
        answer = Response(status, (), body)
        outcome = _read_outcome(answer, Address("127.0.0.1", 1), stop)
        assert type(outcome) is expected


class TestDeadlines:
    @pytest.mark.parametrize("path", [ONCE, RESUMABLE])
    def test_a_stream_that_its_runner_stops_in_time_is_visibly_cut(self, path):
        """Guards against a runner's timer that fires before the gateway's."""

        async def scenario(stack: Stack) -> list[Response | BaseException]:
            for runner in stack.runners.values():
                runner.framed = False
                runner.events = 100
                runner.pause = 0.05
                runner.stop_early = 0.015
            prompt = make_prompt()
            return [
                (
                    await asyncio.gather(
                        stack.call(path, "POST", headers=prompt, deadline=0.3),
                        return_exceptions=True,
                    )
                )[0]
                for _ in range(8)
            ]

        for answer in play(scenario):
            assert isinstance(answer, CallFailedError)
