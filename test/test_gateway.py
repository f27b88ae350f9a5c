"""Tests of the gateway's HTTP interface for callers."""

import asyncio
from typing import Any

import msgspec
from stack import CHAT, Stack, make_chat, play

from lagoonpost.caller.client import Finished, Problem, Token
from lagoonpost.http.message import Address, Response

PROMPT = "A term plan for wheel classes in spring"


def read_problem(answer: Response) -> dict[str, Any]:
    assert answer.header("content-type") == "application/problem+json"
    problem: dict[str, Any] = msgspec.json.decode(answer.body)
    assert problem["status"] == answer.status
    return problem


async def collect(stack: Stack, body: dict[str, Any]) -> tuple[str, list[Any]]:
    caller = stack.make_caller()
    texts, rest = [], []
    async for event in caller.draft(body):
        if isinstance(event, Token):
            texts.append(event.text)
        else:
            rest.append(event)
    caller.close()
    return "".join(texts), rest


async def read_ids(stack: Stack, body: bytes, count: int) -> list[str]:
    """Read ``count`` event ids of a stream, then close the connection."""
    headers = (("authorization", "Bearer demo-key"),)
    stream = await stack.client.open(
        stack.entries[0], "POST", CHAT, body, headers
    )
    ids: list[str] = []
    async with stream:
        await stream.receive_head()
        async for part in stream.parts():
            for line in part.decode().splitlines():
                if line.startswith("id: "):
                    ids.append(line[4:])
            if len(ids) >= count:
                break
    return ids


async def send_raw(entry: Address, data: bytes, *, end: bool) -> bytes:
    """Send raw bytes and return everything that the gateway replies."""
    reader, writer = await asyncio.open_connection(*entry)
    writer.write(data)
    if end:
        writer.write_eof()
    try:
        async with asyncio.timeout(20):
            return await reader.read()
    finally:
        writer.close()


class TestChat:
    def test_streams_the_same_text_as_the_whole_answer(self) -> None:
        async def story(stack: Stack) -> tuple[str, list[Any], Response]:
            body = msgspec.json.decode(make_chat(PROMPT, 40))
            text, rest = await collect(stack, body)
            whole = await stack.call("POST", CHAT, make_chat(PROMPT, 40))
            return text, rest, whole

        text, rest, whole = play(story)
        choice = msgspec.json.decode(whole.body)["choices"][0]
        assert choice["message"]["content"] == text
        assert [type(event) for event in rest] == [Finished]

    def test_many_callers_each_get_their_own_answer(self) -> None:
        async def story(stack: Stack) -> list[tuple[bytes, bytes]]:
            prompts = [f"{PROMPT}, group {n}" for n in range(24)]
            bodies = [make_chat(prompt, 30) for prompt in prompts]
            alone = [await stack.call("POST", CHAT, b) for b in bodies[:4]]
            calls = [
                stack.call("POST", CHAT, body, gateway=n % 2)
                for n, body in enumerate(bodies)
            ]
            answers = await asyncio.gather(*calls)
            texts = [pick_text(answer) for answer in answers]
            assert len(set(texts)) == len(texts)
            return [
                (pick_text(one), pick_text(many))
                for one, many in zip(alone, answers, strict=False)
            ]

        for alone, many in play(story, gateways=2):
            assert alone == many

    def test_resumes_behind_an_event_at_another_gateway(self) -> None:
        """Guards against lost or repeated tokens after a lost connection.

        The caller sends its last event id to another gateway, which has no
        state of the request, and gets exactly the rest of the stream.
        """

        async def story(stack: Stack) -> tuple[str, str]:
            body = make_chat(PROMPT, 60, stream=True)
            whole = await stack.call("POST", CHAT, make_chat(PROMPT, 60))
            ids = await read_ids(stack, body, 10)
            rest = await stack.call(
                "POST",
                CHAT,
                body,
                headers=(("last-event-id", ids[9]),),
                gateway=1,
            )
            return pick_text(whole), read_stream(rest.body)

        text, rest = play(story, gateways=2)
        assert rest
        assert text.endswith(rest)
        assert len(text.split()) - len(rest.split()) == 10


