"""Tests for what comes back on a request's connection and isn't its answer."""

import itertools
from collections.abc import Callable, Iterator
from typing import Any

import eliot
import pytest
from forwarding_stack import (
    Stack,
    make_configuration,
    make_prompt,
    make_route,
    play,
)
from test_statuses import cut_first_gateway, list_learned, make_stream

from lagoonpost.cli.explain import LogLine, explain_request
from lagoonpost.http.client import CallFailedError
from lagoonpost.http.message import Headers, Request, Response
from lagoonpost.platform.headers import read_head
from lagoonpost.systems.answer_head import HeadVerdict, judge_head
from lagoonpost.tables.answer_head import AnswerHead
from lagoonpost_standins.runner import RunnerStandin, make_body

Spoil = Callable[..., bytes]
OTHER_ID = "attempt-of-another"
FOREIGN_BODY = b"id: 9\ndata: foreign\n\n"
NOTICES = (
    ("server-leaving", "1"),
    ("server-limit", "0.001"),
    ("server-brittle", "1"),
    ("retry-after", "60"),
)
"""What takes a runner out, if it is believed."""
PATHS = pytest.mark.parametrize(
    "tunneled", [False, True], ids=["direct", "tunneled"]
)


def make_spoiled(
    status: int,
    *fields: tuple[str, str],
    ids: tuple[str, ...] = (),
    framing: str = "length",
) -> Spoil:
    """Return what makes the bytes that are sent in place of an answer.

    Args:
        status: Their status.
        *fields: Further header fields.
        ids: Ids that they name; ``own`` stands for the request's.
        framing: How their end is marked: by ``length``, ``chunks`` or the end
            of their ``connection``.
    """

    def spoil(request: Request, notices: Headers = ()) -> bytes:
        own = request.header("attempt-id") or ""
        named = [own if each == "own" else each for each in ids]
        is_model = request.header("model") is not None
        kind = "text/event-stream" if is_model else "text/plain"
        head: Headers = (
            ("content-type", kind),
            *(("attempt-id", each) for each in named),
            *fields,
            *notices,
        )
        body = FOREIGN_BODY
        if framing == "length":
            head += (("content-length", str(len(body))),)
        if framing == "chunks":
            head += (("transfer-encoding", "chunked"),)
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        lines = [f"HTTP/1.1 {status} x", *(f"{n}: {v}" for n, v in head)]
        return "\r\n".join([*lines, "", ""]).encode() + body

    return spoil


SIGNED = ("response-signature", "s-1")
REFUSED = ("not-executed", "1")
SPOILED: dict[str, Spoil] = {
    "bare": make_spoiled(200),
    "bare, chunks": make_spoiled(200, framing="chunks"),
    "bare, connection": make_spoiled(200, framing="connection"),
    "no id": make_spoiled(200, SIGNED),
    "no signature": make_spoiled(200, ids=("own",)),
    "no signature, connection": make_spoiled(
        200, ids=("own",), framing="connection"
    ),
    "empty signature": make_spoiled(
        200, ("response-signature", ""), ids=("own",)
    ),
    "two signatures": make_spoiled(
        200, SIGNED, ("response-signature", "s-2"), ids=("own",)
    ),
    "another's": make_spoiled(200, SIGNED, ids=(OTHER_ID,)),
    "two ids": make_spoiled(200, SIGNED, ids=("own", OTHER_ID)),
    "encoded": make_spoiled(
        200, SIGNED, ("content-encoding", "gzip"), ids=("own",)
    ),
    "no content": make_spoiled(204, framing="none"),
    "redirect": make_spoiled(302),
    "failure": make_spoiled(500),
    "another's failure": make_spoiled(500, SIGNED, ids=(OTHER_ID,)),
    "not found": make_spoiled(404),
}
REFUSALS: dict[str, Spoil] = {
    "another's": make_spoiled(503, REFUSED, ids=(OTHER_ID,)),
    "no id": make_spoiled(503, REFUSED),
    "two ids": make_spoiled(503, REFUSED, ids=(OTHER_ID, "own")),
    "encoded": make_spoiled(
        503, REFUSED, ("content-encoding", "gzip"), ids=("own",)
    ),
    "success": make_spoiled(200, REFUSED, SIGNED, ids=("own",)),
    "misdirected": make_spoiled(421, ids=(OTHER_ID,)),
    "misdirected, no id": make_spoiled(421),
    "bad request": make_spoiled(400, REFUSED),
    "too many": make_spoiled(429, REFUSED),
}
ALL = {
    **SPOILED,
    **{f"refusal, {name}": spoil for name, spoil in REFUSALS.items()},
}
EACH = pytest.mark.parametrize("spoil", ALL.values(), ids=ALL.keys())
ONCE = pytest.mark.parametrize(
    ("path", "more"), [("/book/1", ()), ("/reply/1", make_prompt())]
)
REPEATABLE = pytest.mark.parametrize(
    ("path", "more"), [("/check/1", ()), ("/draft/1", make_prompt())]
)


