"""Tests of gateways before runners that a part of a prompt crashes."""

import asyncio
import itertools
import json
import time
from collections import Counter
from typing import Any, NamedTuple

import pytest
from forwarding_stack import Stack, make_prompt, play, wait_until
from memory_store import MemoryStore
from test_partition import cut_path

from lagoonpost.forwarding.crash_recorder import (
    CHECK_PAUSE_SECONDS,
    EVIDENCE_KEY,
    VERDICT_PREFIX,
    WRITE_PAUSE_SECONDS,
    CrashRecorder,
)
from lagoonpost.forwarding.crash_watch import CrashWatch
from lagoonpost.http.client import CallFailedError, Socket
from lagoonpost.http.message import Headers
from lagoonpost.platform.store import OWN_TABLE
from lagoonpost.systems.migration import MIN_PROMPT_TOKENS
from lagoonpost.systems.permit_issuer import Denied, Granted
from lagoonpost.systems.request_causes import find_causes
from lagoonpost.tables.crash import Crash, Soundness, Verdict
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost_standins.runner import RunnerStandin, make_event

CRASHES_BEFORE = 5
CONTACT_SECONDS = 3.0
"""Time after the fifth crash from which requests count as late."""
LATE_ALLOWED = 3
PLAY_SECONDS = 9.0
DOWN_SECONDS = 0.4
CRASHING, SOUND, OTHER = "f00d", "cafe", "beef"
_numbers = itertools.count(1)


class Played(NamedTuple):
    """What came of a play.

    Attributes:
        crashes: Number of crashes.
        late: Requests with the crashing part that reached runners too late.
        statuses: Answers to sound requests by status, at the end.
    """

    crashes: int
    late: int
    statuses: Counter[int]


def make_parts(*parts: str) -> Headers:
    """Return the headers of a prompt whose last part nobody else has."""
    own = f"{next(_numbers):x}ffff"
    words = ",".join(f"{part}:400" for part in (*parts, own))
    tokens = str(400 * (len(parts) + 1))
    return (
        ("model", "m"),
        ("token-count", f"{tokens},20"),
        ("prompt-prefix", words),
    )


def make_crash(stack: Stack, part: str) -> None:
    """Let a part crash all runners; they return as new incarnations."""
    born = itertools.count(2000)

    async def register(runner: RunnerStandin) -> None:
        await stack.register(runner.id, born=next(born))

    for id_, runner in stack.runners.items():
        if id_.startswith("chat"):
            runner.crash_part = part
            runner.down_seconds = DOWN_SECONDS
            runner.on_return = register


async def send_drafts(
    stack: Stack, parts: tuple[str, ...], pause: float, until: float
) -> Counter[int]:
    """Send drafts that are no two alike; return their answers by status."""
    calls = []
    while time.monotonic() < until:
        number = next(_numbers)
        calls.append(
            asyncio.create_task(
                stack.call(
                    f"/draft/{number}",
                    "POST",
                    b"%d" % number,
                    headers=make_parts(*parts),
                    gateway=number % len(stack.entries),
                )
            )
        )
        await asyncio.sleep(pause)
    answers = await asyncio.gather(*calls, return_exceptions=True)
    return Counter(getattr(each, "status", 0) for each in answers)


def count_late(stack: Stack) -> tuple[int, int]:
    """Return the crashes, and the requests that came too late after them."""
    crashes = sorted(
        at for runner in stack.runners.values() for at in runner.crashes
    )
    if len(crashes) < CRASHES_BEFORE:
        return len(crashes), 0
    since = crashes[CRASHES_BEFORE - 1] + CONTACT_SECONDS
    late = sum(
        each.at > since
        and CRASHING in (each.request.header("prompt-prefix") or "")
        for runner in stack.runners.values()
        for each in runner.received
    )
    return len(crashes), late


FRAMING = pytest.mark.parametrize(
    "framed", [True, False], ids=["framed", "unframed"]
)


def set_endings(stack: Stack, framed: bool, *crashing: str) -> None:
    """Set how the runners' answers end, and which crash in the middle."""
    for id_, runner in stack.runners.items():
        runner.framed = framed
        runner.crash_midway = id_ in crashing
        runner.down_seconds = 60.0