def pick_text(answer: Response) -> Any:
    assert answer.status == 200, answer.body
    choice = msgspec.json.decode(answer.body)["choices"][0]
    return choice["message"]["content"]


def read_stream(body: bytes) -> str:
    """Return the text of a stream; check that its final event is there."""
    texts = []
    assert body.endswith(b"data: [DONE]\n\n")
    for line in body.decode().splitlines():
        if line.startswith("data: {"):
            choice = msgspec.json.decode(line[6:])["choices"][0]
            texts.append(choice["delta"].get("content", ""))
    return "".join(texts)


class TestEntries:
    def test_lists_other_domains_and_not_a_leaving_gateway(self) -> None:
        async def story(stack: Stack) -> list[list[dict[str, str]]]:
            lists = []
            for _ in range(2):
                answer = await stack.call("GET", "/v1/entries", gateway=1)
                lists.append(msgspec.json.decode(answer.body)["entries"])
                await stack.gateways[0].leave(0.0)
            return lists

        before, after = play(story, gateways=4)
        assert len({entry["failure_domain"] for entry in before}) == 3
        assert len(after) == 3
        assert "domain-a" in {entry["failure_domain"] for entry in after}


class TestAccess:
    def test_refuses_unknown_and_missing_keys(self) -> None:
        async def story(stack: Stack) -> list[Response]:
            body = make_chat(PROMPT, 5)
            return [
                await stack.call("POST", CHAT, body, key=key)
                for key in (None, "wrong-key", "operator-key")
            ] + [await stack.call("GET", "/v1/status", key="demo-key")]

        for answer in play(story):
            assert answer.status == 401
            assert read_problem(answer)["execution"] == "not_run"

    def test_refuses_an_event_id_of_another_workspace(self) -> None:
        """Guards against reading another workspace's answer.

        The event id is genuine, so only the workspace in it shows that the
        caller must not resume the stream.
        """

        async def story(stack: Stack) -> list[Response]:
            body = make_chat(PROMPT, 60, stream=True)
            ids = await read_ids(stack, body, 3)
            other = make_chat("Another prompt", 60, stream=True)
            cases = (
                (body, ids[2], "market-key"),
                (other, ids[2], "demo-key"),
                (body, ids[2][:-1] + "!", "demo-key"),
                (body, "no event id", "demo-key"),
            )
            return [
                await stack.call(
                    "POST",
                    CHAT,
                    sent,
                    key=key,
                    headers=(("last-event-id", event_id),),
                )
                for sent, event_id, key in cases
            ]

        answers = play(story)
        assert [a.status for a in answers] == [403, 409, 400, 400]
        for answer in answers:
            assert read_problem(answer)["execution"] == "not_run"


class TestBadInput:
    def test_explains_wrong_requests(self) -> None:
        async def story(stack: Stack) -> list[tuple[int, int]]:
            unknown = make_chat(PROMPT, 5).replace(b"assistant", b"nobody")
            cases = (
                ("POST", CHAT, b"{", 400),
                ("POST", CHAT, b'{"model": "assistant"}', 400),
                ("POST", CHAT, make_chat(PROMPT, 10**9), 400),
                ("POST", CHAT, b"\xff\xfe", 400),
                ("POST", CHAT, unknown, 404),
                ("GET", CHAT, b"", 405),
                ("GET", "/nowhere", b"", 404),
                ("GET", "/v1/services/nobody/checks/1", b"", 404),
                ("GET", "/v1/services/booking/nothing", b"", 404),
                ("GET", "/v1/requests/abc?token=x", b"", 400),
            )
            seen = []
            for method, path, body, status in cases:
                answer = await stack.call(method, path, body)
                assert read_problem(answer)["execution"] == "not_run"
                seen.append((status, answer.status))
            return seen

        for expected, actual in play(story):
            assert actual == expected

    def test_refuses_unreadable_http(self) -> None:
        async def story(stack: Stack) -> list[bytes]:
            head = b"POST " + CHAT.encode() + b" HTTP/1.1\r\nhost: x\r\n"
            cases = (
                b"nonsense\r\n\r\n",
                head + b"x: " + b"y" * 70000 + b"\r\n\r\n",
                head + b"content-length: 99999999\r\n\r\n",
                head + b"content-length: -1\r\n\r\n",
                head + b"transfer-encoding: chunked\r\n\r\nzz\r\n",
                head + b"transfer-encoding: chunked\r\n\r\n5\r\nabc",
            )
            return [
                await send_raw(stack.entries[0], case, end=True)
                for case in cases
            ]

        answers = play(story)
        for answer in answers[:-1]:
            assert answer.startswith(b"HTTP/1.1 4"), answer
            assert b'"execution":"not_run"' in answer
        # The last request ends within its body, so a response is optional.
        assert answers[-1] == b"" or answers[-1].startswith(b"HTTP/1.1 4")

    def test_answers_a_half_closed_caller(self) -> None:
        """Guards against taking a half-closed connection for a closed one.

        The caller shuts down its sending side and still gets its answer.
        """

        async def story(stack: Stack) -> bytes:
            body = make_chat(PROMPT, 20)
            head = (
                f"POST {CHAT} HTTP/1.1\r\nhost: x\r\n"
                "authorization: Bearer demo-key\r\n"
                f"content-length: {len(body)}\r\n\r\n"
            )
            return await send_raw(
                stack.entries[0], head.encode() + body, end=True
            )

        assert play(story).startswith(b"HTTP/1.1 200")