def spoil_all(stack: Stack, spoil: Spoil) -> None:
    """Let all runners send what is nobody's answer."""
    for runner in stack.runners.values():
        runner.make_raw_answer = spoil


def spoil_first(stack: Stack, spoil: Spoil) -> None:
    """Let the first runner that each request reaches send it."""
    seen: set[str] = set()

    def answer(request: Request) -> bytes | None:
        attempt = request.header("attempt-id") or ""
        if attempt in seen:
            return None
        seen.add(attempt)
        return spoil(request)

    for runner in stack.runners.values():
        runner.make_raw_answer = answer


async def ask(stack: Stack, path: str, more: Headers) -> Response:
    method = "GET" if path.startswith("/check") else "POST"
    return await stack.call(path, method, b"{}", headers=more)


def count_all_runs(stack: Stack) -> int:
    return sum(sum(runner.runs.values()) for runner in stack.runners.values())


class TestWhatMayRunOnce:
    @PATHS
    @EACH
    @ONCE
    def test_it_runs_once_and_its_outcome_is_unknown(
        self, path, more, spoil, tunneled
    ):
        """Guards against foreign successes and runs after foreign refusals."""

        async def scenario(stack: Stack):
            if tunneled:
                await cut_first_gateway(stack)
            spoil_all(stack, spoil)
            answer = await ask(stack, path, more)
            return answer, count_all_runs(stack)

        answer, runs = play(scenario, gateways=2)
        assert answer.status == 502
        assert answer.header("retry-after") is None
        assert FOREIGN_BODY not in answer.body
        assert runs == 1


class TestWhatMayRepeat:
    @PATHS
    @EACH
    @REPEATABLE
    def test_another_runner_answers(self, path, more, spoil, tunneled):
        """Guards against foreign answers where another runner has one."""

        async def scenario(stack: Stack):
            if tunneled:
                await cut_first_gateway(stack)
            spoil_first(stack, spoil)
            answers = [await ask(stack, path, more) for _ in range(4)]
            return answers, count_all_runs(stack)

        answers, runs = play(scenario, gateways=2)
        expected = make_stream(path) if more else b"GET /check/1 {}"
        assert [answer.status for answer in answers] == [200] * 4
        assert [answer.body for answer in answers] == [expected] * 4
        assert runs == 8

    @EACH
    @REPEATABLE
    def test_without_another_runner_nothing_is_promised(
        self, path, more, spoil
    ):
        """Guards against a refusal of what may have run."""

        async def scenario(stack: Stack):
            spoil_all(stack, spoil)
            return await ask(stack, path, more)

        answer = play(scenario)
        assert answer.status == 502
        assert FOREIGN_BODY not in answer.body

    def test_a_stream_goes_on_without_it(self):
        """Guards against foreign bytes in the second part of a stream."""
        route = make_route(
            "draft", "streaming", "chat", stream_resume=True, max_attempts=3
        )

        async def scenario(stack: Stack, spoil: Spoil) -> tuple[Response, int]:
            asked: list[str] = []

            def make(runner: RunnerStandin) -> Callable[..., bytes | None]:
                def answer(request: Request) -> bytes | None:
                    if request.header("last-event-id") is None:
                        runner.fault = "break_off"
                        return None
                    runner.fault = "none"
                    asked.append(runner.id)
                    return spoil(request) if len(asked) == 1 else None

                return answer

            for runner in stack.runners.values():
                runner.make_raw_answer = make(runner)
            return await ask(stack, "/draft/1", make_prompt()), len(asked)

        for spoil in ALL.values():
            answer, asked = play(
                lambda stack, spoil=spoil: scenario(stack, spoil),
                configuration=make_configuration(routes=[route]),
                chat=3,
            )
            assert (answer.status, asked) == (200, 2)
            assert answer.body == make_stream("/draft/1")

    def test_a_stream_without_another_runner_is_visibly_cut(self):
        """Guards against a stream that a foreign answer ends."""

        async def scenario(stack: Stack) -> None:
            for runner in stack.runners.values():
                runner.fault = "break_off"
                runner.make_raw_answer = lambda request: (
                    SPOILED["bare"](request)
                    if request.header("last-event-id")
                    else None
                )
            with pytest.raises(CallFailedError):
                await ask(stack, "/draft/1", make_prompt())

        play(scenario)


