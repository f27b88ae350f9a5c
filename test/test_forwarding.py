"""Forwarding gateways among stand-ins: what callers and runners see."""

import asyncio

import pytest
from forwarding_stack import (
    HOST,
    KEY,
    Stack,
    make_configuration,
    make_prompt,
    make_route,
    play,
    wait_until,
)

from lagoonpost.http.client import CallFailedError
from lagoonpost.http.message import Response
from lagoonpost_standins.forwarded import make_event


def stream(path: str, events: int = 5) -> bytes:
    return b"".join(make_event(path, n) for n in range(1, events + 1))


class TestForwarding:
    def test_a_request_arrives_as_it_was_sent(self):
        async def story(stack: Stack):
            headers = (
                ("attempt-id", "a-1"),
                ("x-own", "kept"),
                ("tenant", "somebody-else"),
                ("target-instance", "another"),
                ("kv-from", "10.0.0.1:80/h"),
                ("connection", "x-hop"),
                ("x-hop", "for this connection only"),
            )
            path = "/book/a%20b//c?x=1&y=%2F"
            answer = await stack.call(path, "POST", b"\x00{}", headers=headers)
            runner = next(r for r in stack.runners.values() if r.seen)
            return answer, runner.seen[0].request, runner.id

        answer, request, runner = play(story)
        assert answer.status == 200
        assert answer.header("response-signature") == f"signed-{runner}-a-1"
        assert answer.body == b"POST /book/a%20b//c?x=1&y=%2F \x00{}"
        assert request.target == "/book/a%20b//c?x=1&y=%2F"
        assert request.header("host") == HOST
        assert request.header("attempt-id") == "a-1"
        assert request.header("x-own") == "kept"
        assert request.header("tenant") == "pottery"
        assert request.header("target-instance") == runner
        assert request.header("kv-from") is None
        assert request.header("x-hop") is None
        assert request.header("authorization") is None

    def test_a_runner_gets_what_is_left_of_the_time(self):
        async def story(stack: Stack):
            await stack.call("/check/1", deadline=2.0)
            await stack.call("/check/1", deadline=60.0)
            seen = [s for r in stack.runners.values() for s in r.seen]
            return sorted(int(s.request.header("deadline-ms")) for s in seen)

        short, long = play(story)
        assert 1000 < short <= 2000
        assert 4000 < long <= 5000

    def test_a_stream_passes_event_by_event(self):
        async def story(stack: Stack):
            for runner in stack.runners.values():
                runner.pause = 0.05
            call = await stack.open("/draft/1", make_prompt())
            await call.receive_head()
            return [part async for part in call.parts()]

        parts = play(story)
        assert b"".join(parts) == stream("/draft/1")
        assert len(parts) > 1

    def test_a_runner_is_told_who_holds_a_prompts_parts(self):
        async def story(stack: Stack):
            headers = (*make_prompt(9000), ("kv-fetch", "10.0.0.1:80"))
            await stack.call("/draft/1", "POST", headers=headers)
            seen = next(r for r in stack.runners.values() if r.seen).seen[0]
            addresses = {
                str(runner.address)
                for id_, runner in stack.runners.items()
                if id_.startswith("chat") and not runner.seen
            }
            return seen.request.header("kv-fetch"), addresses

        told, others = play(story)
        assert {told} == others

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [
            ("/nowhere/1", KEY, 404),
            ("/check", KEY, 404),
            ("/check/1", "unknown", 401),
            ("/check/1", None, 401),
            ("/open/1", None, 200),
            ("/open/1", "unknown", 200),
        ],
    )
    def test_routes_and_keys(self, path, key, status):
        answer = play(lambda stack: stack.call(path, key=key))
        assert answer.status == status

    def test_the_longest_prefix_holds(self):
        routes = [
            make_route("check", "safe", "desk"),
            make_route("check/deep", "safe", "chat"),
        ]
        configuration = make_configuration(routes=routes)

        async def story(stack: Stack):
            await stack.call("/check/deep/1")
            await stack.call("/check/deeper")
            return [
                (id_.partition("-")[0], seen.request.target)
                for id_, runner in stack.runners.items()
                for seen in runner.seen
            ]

        found = play(story, configuration=configuration)
        assert sorted(found) == [
            ("chat", "/check/deep/1"),
            ("desk", "/check/deeper"),
        ]

    def test_a_request_at_the_start_waits_for_the_configuration(self):
        """Guards against refusing callers who connect as a gateway starts."""

        async def story(stack: Stack):
            belief = stack.gateways[0].view
            routes, belief.routes = belief.routes, None
            belief.loaded.clear()
            call = asyncio.create_task(stack.call("/check/1"))
            await asyncio.sleep(0.05)
            belief.routes = routes
            belief.loaded.set()
            return (await call).status

        assert play(story) == 200

    def test_no_configuration_is_no_reason_for_404(self):
        """A gateway starts while the store is away.

        Its callers would be told that their route does not exist, and give
        up for good, although it only does not know yet.
        """

        async def story(stack: Stack):
            stack.gateways[0].view.routes = None
            return await stack.call("/check/1")

        answer = play(story)
        assert answer.status == 503
        assert float(answer.header("retry-after")) > 0

    def test_a_body_that_is_too_large_is_refused(self):
        async def story(stack: Stack):
            return await stack.call("/book/1", "POST", b"x" * 100001)

        assert play(story).status == 413


