"""Tests of the decoder of chunked bodies."""

import asyncio
from itertools import pairwise

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonpost.http.chunks import ChunkDecoder, ChunkError
from lagoonpost.http.decoding_limiter import (
    MAX_MEMBERS,
    STALL_SECONDS,
    DecodingLimiter,
)

MAX_LINE = 100
LIMIT = 10_000
HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
PARTS = st.lists(st.binary(min_size=1, max_size=40), max_size=10)
EXTENSIONS = st.sampled_from([b"", b";a", b"; a=b", b" "])
TRAILERS = st.sampled_from([b"", b"x: y\r\n", b"x:\r\nz: 1\r\n"])


def frame(parts: list[bytes], extension: bytes, trailers: bytes) -> bytes:
    chunks = [b"%X%b\r\n%b\r\n" % (len(p), extension, p) for p in parts]
    return b"".join(chunks) + b"0\r\n" + trailers + b"\r\n"


def cut(data: bytes, cuts: list[int]) -> list[bytes]:
    ends = sorted(min(each, len(data)) for each in cuts)
    bounds = [0, *ends, len(data)]
    return [data[start:end] for start, end in pairwise(bounds) if start < end]


def decode(pieces: list[bytes]) -> ChunkDecoder:
    decoder = ChunkDecoder(MAX_LINE)
    for piece in pieces:
        decoder.feed(piece, LIMIT)
    return decoder


class TestBodies:
    @given(PARTS, EXTENSIONS, TRAILERS, st.lists(st.integers(0, 400)))
    def test_are_the_same_wherever_the_bytes_are_cut(
        self, parts, extension, trailers, cuts
    ):
        """Guards against content that is lost, or bytes of a next request."""
        data = frame(parts, extension, trailers)
        decoder = ChunkDecoder(MAX_LINE)
        rest = b""
        for piece in cut(data + b"GET /next", cuts):
            if decoder.finished:
                rest += piece
            else:
                decoder.feed(piece, LIMIT)
        assert decoder.finished
        assert decoder.body.join() == b"".join(parts)
        assert decoder.rest + rest == b"GET /next"
        assert decoder.framing == len(data) - decoder.body.size

    @given(PARTS, EXTENSIONS, TRAILERS, st.integers(0, 400), st.binary())
    def test_nothing_is_accepted_that_h11_refuses(
        self, parts, extension, trailers, at, noise
    ):
        """Guards against a body that another parser reads in another way."""
        data = frame(parts, extension, trailers)
        at = min(at, len(data))
        data = data[:at] + noise + data[at:]
        decoder = ChunkDecoder(MAX_LINE)
        try:
            decoder.feed(data, LIMIT)
        except ChunkError:
            return
        if not decoder.finished:
            return
        connection = h11.Connection(h11.SERVER)
        connection.receive_data(HEAD + data)
        body = bytearray()
        while not isinstance(
            event := connection.next_event(), h11.EndOfMessage
        ):
            if isinstance(event, h11.Data):
                body += event.data
        assert body == decoder.body.join()
        assert connection.trailing_data[0] == decoder.rest


class TestFaults:
    @pytest.mark.parametrize(
        "data",
        [
            b"\r\n",
            b"x\r\n",
            b"-1\r\n",
            b"+1\r\na\r\n",
            b"0x1\r\na\r\n",
            b"1\na\r\n",
            b"1\r\nab\r\n",
            b"1\r\na\n",
            b"11111111111111111\r\n",
            b"1;\x00\r\na\r\n",
            b"0\r\nx\r\n\r\n",
            b"0\r\n x: y\r\n\r\n",
        ],
    )
    def test_are_refused(self, data):
        """Guards against requests hidden in the framing of another one."""
        with pytest.raises(ChunkError):
            decode([data + b"GET / HTTP/1.1\r\n\r\n"])

    @pytest.mark.parametrize("start", [b"1;", b"0\r\nx: "])
    def test_lines_without_end_are_bounded(self, start):
        """Guards against framing that grows until memory is full."""
        decoder = decode([start])
        with pytest.raises(ChunkError) as error:
            for _ in range(2 * MAX_LINE):
                decoder.feed(b"e", LIMIT)
        assert error.value.too_long

    def test_trailers_without_end_are_bounded(self):
        with pytest.raises(ChunkError) as error:
            decode([b"0\r\n", *[b"x: y\r\n"] * MAX_LINE])
        assert error.value.too_long

    def test_decoding_stops_beyond_the_limit(self):
        """Guards against decoding all that has arrived of a body too large."""
        decoder = ChunkDecoder(MAX_LINE)
        decoder.feed(b"1\r\na\r\n" * 1000, 10)
        assert decoder.body.size == 11


class TestLane:
    def test_a_body_that_waits_for_its_client_loses_its_place(self):
        """Guards against stalled bodies that keep all others out."""
        limiter = DecodingLimiter()
        for number in range(MAX_MEMBERS):
            assert limiter.join(number, 0.0)
        assert not limiter.join("next", 2 * STALL_SECONDS)
        limiter.wait(1, 0.0)
        limiter.wait(2, 2 * STALL_SECONDS)
        assert limiter.join("next", 2 * STALL_SECONDS)
        assert not limiter.join(1, 2 * STALL_SECONDS)
        assert limiter.join(2, 9 * STALL_SECONDS)

    def test_bodies_take_turns(self):
        """Guards against one body that is decoded without a pause."""
        turns: list[str] = []

        async def decode(limiter: DecodingLimiter, name: str) -> None:
            for _ in range(3):
                await limiter.run(lambda: turns.append(name))

        async def scenario() -> None:
            limiter = DecodingLimiter()
            await asyncio.gather(decode(limiter, "a"), decode(limiter, "b"))

        asyncio.run(scenario())
        assert turns == ["a", "b"] * 3