class TestEndings:
    """Answers that end with their connection, whole and cut off."""

    @FRAMING
    def test_a_whole_answer_is_passed_on(self, framed):
        async def story(stack: Stack):
            set_endings(stack, framed)
            return await stack.call("/book/1", "POST", b"{}")

        answer = play(story)
        assert answer.status == 200
        assert answer.body == b"POST /book/1 {}"

    @FRAMING
    def test_a_whole_stream_is_passed_on(self, framed):
        async def story(stack: Stack):
            set_endings(stack, framed)
            return await stack.call(
                "/draft/1", "POST", headers=make_parts("a")
            )

        answer = play(story)
        assert answer.status == 200
        assert answer.body == make_stream("/draft/1")

    @FRAMING
    def test_a_check_cut_off_by_a_crash_is_answered_by_another(self, framed):
        """Guards against half a body that is passed on as a success."""

        async def story(stack: Stack):
            set_endings(stack, framed, "desk-1")
            return [await stack.call(f"/check/{n}") for n in range(6)]

        answers = play(story)
        assert {answer.status for answer in answers} == {200}
        assert [answer.body for answer in answers] == [
            b"GET /check/%d " % number for number in range(6)
        ]

    @FRAMING
    def test_a_booking_cut_off_by_a_crash_is_no_success(self, framed):
        """Guards against half a body that is passed on as a success."""

        async def story(stack: Stack):
            set_endings(stack, framed, "desk-1", "desk-2")
            answer = await stack.call("/book/1", "POST", b"{}")
            return answer.status

        assert play(story) == 502

    @FRAMING
    def test_a_stream_cut_off_by_a_crash_goes_on_elsewhere(self, framed):
        """Guards against a cut-off stream that is passed on as complete."""

        async def story(stack: Stack):
            set_endings(stack, framed, "chat-1")
            calls = [
                stack.call(f"/draft/{n}", "POST", headers=make_parts("a"))
                for n in range(8)
            ]
            answers = await asyncio.gather(*calls)
            return answers, len(stack.runners["chat-1"].crashes)

        answers, crashes = play(story)
        assert crashes
        for number, answer in enumerate(answers):
            assert answer.body == make_stream(f"/draft/{number}")

    @FRAMING
    def test_a_stream_cut_off_by_a_reclaim_goes_on_elsewhere(self, framed):
        """Guards against the end of a reclaimed host taken for a stream's."""

        async def story(stack: Stack):
            set_endings(stack, framed, "chat-1")
            for runner in stack.runners.values():
                runner.pause = 0.2
            calls = [
                asyncio.create_task(
                    stack.call(f"/draft/{n}", "POST", headers=make_parts("a"))
                )
                for n in range(8)
            ]
            await asyncio.sleep(0.1)
            await stack.register(
                "chat-1", state="draining", leaves_ms=500, seq=2
            )
            answers = await asyncio.gather(*calls)
            return answers, len(stack.runners["chat-1"].crashes)

        answers, crashes = play(story)
        assert crashes
        for number, answer in enumerate(answers):
            assert answer.body == make_stream(f"/draft/{number}")

    @FRAMING
    def test_a_stream_that_runs_once_is_broken_off(self, framed):
        """Guards against a cut-off stream that is passed on as complete."""

        async def story(stack: Stack):
            set_endings(stack, framed, "chat-1", "chat-2")
            with pytest.raises(CallFailedError):
                await stack.call("/reply/1", "POST", headers=make_parts("a"))

        play(story)

    @FRAMING
    def test_a_runner_that_leaves_may_end_with_its_answer(self, framed):
        """Guards against taking a planned end for a crash."""

        async def story(stack: Stack):
            set_endings(stack, framed)
            for runner in stack.runners.values():
                runner.pause = 0.3
            call = asyncio.create_task(stack.call("/book/1", "POST", b"{}"))
            await asyncio.sleep(0.1)
            for id_ in ("desk-1", "desk-2"):
                await stack.register(id_, state="draining")
                stack.runners[id_]._server._server.close()
            return (await call).body

        assert play(story) == b"POST /book/1 {}"

    @FRAMING
    def test_cut_off_answers_do_not_clear_what_crashes_runners(self, framed):
        """Guards against half an answer that counts as a sound run."""

        async def story(stack: Stack):
            set_endings(stack, framed, "desk-1", "desk-2")
            for runner in stack.runners.values():
                runner.down_seconds = 0.1
            for _ in range(4):
                await stack.call("/book/1", "POST")
                await asyncio.sleep(0.8)
            daemon = stack.gateways[0]
            return len(daemon._crashes.causes.list_evidence())

        assert play(story) >= 3


