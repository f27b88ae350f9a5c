"""Tests for plain services whose answers end with their connection."""

import asyncio
import socket
import struct
from typing import Any, Literal, NamedTuple

import msgspec
import pytest
from stack import LOOPBACK, Stack

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response, find_header
from lagoonpost.runners.kv import KvMover
from lagoonpost.runners.whole_answer import call_whole
from lagoonpost.systems.evacuation import PendingTransfer
from lagoonpost.tables.entity import Runner

End = Literal["whole", "killed", "reset", "left"]
"""How an answer without length or chunks ends: with its last byte, or in the
middle, as its process is killed, resets the connection, or leaves."""
CUT_ENDS: tuple[End, ...] = ("killed", "reset", "left")
BODY = b"an answer that nothing but its connection ends"
CHECK = "/v1/services/booking/checks/kiln"
BOOKING = "/v1/services/booking/bookings"
PATIENCE = 10.0
TOKENS = 10_000


class BareService:
    """A plain service whose answers have neither a length nor chunks.

    Attributes:
        end: How its answers end.
        calls: Number of requests.
    """

    def __init__(self, end: End) -> None:
        self.end = end
        self.calls = 0
        self.address = LOOPBACK
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, self.address.host, self.address.port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address(self.address.host, port)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        lines = head.decode().lower().split("\r\n")[1:-2]
        fields = tuple(tuple(line.split(": ", 1)) for line in lines)
        await reader.readexactly(
            int(find_header(fields, "content-length") or 0)  # type: ignore[arg-type]
        )
        self.calls += 1
        writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
        is_whole = self.end == "whole"
        writer.write(BODY if is_whole else BODY[: len(BODY) // 2])
        await writer.drain()
        await asyncio.sleep(0.05)
        if self.end in ("killed", "left"):
            self.close()
        if self.end == "reset":
            connection = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


class Played(NamedTuple):
    """What came of a call.

    Attributes:
        answers: What the caller got, one after the other.
        calls: Requests that each service got.
    """

    answers: list[Response]
    calls: list[int]


class _BareStack(Stack):
    def __init__(self, services: list[BareService]) -> None:
        super().__init__(engines=1)
        self._services = services

    def _declare(self) -> dict[str, Any]:
        declared = super()._declare()
        runners = declared["runners"]
        model = runners.pop("booking-1")
        for number, service in enumerate(self._services):
            name = f"bare-{number}"
            runners[name] = {
                **model,
                "endpoint": str(service.address),
                "host": f"host-{name}",
            }
        return declared


def play_calls(method: str, path: str, count: int, *ends: End) -> Played:
    """Call plain services through a gateway.

    Args:
        method: HTTP method.
        path: Path of the call.
        count: Number of calls, with the same idempotency key.
        *ends: How the answers of each service end.
    """

    async def run() -> Played:
        services = [BareService(end) for end in ends]
        for service in services:
            await service.start()
        async with _BareStack(services) as stack:
            key = (("idempotency-key", "k"),)
            answers = [await stack.call(method, path, b"{}", headers=key)]
            answers += await asyncio.gather(
                *(
                    stack.call(method, path, b"{}", headers=key)
                    for _ in range(count - 1)
                )
            )
        for service in services:
            service.close()
        return Played(answers, [service.calls for service in services])

    return asyncio.run(run())


class TestRepeatable:
    def test_a_whole_answer_is_passed_on(self):
        played = play_calls("GET", CHECK, 1, "whole")
        assert [a.status for a in played.answers] == [200]
        assert played.answers[0].body == BODY

    @pytest.mark.parametrize("end", CUT_ENDS)
    def test_a_cut_answer_is_asked_for_elsewhere(self, end):
        """Guards against a part of an answer that passes for the whole."""
        played = play_calls("GET", CHECK, 8, end, "whole")
        assert [a.status for a in played.answers] == [200] * 8
        assert {a.body for a in played.answers} == {BODY}
        assert played.calls[0]

    @pytest.mark.parametrize("end", CUT_ENDS)
    def test_a_cut_answer_alone_is_a_failure(self, end):
        """Guards against a part of an answer that passes for the whole."""
        played = play_calls("GET", CHECK, 1, end)
        assert played.answers[0].status >= 500
        assert BODY[:8] not in played.answers[0].body


class TestBookings:
    def test_a_whole_answer_is_kept(self):
        played = play_calls("POST", BOOKING, 2, "whole")
        assert [a.body for a in played.answers] == [BODY] * 2
        assert played.calls == [1]

    @pytest.mark.parametrize("end", CUT_ENDS)
    def test_a_cut_answer_is_not_kept_as_the_booking(self, end):
        """Guards against a part of an answer that the ledger keeps."""
        played = play_calls("POST", BOOKING, 2, end, end)
        assert [a.status for a in played.answers] == [502, 409]
        for answer in played.answers:
            problem = msgspec.json.decode(answer.body)
            assert problem["execution"] == "unknown"
        assert sum(played.calls) == 1


class TestCaches:
    @pytest.mark.parametrize(
        ("end", "moved"), [("whole", True), ("killed", False)]
    )
    def test_a_cut_export_is_not_imported(self, end, moved):
        """Guards against a part of a KV cache that is taken for the whole."""

        async def run() -> tuple[bool, int]:
            source = BareService(end)
            await source.start()
            imported: list[bytes] = []

            async def take(reader, writer):
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(
                    head.lower().split(b"content-length: ")[1].split()[0]
                )
                imported.append(await reader.readexactly(size))
                answer = b'{"tokens":1}'
                writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"
                    % (len(answer), answer)
                )
                writer.close()

            server = await asyncio.start_server(take, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            client = Client()

            def make(name: str, endpoint: str) -> Runner:
                return Runner(name, endpoint, "s", "v1", name, "d")

            deadline = asyncio.get_running_loop().time() + PATIENCE
            done = await KvMover(client).move(
                PendingTransfer("r", TOKENS, deadline),
                make("a", str(source.address)),
                make("b", f"127.0.0.1:{port}"),
            )
            client.close()
            server.close()
            source.close()
            return done, len(imported)

        assert asyncio.run(run()) == (moved, int(moved))


class TestUploads:
    def test_a_part_that_is_reset_behind_its_end_is_no_answer(self):
        """Guards against services that answer before they read a request."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            if not await reader.read(1000):
                writer.close()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")
            writer.write(BODY[: len(BODY) // 2])
            writer.write_eof()
            await asyncio.sleep(0.1)
            connection = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

        async def run() -> None:
            server = await asyncio.start_server(serve, LOOPBACK.host, 0)
            port = server.sockets[0].getsockname()[1]
            with pytest.raises(CallFailedError):
                await call_whole(
                    Client(),
                    Address(LOOPBACK.host, port),
                    "POST",
                    "/",
                    bytes(200_000),
                    repeatable=False,
                    timeout=PATIENCE,
                )
            server.close()

        asyncio.run(run())
