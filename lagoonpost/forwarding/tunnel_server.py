"""Opens connections to runners for gateways that do not reach them.

Only connections are opened here. What is sent on them was admitted, counted
and placed by the gateway that asked, and a failure to connect is reported
before it has sent anything. A connection leads to a runner that this gateway
knows, never to another gateway, so there is no second hop and no loop.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import Literal, NamedTuple

import h11

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.notice_reader import NoticeReader
from lagoonpost.forwarding.peer_key import PeerKey
from lagoonpost.http.client import CallFailedError, Client, Socket
from lagoonpost.http.listener import (
    ACCEPTED_AT_ONCE,
    BACKLOG,
    open_listener,
)
from lagoonpost.http.message import Address, find_header
from lagoonpost.http.tunnel import (
    READ_BYTES,
    TunnelRequest,
    read_tunnel_request,
    relay_tunnel,
    send_tunnel_answer,
    set_keepalive,
)
from lagoonpost.systems.reach import Reach
from lagoonpost.tables.endpoint import Endpoint

TunnelPurpose = Literal["requests", "control"]
"""What a connection is for: requests, which a leaving runner must not get, or
calls that move its runs elsewhere."""

KEY_HEADER = "peer-key"
PURPOSE_HEADER = "purpose"
REQUEST_HEADER = "request"
"""Id of the request that is to be sent."""
MAX_ID_BYTES = 1024
"""Longest id that is passed on, so that it fits beside the other headers."""
CONNECT_TIMEOUT_SECONDS = 0.3
"""Connect timeout: 50 round trips between the failure domains of one region.
A runner that disappears without a reset delays the request by as much."""
MAX_TUNNELS = 256
"""Most open tunnels on any host: 512 descriptors, and 25 MB if no receiver
reads."""

OPENED = 200
DENIED = 403
NOT_SERVED = 404
RUNNER_UNREACHABLE = 502
GATEWAY_UNABLE = 503


class _Opened(NamedTuple):
    """A connection to a runner."""

    endpoint: Endpoint
    socket: Socket


class TunnelServer:
    """Listens for other gateways' requests for tunnels.

    Args:
        client: Opens connections to runners.
        view: Local view of the configuration and the runners.
        reach: What this gateway knows of its paths to the runners.
        key: Key that other gateways have to show.
        is_rolled_back: Whether a runner has a version that was rolled back.
        notices: Reads what runners say of themselves in answers.
        max_tunnels: Limit for open tunnels of this process, and for
            connections that have not asked for one yet.
    """

    def __init__(
        self,
        client: Client,
        view: ClusterState,
        reach: Reach,
        key: PeerKey,
        is_rolled_back: Callable[[Endpoint], bool],
        notices: NoticeReader,
        max_tunnels: int = MAX_TUNNELS,
    ) -> None:
        self._limit = min(max_tunnels, MAX_TUNNELS)
        self._client = client
        self._view = view
        self._reach = reach
        self._key = key
        self._is_rolled_back = is_rolled_back
        self._notices = notices
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.Task[None]] = set()
        self._asking: OrderedDict[asyncio.StreamWriter, None] = OrderedDict()
        self._accepted: set[asyncio.Task[None]] = set()
        self._leaving = False

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        listener = open_listener(address)
        self._server = await asyncio.start_server(
            self._serve,
            sock=listener,
            limit=READ_BYTES,
            backlog=ACCEPTED_AT_ONCE,
        )
        # The server has set the backlog to what it accepts at once.
        listener.listen(BACKLOG)

    def leave(self) -> None:
        """Open no more tunnels."""
        self._leaving = True

    async def drain(self, seconds: float) -> None:
        """Wait until no tunnel is open, for a limited time."""
        if self._accepted:
            await asyncio.wait(self._accepted, timeout=max(0.0, seconds))

    async def close(self) -> None:
        """Stop listening and close all tunnels."""
        if self._server is not None:
            self._server.close()
        for task in self._open:
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        try:
            await self._handle(Socket(reader, writer))
        except (OSError, h11.ProtocolError):
            writer.transport.abort()
        except asyncio.CancelledError:
            # The stream's callback would log a cancelled task as an error.
            writer.transport.abort()
        finally:
            self._open.discard(task)
            self._accepted.discard(task)

    async def _handle(self, near: Socket) -> None:
        set_keepalive(near.writer)
        connection = h11.Connection(h11.SERVER)
        # Anyone can connect and ask for nothing; a gateway asks at once.
        self._asking[near.writer] = None
        if len(self._asking) > self._limit:
            oldest, _ = self._asking.popitem(last=False)
            oldest.transport.abort()
        try:
            request = await read_tunnel_request(connection, near.reader)
        finally:
            self._asking.pop(near.writer, None)
        if request is None:
            near.writer.transport.abort()
            return
        result = await self._connect(request)
        if isinstance(result, int):
            await send_tunnel_answer(connection, near.writer, result)
            near.writer.close()
            return
        try:
            await send_tunnel_answer(connection, near.writer, OPENED)
            request_id = find_header(request.headers, REQUEST_HEADER) or ""
            # To the runner, this gateway is the one that it answers.
            await relay_tunnel(
                near,
                result.socket,
                lambda status, headers: self._notices.note_passing_head(
                    result.endpoint, status, headers, request_id
                ),
            )
        finally:
            result.socket.writer.transport.abort()

    async def _connect(self, request: TunnelRequest) -> "_Opened | int":
        """Connect to the runner, or return the status of the refusal."""
        if not self._key.accepts(
            find_header(request.headers, KEY_HEADER) or ""
        ):
            return DENIED
        # Only what has shown the key counts: anyone can open connections.
        if self._leaving or len(self._accepted) >= self._limit:
            return GATEWAY_UNABLE
        if self._reach.partitioned:
            return GATEWAY_UNABLE
        task = asyncio.current_task()
        assert task is not None
        self._accepted.add(task)
        is_new_work = find_header(request.headers, PURPOSE_HEADER) != "control"
        endpoint = self._find_runner(request.target, is_new_work)
        if endpoint is None:
            return NOT_SERVED
        now = asyncio.get_running_loop().time
        if self._reach.is_unreached(endpoint.id, now()):
            return RUNNER_UNREACHABLE
        try:
            socket = await self._client.connect(
                endpoint.address, CONNECT_TIMEOUT_SECONDS
            )
        except CallFailedError:
            self._reach.note_direct(endpoint.id, False, now())
            return RUNNER_UNREACHABLE
        self._reach.note_direct(endpoint.id, True, now())
        # The runner may have begun to leave while it was connected.
        if self._find_runner(request.target, is_new_work) != endpoint:
            socket.writer.transport.abort()
            return NOT_SERVED
        return _Opened(endpoint, socket)

    def _find_runner(self, runner: str, is_new_work: bool) -> Endpoint | None:
        entry = self._view.entries.get(runner)
        endpoint = entry.endpoint if entry is not None else None
        if endpoint is None or not is_new_work:
            return endpoint
        if not self._view.may_send(endpoint):
            return None
        return None if self._is_rolled_back(endpoint) else endpoint
