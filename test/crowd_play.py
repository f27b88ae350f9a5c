"""Crowds of clients that don't behave, against a gateway's own process.

A crowd's members connect, send what their kind of member sends, hold the
connection open, and come again when it is closed. The stand-ins and the crowd
run in this process; only the gateway under test is a process of its own.
"""

import asyncio
import socket
import struct
import threading
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
    suppress,
)
from pathlib import Path
from typing import NamedTuple, Protocol

import h2.connection
import h2.exceptions
import psutil

from bench.system import LocalSystem, Process, find_port, find_port_pair
from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import Address, Response
from lagoonpost.http.server import Server
from lagoonpost_standins.cloud_api import CloudStandin
from lagoonpost_standins.deployment import (
    HOST,
    KEY,
    GatewayAddresses,
    make_caller_headers,
    make_configuration,
    make_entry,
    make_settings,
)
from lagoonpost_standins.rows import RowStore
from lagoonpost_standins.runner import RunnerStandin

LEGAL_BYTES = 1024 * 1024
"""Largest body that the gateway's configuration allows."""
MEMORY_MB = 96
"""Memory of the gateway's host, in units of 1,000,000 bytes."""
MAX_FDS = 420
"""Descriptors of the gateway's process."""
MEMBERS = 64
"""Members of a crowd that sends bodies."""
MANY_MEMBERS = 600
"""Members of a crowd that opens connections, more than ``MAX_FDS``."""
CROWD_SECONDS = 4.0
"""Shortest stay of a crowd; it stays until an ordinary caller is served."""
RETURN_SECONDS = 0.05
"""Pause before a member whose connection was closed comes again."""
SAMPLE_SECONDS = 0.02
ANSWER_SECONDS = 60.0
"""Time after which a gateway that answers nobody counts as hung."""
PIECE_BYTES = 16 * 1024
PIECE_SECONDS = 0.01
RUNNER_PAUSE_SECONDS = 0.5
_LISTENING, _RX_FIELD = "0A", 4

Pieces = Callable[[], Iterator[bytes]]


class Visitor(Protocol):
    """A kind of member of a crowd."""

    async def visit(self, address: Address) -> None:
        """Connect once, and return when the connection has ended."""


class Member(NamedTuple):
    """A member that sends bytes and then holds its connection open.

    Attributes:
        head: First bytes of the connection.
        pieces: Returns the bytes that follow; they may never end.
        pause: Seconds between two pieces.
        reads: Whether the member reads what it is sent.
    """

    head: bytes = b""
    pieces: Pieces = lambda: iter(())
    pause: float = 0.0
    reads: bool = True

    async def visit(self, address: Address) -> None:
        """Connect once, and return when the gateway closes the connection."""
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, address)
            sending = asyncio.create_task(self._send(sock))
            try:
                while self.reads:
                    if not await loop.sock_recv(sock, 65536):
                        return
                await sending
            finally:
                sending.cancel()
                # The socket must stay open while a task waits for it.
                await asyncio.gather(sending, return_exceptions=True)

    async def _send(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, self.head)
        for piece in self.pieces():
            await loop.sock_sendall(sock, piece)
            await asyncio.sleep(self.pause)
        await asyncio.Event().wait()


class PeerMember(NamedTuple):
    """A member that sends one gRPC message which does not end."""

    async def visit(self, address: Address) -> None:
        """Connect once, and return when the gateway closes the connection."""
        reader, writer = await asyncio.open_connection(*address)
        connection = h2.connection.H2Connection()
        connection.initiate_connection()
        connection.send_headers(
            1,
            (
                (":method", "POST"),
                (":path", "/lagoonpost.Peer/Gossip"),
                (":scheme", "http"),
                (":authority", str(address)),
                ("content-type", "application/grpc+msgpack"),
                ("te", "trailers"),
            ),
        )
        message = struct.pack("!?I", False, 1024 * LEGAL_BYTES)
        try:
            while True:
                while size := min(
                    connection.local_flow_control_window(1),
                    connection.max_outbound_frame_size,
                ):
                    connection.send_data(1, message.ljust(size, b"a"))
                    message = b""
                writer.write(connection.data_to_send())
                await writer.drain()
                data = await reader.read(65536)
                if not data:
                    return
                connection.receive_data(data)
        except h2.exceptions.H2Error as error:
            raise ConnectionError from error
        finally:
            writer.transport.abort()