class TestFailures:
    @pytest.mark.parametrize(
        "fault", ["full", "reset_before", "reset_after", "torn", "rude"]
    )
    def test_a_check_goes_on_at_another_runner(self, fault):
        async def story(stack: Stack):
            stack.runners["desk-1"].fault = fault
            return [await stack.call("/check/1") for _ in range(6)]

        answers = play(story)
        assert [answer.status for answer in answers] == [200] * 6
        assert {answer.body for answer in answers} == {b"GET /check/1 "}

    def test_a_silent_runner_leaves_time_for_another(self):
        """A check's answer is lost; its caller waits for a second in all.

        The gateway waited for the first runner as long as the caller did,
        and the check failed although another runner was free.
        """

        async def story(stack: Stack):
            stack.runners["desk-1"].fault = "hang"
            answers = [
                await stack.call("/check/1", deadline=1.0) for _ in range(4)
            ]
            return [answer.status for answer in answers]

        assert play(story) == [200] * 4

    def test_a_check_that_failed_is_tried_once_more(self):
        async def story(stack: Stack):
            stack.runners["desk-1"].fault = "fail"
            return [await stack.call("/check/1") for _ in range(6)]

        assert {answer.status for answer in play(story)} == {200}

    def test_a_draft_that_failed_is_tried_once_more(self):
        """A runner answers a part of its drafts with a failure.

        A draft that may be resumed may also run again, and its caller waits
        for an answer and not for a failure.
        """

        async def story(stack: Stack):
            headers = make_prompt()
            await stack.call("/draft/1", "POST", headers=headers)
            # The next one goes where its prompt is held.
            used = next(r for r in stack.runners.values() if r.seen)
            used.fault = "fail"
            answer = await stack.call("/draft/1", "POST", headers=headers)
            return answer.status, len(used.seen)

        assert play(story) == (200, 2)

    def test_a_reply_that_failed_is_not_tried_again(self):
        async def story(stack: Stack):
            stack.set_fault("fail", "chat")
            headers = (("attempt-id", "r-1"), *make_prompt())
            answer = await stack.call("/reply/1", "POST", headers=headers)
            return answer.status, stack.count_runs("r-1")

        assert play(story) == (500, 1)

    @pytest.mark.parametrize(
        "fault", ["reset_before", "reset_after", "torn", "rude", "hang"]
    )
    def test_a_booking_runs_at_most_once(self, fault):
        """A booking's runner breaks off after it began.

        Nobody knows whether the booking was made. Sent to the second
        runner, it may be made twice; answered 503, the caller sends it
        again with the same effect.
        """

        async def story(stack: Stack):
            stack.set_fault(fault, "desk")
            headers = (("attempt-id", "b-1"),)
            answer = await stack.call(
                "/book/1", "POST", b"{}", headers=headers, deadline=1.0
            )
            return answer, stack.count_runs("b-1")

        answer, runs = play(story)
        assert answer.status in (502, 504)
        assert runs <= 1

    def test_a_refused_booking_goes_on(self):
        async def story(stack: Stack):
            stack.runners["desk-1"].fault = "full"
            headers = (("attempt-id", "b-1"),)
            answer = await stack.call("/book/1", "POST", headers=headers)
            return answer, stack.count_runs("b-1")

        answer, runs = play(story)
        assert (answer.status, runs) == (200, 1)

    def test_refused_by_all_is_refused_as_not_run(self):
        async def story(stack: Stack):
            stack.set_fault("full", "desk")
            headers = (("attempt-id", "b-1"),)
            answer = await stack.call("/book/1", "POST", headers=headers)
            return answer, stack.count_runs("b-1")

        answer, runs = play(story)
        assert (answer.status, runs) == (503, 0)
        assert 0 < float(answer.header("retry-after")) < 5

    def test_a_runners_failure_is_passed_on_with_its_signature(self):
        async def story(stack: Stack):
            stack.set_fault("fail", "desk")
            return await stack.call("/book/1", "POST")

        answer = play(story)
        assert answer.status == 500
        assert answer.header("response-signature").startswith("signed-desk")

    def test_a_request_that_crashes_runners_is_not_sent_for_ever(self):
        """A caller sends a request whose runner is gone whenever it begins.

        Each of its retries would take one more runner down.
        """

        async def story(stack: Stack):
            runners = stack.runners.values()
            stack.set_fault("crash", "desk")
            seen = []
            for born in range(8):
                answer = await stack.call("/check/1")
                seen.append(answer.status)
                for id_ in ("desk-1", "desk-2"):
                    await stack.register(id_, born=2000 + born)
                version = stack.store.version
                belief = stack.gateways[0].view
                await wait_until(
                    lambda v=version, b=belief: (
                        b.entries["desk-2"].version >= v
                    )
                )
            runs = sum(runner.runs.total() for runner in runners)
            stack.set_fault("none")
            return seen, runs, (await stack.call("/check/2")).status

        seen, runs, other = play(story)
        assert set(seen) == {502}
        assert 3 <= runs <= 4
        assert other == 200

    def test_the_last_failure_of_a_check_is_passed_on(self):
        async def story(stack: Stack):
            stack.set_fault("fail", "desk")
            return await stack.call("/check/1")

        answer = play(story)
        assert answer.status == 500
        assert answer.header("response-signature").startswith("signed-desk")

    def test_a_failure_is_not_told_as_not_run(self):
        """A check fails at its runner, and no other one can be reached.

        Told that no runner took it, its caller would hold for not run what
        has run; the runner's own failure is the answer.
        """

        async def story(stack: Stack):
            stack.set_fault("fail", "desk")
            await stack.runners["desk-2"].close()
            return [await stack.call("/check/1") for _ in range(4)]

        answers = play(story)
        assert {answer.status for answer in answers} == {500}
        signatures = {a.header("response-signature") for a in answers}
        assert all(text.startswith("signed-desk-1") for text in signatures)

    def test_a_stream_that_began_is_never_followed_by_a_refusal(self):
        """A draft breaks off in its middle and no other runner is left.

        A second head within the stream would be taken for its contents.
        """

        async def story(stack: Stack):
            stack.runners["chat-1"].fault = "break_off"
            with pytest.raises(CallFailedError):
                await stack.call("/draft/1", "POST", headers=make_prompt())

        play(story, chat=1)

    def test_an_address_that_another_runner_got(self):
        """A runner ends, and its address goes to one of another service.

        The request that arrives there must not run: the new one answers
        that it is not the one that was meant, and another takes it.
        """

        async def story(stack: Stack):
            stack.runners["desk-1"].id = "a-new-one"
            answers = [await stack.call("/check/1") for _ in range(4)]
            return answers, stack.runners["desk-1"].runs.total()

        answers, runs = play(story)
        assert {answer.status for answer in answers} == {200}
        assert runs == 0

    def test_a_runner_that_is_gone_costs_nothing_but_time(self):
        async def story(stack: Stack):
            await stack.runners["desk-1"].close()
            return [await stack.call("/book/1", "POST") for _ in range(6)]

        assert {answer.status for answer in play(story)} == {200}

    def test_a_request_ends_at_its_routes_timeout(self):
        routes = [
            make_route("book", "unsafe", "desk", timeout_ms=300),
        ]

        async def story(stack: Stack):
            stack.set_fault("hang")
            return await stack.call("/book/1", "POST", deadline=30.0)

        answer = play(story, configuration=make_configuration(routes=routes))
        assert answer.status == 504