class TestEvidence:
    """What nobody has sent speaks neither for nor against anything."""

    @PATHS
    @EACH
    def test_runners_are_not_taken_out(self, spoil, tunneled):
        """Guards against statements of nobody that take out sound runners."""

        async def scenario(stack: Stack):
            if tunneled:
                await cut_first_gateway(stack)
            spoil_all(stack, lambda request: spoil(request, NOTICES))
            for path, more in (("/check/1", ()), ("/draft/1", make_prompt())):
                await ask(stack, path, more)
            learned = list_learned(stack)
            for runner in stack.runners.values():
                runner.make_raw_answer = lambda request: None
            answers = [await ask(stack, "/check/1", ()) for _ in range(4)]
            return learned, [answer.status for answer in answers]

        assert play(scenario, gateways=2) == ([], [200] * 4)

    @EACH
    def test_nothing_is_counted(self, spoil):
        """Guards against verdicts on runners, versions and contents."""
        noted: list[str] = []

        def note(name: str) -> Callable[..., None]:
            return lambda *args, **more: noted.append(name)

        async def scenario(stack: Stack):
            spoil_all(stack, spoil)
            daemon = stack.gateways[0]
            forwarder = daemon._forwarder
            forwarder.offers.shifts.note_answer = note("version")
            causes = daemon._crashes.causes
            causes.note_sound = note("sound")
            causes.note_cut_off = note("cut off")
            causes.note_down = note("down")
            placement = forwarder.placement
            placement.note_first_byte = note("latency")
            placement.reach.note_answered = note("reach")
            for id_ in stack.runners:
                placement.state(id_).note_outcome = note("runner")
            for path, more in (("/check/1", ()), ("/draft/1", make_prompt())):
                await ask(stack, path, more)

        play(scenario)
        assert noted == []

    def test_a_request_that_was_not_sent_is_no_answer(self):
        """Guards against versions that are cleared by requests never sent."""
        noted: list[Any] = []

        async def refuse(*args: object) -> float:
            return 1.0

        async def scenario(stack: Stack) -> int:
            offers = stack.gateways[0]._forwarder.offers
            offers.shifts.note_answer = lambda *args, **more: noted.append(1)
            offers._charge = refuse
            return (await ask(stack, "/check/1", ())).status

        assert (play(scenario), noted) == (429, [])

    def test_the_own_answer_counts(self):
        """Guards against evidence that is lost with the foreign answers."""
        noted: list[Any] = []

        async def scenario(stack: Stack):
            shifts = stack.gateways[0]._forwarder.offers.shifts
            shifts.note_answer = lambda *args, **more: noted.append(more)
            await ask(stack, "/check/1", ())

        play(scenario)
        assert noted == [{"failed": False, "slow": False}]


class TestOwnAnswers:
    @PATHS
    def test_an_interim_response_of_nobody_precedes_it(self, tunneled):
        """Guards against answers that are lost for bytes before them."""

        def make(request: Request) -> bytes:
            body = make_body(request)
            attempt = request.header("attempt-id") or ""
            return (
                b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
                b"HTTP/1.1 200 OK\r\n"
                + f"attempt-id: {attempt}\r\nresponse-signature: s\r\n"
                f"content-length: {len(body)}\r\n\r\n".encode()
                + body
            )

        async def scenario(stack: Stack):
            if tunneled:
                await cut_first_gateway(stack)
            spoil_all(stack, make)
            return await ask(stack, "/book/1", ())

        answer = play(scenario, gateways=2)
        assert (answer.status, answer.body) == (200, b"POST /book/1 {}")

    @pytest.mark.parametrize("status", [302, 400, 404, 500, 504])
    def test_a_failure_needs_no_signature(self, status):
        """Guards against a runner's failures that their callers don't get."""

        async def scenario(stack: Stack):
            spoil_all(stack, make_spoiled(status, ids=("own",)))
            return await ask(stack, "/book/1", ())

        answer = play(scenario)
        assert (answer.status, answer.body) == (status, FOREIGN_BODY)

    @pytest.mark.parametrize("status", [400, 421, 429, 503])
    def test_an_own_refusal_is_believed(self, status):
        """Guards against work that is lost though it has not run."""

        async def scenario(stack: Stack):
            refusal = make_spoiled(status, REFUSED, ids=("own",))
            spoil_first(stack, refusal)
            return [await ask(stack, "/book/1", ()) for _ in range(4)]

        answers = play(scenario)
        assert [answer.status for answer in answers] == [200] * 4