class Crowd(NamedTuple):
    """Members that come at the same time; equal shares of each kind."""

    members: tuple[Visitor, ...]
    count: int = MEMBERS


def make_head(
    framing: str, path: str = "/book/1", host: str = HOST, key: str = KEY
) -> bytes:
    """Return the head of a request with a body."""
    return (
        f"POST {path} HTTP/1.1\r\nhost: {host}\r\nattempt-id: crowd\r\n"
        f"deadline-ms: 5000\r\nauthorization: Bearer {key}\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


CHUNKED = "transfer-encoding: chunked"


def _make_length(size: int) -> str:
    return f"content-length: {size}"


def send_once(data: bytes) -> Pieces:
    """Return a function that yields ``data`` in one piece."""
    return lambda: iter((data,))


def send_slowly(data: bytes) -> Pieces:
    """Return a function that yields ``data`` piece by piece."""
    starts = range(0, len(data), PIECE_BYTES)
    return lambda: (data[i : i + PIECE_BYTES] for i in starts)


def repeat(data: bytes) -> Pieces:
    """Return a function that yields ``data`` without end."""

    def generate() -> Iterator[bytes]:
        while True:
            yield data

    return generate


def frame_chunk(data: bytes) -> bytes:
    """Return one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def make_members(
    path: str = "/book/1", key: str = KEY, host: str = HOST
) -> dict[str, Member]:
    """Return the kinds of members that send requests, by name."""
    body = b"a" * LEGAL_BYTES

    def head(framing: str) -> bytes:
        return make_head(framing, path, host, key)

    announced = head(_make_length(LEGAL_BYTES))
    chunked = head(CHUNKED)
    far = 1024 * LEGAL_BYTES
    block = b"a" * (4 * PIECE_BYTES)
    return {
        "length": Member(announced, send_once(body[:-1])),
        "length by pieces": Member(
            announced, send_slowly(body[:-1]), PIECE_SECONDS
        ),
        "large chunk": Member(chunked, send_once(frame_chunk(body)[:-2])),
        "small chunks": Member(chunked, repeat(b"1\r\na\r\n" * 10000)),
        "few small chunks": Member(chunked, send_once(b"1\r\na\r\n" * 50000)),
        "extensions": Member(
            chunked, repeat(b"1;" + b"e" * 8000 + b"\r\na\r\n")
        ),
        "complete": Member(announced, send_once(body)),
        "complete in chunks": Member(
            chunked, send_once(frame_chunk(body) + b"0\r\n\r\n")
        ),
        "announced beyond": Member(head(_make_length(far)), repeat(block)),
        "sent beyond": Member(chunked, repeat(frame_chunk(block))),
        "head": Member(chunked[:-2] + b"x: " + b"h" * 8000),
        "head by bytes": Member(b"", lambda: _split(chunked), 0.5),
        "pipelined": Member(b"", repeat(announced + body)),
        "pipelined unread": Member(
            b"", repeat(announced + body), 0.0, reads=False
        ),
        "trailers": Member(
            chunked + frame_chunk(body) + b"0\r\n",
            repeat(b"x: " + b"t" * 1000 + b"\r\n"),
        ),
        "unread": Member(
            head(_make_length(LEGAL_BYTES)).replace(b"/book/", b"/check/"),
            send_once(body),
            reads=False,
        ),
        "expects": Member(
            head(_make_length(LEGAL_BYTES) + "\r\nexpect: 100-continue"),
            send_once(body[:-1]),
        ),
        "body begun": Member(announced, send_once(b"a")),
        "silent": Member(),
    }


def _split(data: bytes) -> Iterator[bytes]:
    return (data[i : i + 1] for i in range(len(data)))


def make_crowd(*names: str, count: int = MEMBERS, **options: str) -> Crowd:
    """Return a crowd of members of the named kinds."""
    members = make_members(**options)
    return Crowd(tuple(members[name] for name in names), count)


async def attend(address: Address, member: Visitor) -> None:
    """Connect as a member, and come again whenever that has ended."""
    while True:
        with suppress(OSError):
            await member.visit(address)
        await asyncio.sleep(RETURN_SECONDS)


@asynccontextmanager
async def gather_crowd(address: Address, crowd: Crowd) -> AsyncIterator[None]:
    """Let a crowd come to an address and stay while the body runs."""
    kinds = crowd.members
    tasks = [
        asyncio.create_task(attend(address, kinds[number % len(kinds)]))
        for number in range(crowd.count)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def count_unread(ports: frozenset[int]) -> int:
    """Return the bytes received at local ports and not read by a process."""
    unread = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        port = int(fields[1].partition(":")[2], 16)
        if port in ports and fields[3] != _LISTENING:
            unread += int(fields[_RX_FIELD].partition(":")[2], 16)
    return unread


class Watch:
    """Samples what a process holds, in a thread.

    Args:
        pid: The process.
        ports: Ports at which it listens.

    Attributes:
        memory: Largest resident memory together with unread bytes, in bytes.
        unread: Largest number of unread bytes.
        descriptors: Largest number of open descriptors.
        ended: Whether the process has ended.
    """

    def __init__(self, pid: int, ports: frozenset[int]) -> None:
        self._process = psutil.Process(pid)
        self._ports = ports
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.memory = 0
        self.unread = 0
        self.descriptors = 0
        self.ended = False

    def __enter__(self) -> "Watch":
        self._thread.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stop.wait(SAMPLE_SECONDS):
            try:
                self._sample()
            except psutil.Error:
                self.ended = True
                return

    def _sample(self) -> None:
        unread = count_unread(self._ports)
        held = self._process.memory_info().rss + unread
        self.memory = max(self.memory, held, self._read_peak())
        self.unread = max(self.unread, unread)
        self.descriptors = max(self.descriptors, self._process.num_fds())
        self.ended = self._process.status() == psutil.STATUS_ZOMBIE

    def _read_peak(self) -> int:
        """Return the peak of the resident memory, in bytes."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
        return int(line.split()[1]) * 1024


class Target(NamedTuple):
    """A gateway under test.

    Attributes:
        process: Its process.
        doors: Addresses at which it listens, by name.
        ask: Sends it one ordinary request and returns the answer.
    """

    process: Process
    doors: Mapping[str, Address]
    ask: Callable[[], "asyncio.Future[Response] | asyncio.Task[Response]"]


class Play(NamedTuple):
    """What a crowd has shown of a gateway.

    Attributes:
        alive: Whether the process has lived on.
        memory: Its largest resident memory with unread bytes, in bytes.
        unread: Most unread bytes.
        descriptors: Most descriptors.
        beside: Status that an ordinary caller got at last while the crowd
            stayed; 0 if it got no answer.
        after: The same once the crowd had left.
    """

    alive: bool
    memory: int
    unread: int
    descriptors: int
    beside: int
    after: int


async def ask_until_answered(target: Target) -> int:
    """Ask as a patient caller, and return the last status; 0 for none."""
    status = 0
    with suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_SECONDS):
            while status != 200:
                with suppress(CallFailedError):
                    status = (await target.ask()).status
                await asyncio.sleep(0.2)
    return status