class TestStreams:
    @pytest.mark.parametrize(
        "fault", ["break_off", "break_within", "silent_midway"]
    )
    def test_a_stream_goes_on_at_another_runner(self, fault):
        """A runner is lost in the middle of a draft, within an event.

        The caller would see its answer end early, or an event twice, or a
        torn one. The other runner goes on after the last whole event.
        """

        async def story(stack: Stack):
            stack.runners["chat-1"].fault = fault
            return [
                await stack.call("/draft/1", "POST", headers=make_prompt())
                for _ in range(4)
            ]

        answers = play(story)
        assert {answer.body for answer in answers} == {stream("/draft/1")}
        signatures = {a.header("response-signature") for a in answers}
        assert len(signatures) == len(answers)

    def test_a_stream_that_may_not_go_on_ends_as_broken(self):
        async def story(stack: Stack):
            stack.set_fault("break_within", "chat")
            with pytest.raises(CallFailedError):
                await stack.call("/reply/1", "POST", headers=make_prompt())
            runs = [r.runs.total() for r in stack.runners.values()]
            return sum(runs)

        assert play(story) == 1

    def test_a_stream_may_be_resumed_by_its_caller(self):
        async def story(stack: Stack):
            headers = make_prompt(**{"last-event-id": "3"})
            return await stack.call("/draft/1", "POST", headers=headers)

        whole = stream("/draft/1")
        assert play(story).body == whole[whole.index(b"id: 4") :]

    def test_a_caller_that_leaves_ends_the_work(self):
        """A caller closes its connection while its draft is made.

        The runner would go on for nobody, and others wait behind it.
        """

        async def story(stack: Stack):
            for runner in stack.runners.values():
                runner.pause = 0.1
                runner.events = 1000
            call = await stack.open("/draft/1", make_prompt())
            await call.receive_head()
            call.close()
            runners = stack.runners.values()
            await wait_until(lambda: any(r.cancelled for r in runners))

        play(story)

    def test_a_caller_that_leaves_before_the_first_byte(self):
        async def story(stack: Stack):
            stack.set_fault("hang", "desk")
            call = await stack.open("/book/1")
            runners = stack.runners.values()
            await wait_until(lambda: any(r.runs for r in runners))
            call.close()
            await wait_until(lambda: any(r.cancelled for r in runners))

        play(story)