def make_stream(path: str, events: int = 5) -> bytes:
    return b"".join(make_event(path, n) for n in range(1, events + 1))


class TestForwarding:
    def test_requests_that_share_a_part_do_not_crash_runners_for_ever(self):
        """Guards against a part that crashes runners in ever new requests."""

        async def story(stack: Stack) -> Played:
            until = time.monotonic() + PLAY_SECONDS
            make_crash(stack, CRASHING)
            crashing = send_drafts(stack, (SOUND, CRASHING), 0.2, until)
            sound = send_drafts(stack, (SOUND, OTHER), 0.1, until - 1.0)
            await asyncio.gather(crashing, sound)
            crashes, late = count_late(stack)
            after = time.monotonic() + 0.5
            statuses = await send_drafts(stack, (SOUND, OTHER), 0.05, after)
            return Played(crashes, late, statuses)

        played = play(story, gateways=3, chat=6)
        assert played.crashes >= 1
        assert played.late <= LATE_ALLOWED
        assert set(played.statuses) == {200}


def convict(stack: Stack, path: str, body: bytes = b"") -> None:
    """Let all gateways know that a request crashes runners."""
    now = time.time()
    (cause,) = find_causes("pottery", path, body, ())
    for daemon in stack.gateways:
        daemon._crashes.merge(Verdict(cause, now, now))


def count_all_runs(stack: Stack) -> int:
    return sum(runner.runs.total() for runner in stack.runners.values())


class TestSenders:
    """Each of them asks again right before it sends."""

    def test_a_first_offer_is_refused_as_not_run(self):
        async def story(stack: Stack):
            convict(stack, "/book/1", b"{}")
            answer = await stack.call("/book/1", "POST", b"{}")
            other = await stack.call("/book/2", "POST", b"{}")
            return answer, other.status, count_all_runs(stack)

        answer, other, runs = play(story)
        assert answer.status == 503
        assert json.loads(answer.body)["execution"] == "not_run"
        assert float(answer.header("retry-after")) > 1.0
        assert (other, runs) == (200, 1)

    def test_a_retry_is_not_sent_after_the_verdict(self):
        """Guards against one more crash by the retry of a request."""

        async def story(stack: Stack):
            stack.set_fault("reset_after", "desk")
            for runner in stack.runners.values():
                runner.pause = 0.2
            call = asyncio.create_task(stack.call("/check/1"))
            await wait_until(lambda: count_all_runs(stack) == 1)
            convict(stack, "/check/1")
            return (await call).status, count_all_runs(stack)

        assert play(story) == (502, 1)

    def test_a_request_that_waits_is_not_sent_after_the_verdict(self):
        """Guards against requests that wait when the verdict comes."""

        async def story(stack: Stack):
            for id_ in ("desk-1", "desk-2"):
                stack.runners[id_].limit = 50.0
            await stack.call("/check/1")
            permits = stack.gateways[0]._forwarder.permits
            acquire = permits.acquire

            async def acquire_as_the_verdict_comes(
                endpoint: Endpoint, longest: float
            ) -> Granted | Denied:
                decision = await acquire(endpoint, longest)
                convict(stack, "/check/bad")
                return decision

            permits.acquire = acquire_as_the_verdict_comes
            before = count_all_runs(stack)
            answer = await stack.call("/check/bad")
            return answer.status, count_all_runs(stack) - before

        assert play(story) == (503, 0)

    def test_a_stream_is_not_resumed_after_the_verdict(self):
        """Guards against one more crash by the rest of a stream."""

        async def story(stack: Stack):
            stack.set_fault("break_off", "chat")
            for runner in stack.runners.values():
                runner.pause = 0.1
            headers = make_parts("a")
            call = asyncio.create_task(
                stack.call("/draft/1", "POST", headers=headers)
            )
            await wait_until(lambda: count_all_runs(stack) == 1)
            convict(stack, "/draft/1")
            await asyncio.gather(call, return_exceptions=True)
            return count_all_runs(stack)

        assert play(story) == 1

    def test_a_run_is_not_moved_after_the_verdict(self):
        """Guards against a run that crashes the runner to which it moves."""

        async def story(stack: Stack):
            for runner in stack.runners.values():
                runner.pause, runner.events = 0.05, 40
            headers = make_prompt(MIN_PROMPT_TOKENS)
            call = asyncio.create_task(
                stack.call("/draft/1", "POST", headers=headers)
            )
            await wait_until(lambda: count_all_runs(stack) == 1)
            now = time.time()
            causes = find_causes("pottery", "/draft/1", b"", ["aa", "bb"])
            stack.gateways[0]._crashes.merge(Verdict(causes[0], now, now))
            (busy,) = (id_ for id_, r in stack.runners.items() if r.runs)
            await stack.register(busy, state="draining")
            answer = await call
            received = [
                each.request.header("kv-from")
                for runner in stack.runners.values()
                for each in runner.received
            ]
            return answer, received

        answer, received = play(story)
        assert answer.body == make_stream("/draft/1", 40)
        assert received == [None]

    def test_a_request_over_a_tunnel_is_not_sent_after_the_verdict(self):
        """Guards against requests that go through another gateway."""

        async def story(stack: Stack):
            await wait_until(
                lambda: all(
                    daemon._peer_key.current for daemon in stack.gateways
                )
            )
            cut_path(stack, stack.gateways[0], "refuse")
            first = await stack.call("/check/1")
            before = count_all_runs(stack)
            paths = stack.gateways[0]._forwarder.paths
            connect = paths.connect

            async def connect_as_the_verdict_comes(*args: Any) -> Socket:
                socket = await connect(*args)
                convict(stack, "/check/2")
                return socket

            paths.connect = connect_as_the_verdict_comes
            second = await stack.call("/check/2")
            return first.status, second.status, count_all_runs(stack) - before

        assert play(story, gateways=2) == (200, 503, 0)


