"""Tests for answers whose status HTTP doesn't define, and foreign answers."""

import asyncio
from collections.abc import Callable

import pytest
from forwarding_stack import (
    Stack,
    make_configuration,
    make_prompt,
    make_route,
    play,
    wait_until,
)
from test_partition import cut_path

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Request, Response
from lagoonpost_standins.runner import RunnerStandin, make_event

NO_STATUSES = (
    "000",
    "099",
    "101",
    "199",
    "600",
    "999",
    "20",
    "1000",
    "2000",
    "-200",
    "2e2",
)
NOTICE = (
    "server-leaving: 1",
    "server-limit: 0.001",
    "server-brittle: 1",
    "not-executed: 1",
)
OWN_ID = b"OWN-ID"
"""Stands for the id of the request that a runner answers."""
OWN = ("attempt-id: OWN-ID", "response-signature: s-1")
BODY = b"id: 9\ndata: foreign\n\n"
PATHS = pytest.mark.parametrize(
    "tunneled", [False, True], ids=["direct", "tunneled"]
)


def make_raw(
    status: str, kind: str = "", framed: bool = True, *more: str
) -> bytes:
    """Return the bytes of an answer.

    Args:
        status: What stands in place of the status.
        kind: Media type of the body; empty for none.
        framed: Whether the answer has a length.
        *more: Further lines of its head.
    """
    lines = [f"HTTP/1.1 {status} Word", *more]
    if kind:
        lines.append(f"content-type: {kind}")
    if framed:
        lines.append(f"content-length: {len(BODY)}")
    head = "".join(f"{line}\r\n" for line in (*lines, ""))
    return head.encode() + BODY


def make_stream(target: str) -> bytes:
    """Return the whole stream of a runner."""
    return b"".join(make_event(target, number) for number in range(1, 6))


def is_resumed(request: Request) -> bool:
    return request.header("last-event-id") is not None


async def cut_first_gateway(stack: Stack) -> None:
    """Leave the first gateway only the paths through the second."""
    await wait_until(
        lambda: all(daemon._peer_key.current for daemon in stack.gateways)
    )
    cut_path(stack, stack.gateways[0], "refuse")
    forwarder = stack.gateways[0]._forwarder
    for entry in stack.gateways[0].view.entries.values():
        assert entry.endpoint is not None
        with pytest.raises(CallFailedError):
            await forwarder.paths.connect(entry.endpoint, indirect=False)
    reach = forwarder.placement.reach
    await wait_until(lambda: all(map(reach.is_proven, stack.runners)))


def set_raw(stack: Stack, raw: bytes, *runners: str) -> None:
    """Let runners send the same bytes to each request."""
    for id_ in runners:
        stack.runners[id_].make_raw_answer = lambda request: raw


def list_learned(stack: Stack) -> list[object]:
    """Return what gateways have learned from their runners' notices."""
    found: list[object] = []
    for daemon in stack.gateways:
        for id_, entry in daemon.view.entries.items():
            endpoint = entry.endpoint
            assert endpoint is not None
            if endpoint.leaving or not daemon.view.may_send(endpoint):
                found.append((id_, "leaving"))
            if daemon._forwarder.permits.find_stated_rate(endpoint):
                found.append((id_, "limit"))
    return found


