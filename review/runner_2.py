"""A small runner that follows the users' pages.

It answers health checks, refuses requests that name another runner, writes
its entry to the store and runs each request as its case says.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from stack_2 import HEARTBEAT_SECONDS, Record, read_head

from lagoonpost.http.message import Address
from lagoonpost_standins.rows import RowStore


class Received(NamedTuple):
    """A request that a runner got.

    Attributes:
        path: Path and query.
        headers: Headers with names in lower case.
        at: Time of arrival in seconds.
    """

    path: str
    headers: dict[str, str]
    at: float


Answering = Callable[[Received, asyncio.StreamWriter], Awaitable[None]]


class Runner:
    """A runner in this process, which ends as a process of its own would.

    Args:
        id_: Id of the runner.
        service: Its service.
        store: Store that has its entry.
        record: Record of the case.
        answer: Answers a request.

    Attributes:
        state: State in its entry.
        born: Start of its process in ms since the epoch.
        received: Requests that it got and that named it, in order.
        registered: Address in its entry; None for its own.
        address: Address on which it listens.
    """

    def __init__(
        self,
        id_: str,
        service: str,
        store: RowStore,
        record: Record,
        answer: Answering,
        zone: str = "zone-a",
        slots: int = 8,
    ) -> None:
        self.id = id_
        self.state = "ready"
        self.born = 0
        self.received: list[Received] = []
        self.answer = answer
        self._service = service
        self._store = store
        self._record = record
        self._zone = zone
        self._slots = slots
        self._seq = 0
        self.registered: Address | None = None
        self.address = Address("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._heartbeat: asyncio.Task[None] | None = None

    async def start(self, entry_after: float = 0.0) -> None:
        """Start the process; its entry is written after some seconds."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        host, port = self._server.sockets[0].getsockname()
        self.address = Address(host, port)
        self.born = int(time.time() * 1000)
        self._seq = 0
        self._record.note("runner starts", runner=self.id, born=self.born)
        self._heartbeat = asyncio.create_task(
            self._start_heartbeats(entry_after)
        )

    async def register(self) -> None:
        """Write the entry."""
        self._seq += 1
        entry = {
            "service": self._service,
            "address": str(self.registered or self.address),
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._seq,
            "born": self.born,
        }
        await self._store.put("servers", self.id, entry)
        if self._seq == 1 or self.state != "ready":
            self._record.note(
                "runner's entry is accepted",
                runner=self.id,
                state=self.state,
                born=self.born,
            )

    async def renew(self) -> None:
        """Write the entry at each heartbeat, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            await self.register()

    async def _start_heartbeats(self, pause: float) -> None:
        await asyncio.sleep(pause)
        await self.register()
        await self.renew()

    @property
    def running(self) -> bool:
        """Whether the process runs."""
        return self._server is not None and self._server.is_serving()

    def end(self) -> None:
        """End the process; the kernel closes all its connections."""
        if self._heartbeat is not None:
            self._heartbeat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.close()
        self._record.note("runner ends", runner=self.id)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            first, headers = await read_head(reader)
            path = first.split()[1]
            await reader.readexactly(int(headers.get("content-length", 0)))
            request = Received(path, headers, time.monotonic())
            if headers.get("target-instance") not in (None, self.id):
                respond(writer, 421, {"Instance-Id": self.id})
            elif path == "/health":
                status = 200 if self.state == "ready" else 503
                respond(writer, status, {"Instance-Id": self.id})
            elif path.startswith("/v1/"):
                respond(writer, 503, {})
            else:
                self.received.append(request)
                self._record.note(
                    "runner gets",
                    runner=self.id,
                    attempt=headers.get("attempt-id"),
                    path=path,
                )
                await self.answer(request, writer)
            await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()


def respond(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes = b"",
) -> None:
    """Write a whole answer with a length."""
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)