@pytest.fixture
def lines() -> Iterator[list[LogLine]]:
    kept: list[LogLine] = []

    def keep(message: dict[str, Any]) -> None:
        kind = str(message.get("message_type", ""))
        kept.append(LogLine("a", message["timestamp"], kind, message))

    eliot.add_destinations(keep)
    yield kept
    eliot.remove_destination(keep)


class TestReports:
    @pytest.mark.parametrize(
        ("name", "words"),
        [
            ("bare", "status 200 and no id of a request"),
            ("no signature", "status 200 and a success without a signature"),
            ("another's failure", "status 500 and the id of another request"),
            ("encoded", "status 200 and an encoded body"),
        ],
    )
    def test_the_log_tells_why_it_was_not_taken(self, lines, name, words):
        """Guards against failed requests whose cause no log names."""
        headers = (("attempt-id", "r-1"),)

        async def scenario(stack: Stack):
            spoil_all(stack, SPOILED[name])
            await ask(stack, "/book/1", headers)

        play(scenario)
        text = "\n".join(explain_request("r-1", lines))
        assert f"what came back had {words}" in text
        assert "may have executed it" in text

    def test_a_counter_has_the_reason(self):
        """Guards against spoiled answers that no metric shows."""

        async def scenario(stack: Stack):
            spoil_all(stack, SPOILED["bare"])
            await ask(stack, "/book/1", ())
            metrics = stack.gateways[0]._metrics
            return metrics._foreign.labels("no_id")._value.get()

        assert play(scenario) == 1


IDS = [(), ("a",), ("b",), ("a", "b")]
SIGNATURES = [(), ("s",), ("s", "t")]
HEADS = [
    AnswerHead(frozenset(ids), frozenset(signatures), *flags)
    for ids, signatures, *flags in itertools.product(
        IDS, SIGNATURES, (False, True), (False, True), (False, True)
    )
]


class TestVerdicts:
    """All heads, judged as answers to the request ``a``."""

    def test_only_the_own_id_shows_anything(self):
        """Guards against proof that another request's answer gives."""
        for head in HEADS:
            verdict, reason = judge_head(head, "a")
            is_own = head.ids == {"a"} and not head.encoded
            vouched = len(head.signatures) == 1 or not head.success
            expected = HeadVerdict.FOREIGN
            if is_own and head.refuses and not head.success:
                expected = HeadVerdict.REFUSED
            elif is_own and vouched and not head.refuses:
                expected = HeadVerdict.OWN
            assert verdict is expected, head
            assert bool(reason) == (verdict is HeadVerdict.FOREIGN)

    def test_a_request_without_an_id_has_none_to_repeat(self):
        """Guards against answers that callers without an id don't get."""
        head = AnswerHead(frozenset(), frozenset("s"), False, True, False)
        assert judge_head(head, "").verdict is HeadVerdict.OWN
        other = head._replace(ids=frozenset("b"))
        assert judge_head(other, "").verdict is HeadVerdict.FOREIGN


class TestDecoding:
    @pytest.mark.parametrize("status", [200, 299])
    def test_a_success(self, status):
        headers = (("attempt-id", "a"), ("response-signature", "s"))
        assert read_head(status, headers) == AnswerHead(
            frozenset("a"), frozenset("s"), False, True, False
        )

    @pytest.mark.parametrize(
        ("status", "headers"),
        [(503, (REFUSED,)), (421, ()), (400, (REFUSED,))],
    )
    def test_a_refusal(self, status, headers):
        head = read_head(status, headers)
        assert (head.refuses, head.success) == (True, False)

    def test_equal_fields_are_one(self):
        headers = (("attempt-id", "a"), ("attempt-id", "a"), SIGNED, SIGNED)
        head = read_head(200, headers)
        assert (len(head.ids), len(head.signatures)) == (1, 1)

    def test_empty_fields_are_none(self):
        headers = (("attempt-id", ""), ("response-signature", ""))
        head = read_head(200, headers)
        assert (len(head.ids), len(head.signatures)) == (0, 0)