def has_verdict(stack: Stack) -> bool:
    """Return whether the store keeps a verdict."""
    keys = stack.store.list_keys(OWN_TABLE)
    return any(key.startswith(VERDICT_PREFIX) for key in keys)


class TestNews:
    def test_older_builds_can_read_what_carries_the_news(self):
        """Guards against older gateways that refuse whole gossip packets."""
        older = {"runner_leaving", "crash_seen", "poison_verdict", "endpoint"}

        async def story(stack: Stack):
            watch = stack.gateways[0]._crashes
            peers = stack.gateways[0]._cluster.peers
            publish, facts = peers.publish, []
            peers.publish = lambda fact: (facts.append(fact), publish(fact))
            now = time.time()
            crash = Crash("chat-1", "a-1", ("part:1",), now, now)
            for news in (
                crash,
                Soundness("part:2", now),
                Verdict("part:3", now, now),
            ):
                watch.publish(news)
            other = stack.gateways[1]._crashes.causes
            await wait_until(lambda: bool(other._verdicts))
            await wait_until(lambda: "part:2" in other._sound)
            await wait_until(lambda: crash in other._crashes.values())
            return {fact.kind for fact in facts}

        assert play(story, gateways=2) <= older


class TestRecords:
    def test_gateways_that_all_start_again_know_the_verdict(self):
        """Guards against more crashes after a kill of all gateways."""

        async def story(stack: Stack):
            convict(stack, "/book/1")
            await wait_until(lambda: has_verdict(stack))
            await asyncio.gather(*(each.abort() for each in stack.gateways))
            daemon = await stack.add_gateway()
            await wait_until(lambda: bool(daemon._crashes.causes._verdicts))
            answer = await stack.call("/book/1", "POST", gateway=-1)
            return answer.status, count_all_runs(stack)

        assert play(story, gateways=2) == (503, 0)

    def test_a_gateway_that_is_cut_off_reads_the_verdict(self):
        """Guards against gateways that reach the store but not their peers."""

        async def story() -> tuple[bool, bool]:
            store = MemoryStore()
            sound, cut_off = (CrashWatch(time.time) for _ in range(2))
            for watch in (sound, cut_off):
                watch.publish = lambda news: None
            recorders = [
                CrashRecorder(store, sound, lambda: True, lambda: 1.0),
                CrashRecorder(store, cut_off, lambda: False, lambda: 0.1),
            ]
            tasks = [
                asyncio.create_task(each.run(has_records=False))
                for each in recorders
            ]
            now = time.time()
            before = cut_off.causes.may_send(["part:1"], now)
            sound.merge(Verdict("part:1", now, now))
            await asyncio.sleep(CHECK_PAUSE_SECONDS + 1.0)
            after = cut_off.causes.may_send(["part:1"], now)
            for task in tasks:
                task.cancel()
            return before, after

        assert asyncio.run(story()) == (True, False)

    def test_gateways_that_are_cut_off_from_each_other_share_evidence(self):
        """Guards against a part of the evidence on each side of a cut."""

        async def story() -> list[int]:
            store = MemoryStore()
            watches = [CrashWatch(time.time) for _ in range(2)]
            tasks = []
            for number, watch in enumerate(watches):
                watch.publish = lambda news: None
                recorder = CrashRecorder(
                    store,
                    watch,
                    lambda is_writer=number == 0: is_writer,
                    lambda share=0.9 - 0.8 * number: share,
                )
                run = recorder.run(has_records=False)
                tasks.append(asyncio.create_task(run))
                now = time.time()
                watch.merge(
                    Crash(f"desk-{number}", "a", ("content:1",), now, now)
                )
            await asyncio.sleep(3 * CHECK_PAUSE_SECONDS)
            for task in tasks:
                task.cancel()
            return [len(each.causes.list_evidence()) for each in watches]

        assert asyncio.run(story()) == [2, 2]

    def test_a_gateway_that_becomes_a_writer_writes_what_is_known(self):
        """Guards against verdicts that are lost with those who write."""

        async def story() -> list[bool]:
            store, watch, writers = MemoryStore(), CrashWatch(time.time), set()
            watch.publish = lambda news: None
            recorder = CrashRecorder(
                store, watch, lambda: bool(writers), lambda: 1.0
            )
            task = asyncio.create_task(recorder.run(has_records=False))
            now = time.time()
            watch.merge(Verdict("part:1", now, now))
            kept = []
            for _ in range(2):
                await asyncio.sleep(2 * CHECK_PAUSE_SECONDS)
                kept.append(f"{VERDICT_PREFIX}part:1" in store.rows)
                writers.add("me")
            task.cancel()
            return kept

        assert asyncio.run(story()) == [False, True]

    def test_two_writers_do_not_undo_what_the_other_wrote(self):
        """Guards against writers that each know only some verdicts."""

        async def story() -> set[str]:
            store = MemoryStore()
            watches = [CrashWatch(time.time) for _ in range(2)]
            tasks = []
            for watch in watches:
                watch.publish = lambda news: None
                recorder = CrashRecorder(
                    store, watch, lambda: True, lambda: 1.0
                )
                run = recorder.run(has_records=False)
                tasks.append(asyncio.create_task(run))
            now = time.time()
            for number, watch in enumerate(watches):
                watch.merge(Verdict(f"part:{number}", now, now))
                crash = Crash(f"chat-{number}", "a", ("part:9",), now, now)
                watch.merge(crash)
            await asyncio.sleep(8 * WRITE_PAUSE_SECONDS)
            for task in tasks:
                task.cancel()
            kept = {key for key, row in store.rows.items() if row.value}
            return kept, len(store.rows[EVIDENCE_KEY].value)

        kept, crashes = asyncio.run(story())
        assert {f"{VERDICT_PREFIX}part:{n}" for n in range(2)} <= kept
        assert crashes == 2

    def test_a_lifted_verdict_leaves_the_store(self):
        """Guards against refusing a sound part after the next start."""

        async def story(stack: Stack):
            convict(stack, "/book/1")
            await wait_until(lambda: has_verdict(stack))
            (cause,) = find_causes("pottery", "/book/1", b"", ())
            sound = Soundness(cause, time.time())
            stack.gateways[0]._crashes.merge(sound)
            await wait_until(lambda: not has_verdict(stack))

        play(story)