async def play_crowd(target: Target, door: str, crowd: Crowd) -> Play:
    """Let a crowd come to a door, and return what that has shown."""
    ports = frozenset(address.port for address in target.doors.values())
    with Watch(target.process.pid, ports) as watch:
        async with gather_crowd(target.doors[door], crowd):
            await asyncio.sleep(CROWD_SECONDS)
            beside = await ask_until_answered(target)
        after = await ask_until_answered(target)
    return Play(
        target.process.is_running() and not watch.ended,
        watch.memory,
        watch.unread,
        watch.descriptors,
        beside,
        after,
    )


@asynccontextmanager
async def run_forwarding_gateway(folder: Path) -> AsyncIterator[Target]:
    """Run a gateway on the platform with a store, a cloud and a runner."""
    async with AsyncExitStack() as stack:
        store, cloud = RowStore(), CloudStandin()
        runner = RunnerStandin("desk-1")
        runner.pause = RUNNER_PAUSE_SECONDS
        servers = Server(store.handle), Server(cloud.handle)
        addresses = []
        for server in servers:
            addresses.append(await server.start(Address("127.0.0.1", 0)))
            stack.push_async_callback(server.close, 0.0)
        await store.put(
            "servers",
            "desk-1",
            make_entry("desk", await runner.start(), "domain-a"),
        )
        stack.push_async_callback(runner.close)
        await store.put(
            "op",
            "config",
            make_configuration(
                limits={
                    "max_body_bytes": LEGAL_BYTES,
                    "max_header_bytes": 16384,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                }
            ),
        )
        ports = (find_port(), find_port(), find_port(), find_port_pair())
        own = GatewayAddresses(*(Address("127.0.0.1", port) for port in ports))
        metrics = Address("127.0.0.1", find_port())
        path = folder / "gateway.toml"
        path.write_text(
            make_settings(
                1,
                own,
                *addresses,
                limits={"memory_mb": MEMORY_MB, "max_fds": MAX_FDS},
            )
        )
        process = Process(
            "gateway-1",
            [
                "lagoonpost.serve",
                "--config",
                str(path),
                "--metrics-port",
                str(metrics.port),
            ],
            folder / "gateway.log",
        )
        process.start()
        stack.callback(process.stop)
        doors = {
            **own._asdict(),
            "tunnel": own.peer._replace(port=own.peer.port + 1),
            "metrics": metrics,
        }

        def ask() -> "asyncio.Task[Response]":
            return asyncio.ensure_future(
                Client().call(
                    own.entry,
                    "GET",
                    "/check/1",
                    b"",
                    make_caller_headers("ordinary", 5.0),
                    timeout=6.0,
                    fresh=True,
                )
            )

        target = Target(process, doors, ask)
        assert await ask_until_answered(target) == 200
        yield target


Gateway = Callable[[Path], AbstractAsyncContextManager[Target]]


@asynccontextmanager
async def run_product_gateway(folder: Path) -> AsyncIterator[Target]:
    """Run a gateway of the product's own interface, with its stand-ins."""
    system = LocalSystem(
        gateways=1,
        engines=1,
        services=1,
        environment={
            "LAGOONPOST_MEMORY_MB": str(MEMORY_MB),
            "LAGOONPOST_MAX_FDS": str(MAX_FDS),
        },
    )
    try:
        system.start()
        entry = system.addresses["gateway-1"]

        def ask() -> "asyncio.Task[Response]":
            return asyncio.ensure_future(
                Client().call(
                    entry,
                    "GET",
                    "/v1/services/booking/checks/1",
                    b"",
                    (("authorization", "Bearer demo-key"),),
                    timeout=6.0,
                    fresh=True,
                )
            )

        doors = {"entry": entry, "peer": system._peers["gateway-1"]}
        target = Target(system.processes["gateway-1"], doors, ask)
        assert await ask_until_answered(target) == 200
        yield target
    finally:
        system.stop()