class TestStatuses:
    @PATHS
    @pytest.mark.parametrize("status", NO_STATUSES)
    def test_what_has_no_status_is_no_answer(self, status, tunneled):
        """Guards against bytes in place of an answer that are believed."""

        async def scenario(stack: Stack):
            if tunneled:
                await cut_first_gateway(stack)
            answers, learned = [], []
            for framed in (True, False):
                raw = make_raw(status, "", framed, *NOTICE)
                set_raw(stack, raw, "desk-1", "desk-2")
                answers += [
                    await stack.call("/book/1", "POST", b"{}"),
                    await stack.call("/check/1"),
                ]
                raw = make_raw(status, "text/event-stream", framed, *NOTICE)
                set_raw(stack, raw, "chat-1", "chat-2")
                answers += [
                    await stack.call(
                        path, "POST", b"{}", headers=make_prompt()
                    )
                    for path in ("/draft/1", "/reply/1")
                ]
                learned += list_learned(stack)
            runs = sum(sum(r.runs.values()) for r in stack.runners.values())
            return answers, learned, runs

        answers, learned, runs = play(scenario, gateways=2)
        assert [answer.status for answer in answers] == [502] * 8
        assert not any(BODY in answer.body for answer in answers)
        assert learned == []
        assert runs == 2 * (1 + 2 + 2 + 1)

    @PATHS
    @pytest.mark.parametrize("status", NO_STATUSES)
    def test_what_may_repeat_is_served_elsewhere(self, status, tunneled):
        """Guards against a failure that another runner could have helped."""

        async def scenario(stack: Stack):
            if tunneled:
                await cut_first_gateway(stack)
            set_raw(stack, make_raw(status), "desk-1", "chat-1")
            return [
                *[await stack.call(f"/check/{n}") for n in range(4)],
                *[
                    await stack.call(
                        "/draft/1", "POST", b"{}", headers=make_prompt()
                    )
                    for _ in range(4)
                ],
            ]

        answers = play(scenario, gateways=2)
        assert [answer.status for answer in answers] == [200] * 8
        assert [a.body for a in answers[4:]] == [make_stream("/draft/1")] * 4

    @PATHS
    @pytest.mark.parametrize("status", NO_STATUSES)
    def test_a_resumed_stream_goes_on_without_it(self, status, tunneled):
        """Guards against foreign bytes within a caller's stream."""
        raw = make_raw(status, "text/event-stream", False)
        answer = resume_with(raw, tunneled)
        assert isinstance(answer, Response)
        assert answer.status == 200
        assert answer.body == make_stream("/draft/1")

    def test_crash_evidence_outlasts_it(self):
        """Guards against an answer without a status that speaks for a run."""

        async def scenario(stack: Stack) -> int:
            set_raw(stack, make_raw("600"), "desk-1", "desk-2")
            sound = []
            crashes = stack.gateways[0]._crashes
            crashes.causes.note_sound = lambda *args: sound.append(args)
            await stack.call("/check/1")
            return len(sound)

        assert play(scenario) == 0


def resume_with(
    raw: bytes, tunneled: bool = False, others: int = 1
) -> Response | CallFailedError:
    """Return what the caller of a stream gets that is broken off midway.

    Args:
        raw: What runners answer to the request to go on with it, with its id
            in place of ``OWN_ID``.
        tunneled: Whether runners are reached through another gateway.
        others: Number of runners that answer so; a third one goes on.
    """

    async def scenario(stack: Stack) -> Response | CallFailedError:
        if tunneled:
            await cut_first_gateway(stack)
        asked: list[str] = []

        def make(runner: RunnerStandin) -> Callable[[Request], bytes | None]:
            def answer(request: Request) -> bytes | None:
                if not is_resumed(request):
                    runner.fault = "break_off"
                    return None
                runner.fault = "none"
                asked.append(runner.id)
                own = (request.header("attempt-id") or "").encode()
                named = raw.replace(OWN_ID, own)
                return named if len(asked) <= others else None

            return answer

        for runner in stack.runners.values():
            runner.make_raw_answer = make(runner)
        try:
            answer = await stack.call(
                "/draft/1", "POST", b"{}", headers=make_prompt()
            )
        except CallFailedError as error:
            return error
        finally:
            assert asked
        return answer

    route = make_route(
        "draft", "streaming", "chat", stream_resume=True, max_attempts=3
    )
    configuration = make_configuration(routes=[route])
    return play(scenario, configuration=configuration, gateways=2, chat=3)


FOREIGN = pytest.mark.parametrize(
    "raw",
    [
        make_raw("500", "text/plain", True, *OWN),
        make_raw("500", "text/event-stream", True, *OWN),
        make_raw("404", "text/plain", True, *OWN),
        make_raw("200", "text/plain", True, *OWN),
        make_raw("200", "", True, *OWN),
        make_raw("200", "text/plain", False, *OWN),
        make_raw("302", "text/event-stream", True, *OWN),
        make_raw("204", "", False, *OWN),
    ],
    ids=[
        "500",
        "500-events",
        "404",
        "200",
        "bare-type",
        "unframed",
        "302",
        "204",
    ],
)


class TestForeignAnswers:
    """Answers other than a stream to a request to go on with a stream."""

    @FOREIGN
    def test_the_stream_goes_on_elsewhere(self, raw):
        """Guards against a stream that its second runner's answer ends."""
        answer = resume_with(raw)
        assert isinstance(answer, Response)
        assert answer.status == 200
        assert answer.body == make_stream("/draft/1")

    @FOREIGN
    def test_the_stream_is_visibly_cut(self, raw):
        """Guards against a second head or foreign bytes in a stream."""
        assert isinstance(resume_with(raw, others=9), CallFailedError)


class TestClient:
    @pytest.mark.parametrize("status", NO_STATUSES)
    def test_it_returns_no_such_answer(self, status):
        """Guards against users of the client that don't look at a status."""

        async def scenario():
            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(make_raw(status))
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = Client()
            with pytest.raises(CallFailedError) as failure:
                await client.call(
                    Address("127.0.0.1", port), "GET", "/", timeout=9.0
                )
            client.close()
            server.close()
            return failure.value.sent

        assert asyncio.run(scenario())