class TestPlain:
    def test_checks_are_current_each_time(self) -> None:
        """Guards against a cached answer to a repeated check.

        The runner counts the checks, so a cached answer would repeat a count.
        """

        async def story(stack: Stack) -> list[Response]:
            path = "/v1/services/booking/checks/kiln"
            return [await stack.call("GET", path) for _ in range(3)]

        answers = play(story)
        counts = [msgspec.json.decode(a.body)["check"] for a in answers]
        assert counts == [1, 2, 3]
        assert {a.header("cache-control") for a in answers} == {"no-store"}

    def test_a_booking_runs_once_for_a_key(self) -> None:
        """Guards against a double booking when a caller retries.

        The same key returns the recorded answer, also at another gateway.
        The key with a different body is refused and runs nothing.
        """

        async def story(stack: Stack) -> tuple[list[Response], int]:
            path = "/v1/services/booking/bookings"
            key = (("idempotency-key", "slot-7"),)
            answers = []
            for body, gateway in ((b"\x00a", 0), (b"\x00a", 1), (b"b", 0)):
                answer = await stack.call(
                    "POST", path, body, headers=key, gateway=gateway
                )
                answers.append(answer)
            return answers, stack.service.runs["pottery/slot-7"]

        answers, runs = play(story, gateways=2)
        assert [a.status for a in answers] == [200, 200, 422]
        assert answers[0].body == answers[1].body
        assert runs == 1
        assert read_problem(answers[2])["execution"] == "not_run"

    def test_a_check_is_sent_again_after_a_refusal(self) -> None:
        async def story(stack: Stack) -> Response:
            stack.service.faults = {"refuse": 1}
            return await stack.call("GET", "/v1/services/booking/checks/a")

        assert play(story).status == 200


class TestGivenUp:
    def test_a_check_that_may_have_run_is_not_called_not_run(self) -> None:
        """Guards against reporting "not run" for a call that may have run.

        The only runner accepts each attempt and never answers, so the final
        refusal must report the execution as unknown.
        """

        async def story(stack: Stack) -> Response:
            stack.service.faults = {"slow": 60.0}
            return await stack.call("GET", "/v1/services/booking/checks/a")

        problem = read_problem(play(story))
        assert problem["execution"] == "unknown"
        assert problem["retry_after"] > 0

    def test_a_service_s_own_failure_is_passed_on(self) -> None:
        async def story(stack: Stack) -> Response:
            stack.service.faults = {"fail": 500}
            return await stack.call("GET", "/v1/services/booking/checks/a")

        answer = play(story)
        assert answer.status == 500
        assert answer.body == b"broken"


class TestProblem:
    def test_unknown_problem_ends_a_draft(self) -> None:
        async def story(stack: Stack) -> list[Any]:
            body = msgspec.json.decode(make_chat(PROMPT, 5))
            body["model"] = "nobody"
            return (await collect(stack, body))[1]

        (problem,) = play(story)
        assert isinstance(problem, Problem)
        assert problem.execution == "not_run"