class TestDirectory:
    async def ask(self, stack: Stack, number: int, path: str) -> Response:
        return await stack.client.call(
            stack.directories[number], "GET", path, timeout=5, fresh=True
        )

    def test_it_names_all_that_serve(self):
        async def story(stack: Stack):
            answer = await self.ask(stack, 0, "/v1/resolve?name=a&zone=b")
            return answer.body, stack.entries

        body, entries = play(story, gateways=3)
        assert all(str(entry).encode() in body for entry in entries)

    def test_a_leaving_gateway_is_not_named(self):
        """A gateway stops while its callers hold connections to it.

        Named in answers, it would be asked until its end, and its last
        callers be cut off.
        """

        async def story(stack: Stack):
            leaving = asyncio.create_task(stack.gateways[1].leave())
            name = str(stack.entries[1]).encode()
            async with asyncio.timeout(5):
                while True:
                    answer = await self.ask(stack, 0, "/v1/resolve")
                    if name not in answer.body:
                        break
                    await asyncio.sleep(0.01)
            answer = await stack.call("/check/1", gateway=1)
            ready = await self.ask(stack, 1, "/v1/ready")
            await leaving
            return answer, ready

        answer, ready = play(story, gateways=2)
        assert answer.status == 200
        assert answer.header("connection") == "close"
        assert ready.status == 503
