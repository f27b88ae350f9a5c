"""Fuzzes the HTTP interface of a gateway."""

import asyncio
import re
from collections.abc import Coroutine, Iterator
from threading import Thread
from typing import Any, TypeVar

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from stack import CHAT, Stack, make_chat
from test_gateway import send_raw

from lagoonpost.gateway.prompt import (
    ChatCall,
    InvalidCall,
    read_chat_call,
)

T = TypeVar("T")
VALID = make_chat("Market rules", 3, stream=True)
HEAD = (
    f"POST {CHAT} HTTP/1.1\r\nhost: x\r\n"
    "authorization: Bearer demo-key\r\n"
    f"content-length: {len(VALID)}\r\n\r\n"
).encode()
REQUEST = HEAD + VALID
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["model", "messages", "stream", "max_tokens", "x"]
            ),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)


class Running:
    """A stack in an event loop of its own, shared by all examples.

    The loop runs in a thread of its own. If it ran only during examples, a
    pause of seconds between two examples on a busy machine would look like a
    frozen host to the gateway, which would then refuse requests as stale.
    """

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.stack = Stack()
        self.run(self.stack.__aenter__())

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(work, self.loop).result()

    def send(self, data: bytes) -> bytes:
        entry = self.stack.entries[0]
        return self.run(send_raw(entry, data, end=True))

    def close(self) -> None:
        self.run(self.stack.__aexit__())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


@pytest.fixture(scope="module")
def running() -> Iterator[Running]:
    stack = Running()
    yield stack
    stack.close()


def check_answer(answer: bytes) -> None:
    """Check that the data is empty or complete HTTP without a server error.

    It may hold several responses: with a changed content length, the rest of
    the body is parsed as the next request.
    """
    while answer:
        assert answer.startswith(b"HTTP/1.1 ")
        status = int(answer.split(b" ", 2)[1])
        assert status == 200 or 400 <= status < 500, answer[:200]
        if status == 200:
            return
        head, _, answer = answer.partition(b"\r\n\r\n")
        length = int(re.findall(rb"content-length: (\d+)", head)[0])
        problem = msgspec.json.decode(answer[:length])
        assert problem["execution"] == "not_run"
        answer = answer[length:]


class TestEdge:
    @settings(max_examples=60)
    @given(data=st.binary(max_size=200))
    def test_survives_any_bytes(self, running: Running, data: bytes) -> None:
        check_answer(running.send(data))

    @settings(max_examples=60)
    @given(
        place=st.integers(min_value=0, max_value=len(REQUEST) - 1),
        byte=st.integers(min_value=0, max_value=255),
    )
    def test_survives_a_changed_byte(
        self, running: Running, place: int, byte: int
    ) -> None:
        changed = bytearray(REQUEST)
        changed[place] = byte
        check_answer(running.send(bytes(changed)))

    @settings(max_examples=30)
    @given(length=st.integers(min_value=0, max_value=len(REQUEST) - 1))
    def test_runs_nothing_of_a_request_that_is_cut_off(
        self, running: Running, length: int
    ) -> None:
        engines = running.stack.engines.values()
        before = sum(engine.counts.requests for engine in engines)
        answer = running.send(REQUEST[:length])
        assert not answer.startswith(b"HTTP/1.1 200")
        after = sum(engine.counts.requests for engine in engines)
        assert after == before

    @settings(max_examples=60)
    @given(value=JSON)
    def test_answers_any_json(self, running: Running, value: object) -> None:
        body = msgspec.json.encode(value)
        head = HEAD.replace(b"%d" % len(VALID), b"%d" % len(body))
        answer = running.send(head + body)
        assert answer.startswith(b"HTTP/1.1 ")
        check_answer(answer)

    def test_serves_after_all_that(self, running: Running) -> None:
        assert b"data: [DONE]" in running.send(REQUEST)


class TestReadChatCall:
    @given(st.binary(max_size=300))
    def test_never_raises_on_bytes(self, data: bytes) -> None:
        assert isinstance(read_chat_call(data), ChatCall | InvalidCall)

    @given(JSON)
    def test_never_raises_on_json(self, value: object) -> None:
        call = read_chat_call(msgspec.json.encode(value))
        assert isinstance(call, ChatCall | InvalidCall)
