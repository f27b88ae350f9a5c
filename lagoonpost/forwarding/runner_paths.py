"""Opens connections to runners, directly or through other gateways."""

import asyncio
import math
import random
from collections.abc import (
    Awaitable,
    Callable,
    Coroutine,
    Iterable,
    Sequence,
)
from typing import Any, NamedTuple

import eliot

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.peer_key import PeerKey
from lagoonpost.forwarding.tunnel_server import (
    CONNECT_TIMEOUT_SECONDS,
    DENIED,
    GATEWAY_UNABLE,
    KEY_HEADER,
    MAX_ID_BYTES,
    PURPOSE_HEADER,
    REQUEST_HEADER,
    RUNNER_UNREACHABLE,
    TunnelPurpose,
)
from lagoonpost.http.client import CallFailedError, Client, Socket, Stream
from lagoonpost.http.message import Address, Headers, parse_address
from lagoonpost.http.running_time import limit_running_time
from lagoonpost.http.tunnel import (
    TunnelRefusedError,
    TunnelRequest,
    open_tunnel,
)
from lagoonpost.platform.endpoint import read_start
from lagoonpost.platform.headers import (
    REPORT_PATH,
    make_health_headers,
    read_health_head,
)
from lagoonpost.systems.answer_head import judge_health
from lagoonpost.systems.placement import Choice
from lagoonpost.systems.reach import (
    DIRECT_PATH,
    Path,
    PeerChoice,
    Reach,
)
from lagoonpost.tables.answer_end import RunnerState
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.peer import Member

END_OF_PROCESS_SECONDS = 0.1
"""Time in which the kernel has closed all connections of a killed process."""
HEALTH_CHECKS = 3
"""Health checks of one runner, if its connections end without an answer. A
process that is being killed ends them, and so does a runner that has too many
of them for a moment; a proxy does so for a runner that is gone."""
HEALTH_TIMEOUT_SECONDS = END_OF_PROCESS_SECONDS
"""Longest wait for the answer to a health check. The answer to a request waits
meanwhile, and the check waits for a slot."""
REPORT_TIMEOUT_SECONDS = 0.5
"""Longest wait for a runner's report, which needs no slot."""
MAX_REPORT_BYTES = 1024 * 1024
"""Longest report: a model runner has some hundred runs, of 100 bytes each."""
RESTART_SECONDS = 0.5
"""Least time after which a runner that crashed answers again: it is back after
some seconds, with its libraries loaded."""
NEWS_SECONDS = 1.5
"""Longest wait for news of another start: runners write their entries every
second or so."""
NEWS_PAUSE_SECONDS = 0.02
"""Pause between looks for them."""
ANSWER_TIMEOUT_SECONDS = CONNECT_TIMEOUT_SECONDS + 0.2
"""Longest wait for a peer's answer: it may need the whole connect timeout."""
MAX_SEARCH_SECONDS = 0.8
"""Time after which no further peer is asked for a connection: callers of
checks wait for one second in total."""
PROBE_PAUSE_SECONDS = 0.25
"""Pause between checks for direct paths that are to be probed."""
PEERS_CACHE_SECONDS = 0.25
"""How long the list of peers is kept: a tenth of the time in which the loss of
a gateway is noticed."""
MAX_CONTROL_BYTES = 4 * 1024 * 1024
"""Bytes kept of all unfinished answers to calls that move runs: each has a few
hundred."""
_UNABLE = frozenset((DENIED, GATEWAY_UNABLE))
"""Answers of a peer that can't open connections to any runner."""


class TunnelPeer(NamedTuple):
    """A gateway that may open connections for this one.

    Attributes:
        name: Name of the gateway.
        address: Address at which it listens for requests for tunnels.
    """

    name: str
    address: Address


def list_tunnel_peers(
    members: Sequence[Member], region: str
) -> list[TunnelPeer]:
    """Return the gateways of a region that may open connections.

    Requests of some routes must not leave their region, so gateways of
    others are not used. By convention, each gateway listens for requests for
    tunnels on the port after the one for its peers.
    """
    peers = []
    for member in members:
        if member.state == "alive" and member.region == region:
            host, port = parse_address(member.address)
            peers.append(TunnelPeer(member.name, Address(host, port + 1)))
    return peers


class RunnerPaths:
    """Opens connections to runners on the paths that work.

    Args:
        client: Opens direct connections, and those to peers.
        view: Local view of the configuration and the runners.
        reach: What this gateway knows of its paths to the runners.
        key: Key to show to other gateways.
        list_members: Returns the other gateways.
        region: Region of this gateway.
        on_down: Called with each runner that is found to be down.
        rng: Source of random choices.
    """

    def __init__(
        self,
        client: Client,
        view: ClusterState,
        reach: Reach,
        key: PeerKey,
        list_members: Callable[[], Sequence[Member]],
        region: str,
        on_down: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._client = client
        self._view = view
        self._reach = reach
        self._key = key
        self._list_members = list_members
        self._region = region
        self._peers: tuple[float, list[TunnelPeer]] = (-math.inf, [])
        self._on_down = on_down
        self._rng = rng
        self._peer_choice = PeerChoice()
        self._checks: dict[tuple[str, bool], asyncio.Task[None]] = {}
        self._logged_partition = False

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def find_all(self, runners: Iterable[str]) -> dict[str, Path]:
        """Return the path on which to send a request, for each runner."""
        if not self._reach.has_failures():
            return dict.fromkeys(runners, DIRECT_PATH)
        now = self._now()
        has_peers = self._has_peers(now)
        return {
            runner: self._reach.find_path(runner, has_peers, now)
            for runner in runners
        }

    def _has_peers(self, now: float) -> bool:
        if self._key.current is None:
            return False
        return self._peer_choice.has_any(self._list_peers(now), now)

    def _list_peers(self, now: float) -> list[TunnelPeer]:
        """Return the gateways to ask, as of a moment ago.

        While a path is lost, each request needs the list.
        """
        at, peers = self._peers
        if now >= at + PEERS_CACHE_SECONDS:
            peers = list_tunnel_peers(self._list_members(), self._region)
            self._peers = now, peers
        return peers

    async def connect(
        self,
        endpoint: Endpoint,
        indirect: bool,
        purpose: TunnelPurpose = "requests",
        request_id: str = "",
    ) -> Socket:
        """Open a connection to a runner.

        Args:
            endpoint: The runner.
            indirect: Whether to go through another gateway.
            purpose: What the connection is for.
            request_id: Id of the request that is to be sent, by which another
                gateway tells the answer to it; empty for none.

        Raises:
            CallFailedError: If it cannot be opened; nothing was sent.
        """
        if indirect:
            return await self._connect_through_peer(
                endpoint.id, purpose, request_id
            )
        try:
            socket = await self._client.connect(
                endpoint.address, CONNECT_TIMEOUT_SECONDS
            )
        except CallFailedError:
            self._reach.note_direct(endpoint.id, False, self._now())
            self._find_out_if_down(endpoint.id)
            raise
        self._reach.note_direct(endpoint.id, True, self._now())
        return socket

    async def connect_address(
        self, address: Address, seconds: float
    ) -> Socket:
        """Open a connection for a call that moves a run, by address.

        Raises:
            CallFailedError: If it cannot be opened; nothing was sent.
        """
        endpoint = self._view.find_by_address(address)
        if endpoint is not None:
            path = self.find_all([endpoint.id])[endpoint.id]
            return await self.connect(endpoint, path.indirect, "control")
        return await self._client.connect(address, seconds)

    async def _connect_through_peer(
        self, runner: str, purpose: TunnelPurpose, request_id: str = ""
    ) -> Socket:
        began = self._now()
        headers: Headers = (
            (KEY_HEADER, self._key.current or ""),
            (PURPOSE_HEADER, purpose),
        )
        if 0 < len(request_id) <= MAX_ID_BYTES:
            headers += ((REQUEST_HEADER, request_id),)
        request = TunnelRequest(runner, headers)
        peers = self._peer_choice.choose(
            self._list_peers(began), began, self._rng
        )
        found_down = False
        for peer in peers:
            if self._now() > began + MAX_SEARCH_SECONDS:
                break
            result = await self._ask_peer(peer, request)
            if isinstance(result, Socket):
                self._reach.note_indirect(runner, True, self._now())
                return result
            found_down |= result == RUNNER_UNREACHABLE
        self._reach.note_indirect(runner, False, self._now())
        if found_down:
            self._on_down(runner)
        detail = f"no gateway of {len(peers)} asked reaches runner {runner}"
        raise CallFailedError(detail, sent=False)

    async def _ask_peer(
        self, peer: TunnelPeer, request: TunnelRequest
    ) -> Socket | int:
        """Return a connection to the runner, or the status of a refusal."""
        result: Socket | int
        try:
            result = await open_tunnel(
                self._client,
                peer.address,
                request,
                CONNECT_TIMEOUT_SECONDS,
                ANSWER_TIMEOUT_SECONDS,
            )
        except CallFailedError:
            result = GATEWAY_UNABLE
        except TunnelRefusedError as error:
            result = error.status
        if result == DENIED:
            self._key.refresh()
        self._peer_choice.note(peer.name, result not in _UNABLE, self._now())
        return result

    async def find_state(
        self, choice: Choice, waited: float = 0.0, patience: float = 0.0
    ) -> RunnerState:
        """Return whether a runner lives on, or leaves as planned.

        For answers whose end does not show whether it is their runner's end as
        well. Takes two round trips, and longer if the runner gives no answer.

        A runner that crashes behind a cut may be back under its id before the
        end of its answer arrives. A model runner's report names its start;
        without one, news of another start are waited for.

        Args:
            choice: The runner.
            waited: Longest time until the next bytes of the answer, in
                seconds.
            patience: Longest wait for news, in seconds.
        """
        endpoint = choice.endpoint
        if endpoint.born and self._view.is_engine(endpoint.service):
            state = await self._repeat(choice, self._check_start)
            if state is not None:
                return state
        state = await self._repeat(choice, self._check_health)
        state = state or RunnerState.UNKNOWN
        if state is RunnerState.UP and waited >= RESTART_SECONDS:
            return await self._wait_for_news(endpoint, patience)
        return state

    async def _repeat(
        self,
        choice: Choice,
        check: Callable[[Socket, Endpoint], Awaitable[RunnerState | None]],
    ) -> RunnerState | None:
        """Check a runner until the result is not UNKNOWN, and return it."""
        for number in range(HEALTH_CHECKS):
            if number:
                await asyncio.sleep(END_OF_PROCESS_SECONDS)
            known = self._find_known(choice.endpoint)
            if known and _is_other_process(known, choice.endpoint):
                return RunnerState.DOWN
            try:
                socket = await self.connect(
                    choice.endpoint, choice.indirect, "control"
                )
            except CallFailedError:
                # One whose host is reclaimed is cut off at the time that its
                # entry names; others may end their answers as planned.
                if known and known.leaving and known.leaves_in_seconds is None:
                    return RunnerState.LEAVING
                return RunnerState.DOWN
            state = await check(socket, choice.endpoint)
            if state is not RunnerState.UNKNOWN:
                return state
        return RunnerState.DOWN

    def _find_known(self, endpoint: Endpoint) -> Endpoint | None:
        entry = self._view.entries.get(endpoint.id)
        return entry.endpoint if entry is not None else None

    async def _check_start(
        self, socket: Socket, endpoint: Endpoint
    ) -> RunnerState | None:
        """Return whether the process that answers is the one that is meant.

        Returns:
            UNKNOWN if there is no answer; None if it doesn't tell.
        """
        stream = self._send_check(socket, endpoint, REPORT_PATH)
        try:
            async with limit_running_time(REPORT_TIMEOUT_SECONDS):
                await stream.receive_head()
                report = await stream.read(MAX_REPORT_BYTES)
        except (TimeoutError, CallFailedError):
            return RunnerState.UNKNOWN
        finally:
            stream.close()
        head = read_health_head(report.status, report.headers)
        if judge_health(head, endpoint.id) is RunnerState.DOWN:
            return RunnerState.DOWN
        start = read_start(report.body) if report.status == 200 else 0
        if not start:
            return None
        return RunnerState.UP if start == endpoint.born else RunnerState.DOWN

    async def _check_health(
        self, socket: Socket, endpoint: Endpoint
    ) -> RunnerState:
        """Return whether a runner answers on a new connection.

        The kernel of a killed process accepts connections until it has closed
        its last one, and another process may listen at the address by then.

        Returns:
            UNKNOWN if the connection ended without an answer, or with one that
            doesn't name its sender.
        """
        path = self._view.find_health_path(endpoint.service)
        stream = self._send_check(socket, endpoint, path)
        try:
            async with limit_running_time(HEALTH_TIMEOUT_SECONDS):
                await stream.receive_head()
        except TimeoutError:
            # A check waits for a slot, like any other request. One that is
            # gone, or is cut off at a time that its entry names, has none.
            known = self._find_known(endpoint)
            is_expected = known and known.leaves_in_seconds is None
            return RunnerState.UP if is_expected else RunnerState.UNKNOWN
        except CallFailedError:
            return RunnerState.UNKNOWN
        finally:
            stream.close()
        head = read_health_head(stream.status, stream.headers)
        return judge_health(head, endpoint.id)

    def _send_check(
        self, socket: Socket, endpoint: Endpoint, path: str
    ) -> Stream:
        return self._client.send(
            socket,
            endpoint.address,
            "GET",
            path,
            headers=make_health_headers(endpoint.id),
            reusable=False,
        )

    async def _wait_for_news(
        self, endpoint: Endpoint, patience: float
    ) -> RunnerState:
        """Wait for an entry that names another start of a runner."""
        end = self._now() + min(patience, NEWS_SECONDS)
        while True:
            known = self._find_known(endpoint)
            if known and _is_other_process(known, endpoint):
                return RunnerState.DOWN
            if self._now() >= end:
                return RunnerState.UP
            await asyncio.sleep(NEWS_PAUSE_SECONDS)

    # Background checks of paths

    def check(self, choice: Choice) -> None:
        """Find out in the background whether a runner accepts connections.

        `on_down` is called if it does not.
        """
        endpoint = choice.endpoint
        if choice.indirect:
            self._start_indirect(endpoint.id)
        else:
            self._start_direct(endpoint)

    def _find_out_if_down(self, runner: str) -> None:
        """Find out whether a runner is down or only the path to it is cut.

        Peers are asked in the background. Without peers, and if they did not
        reach the runner either a moment ago, it counts as down.
        """
        now = self._now()
        if self._reach.is_proven(runner):
            return
        if self._reach.is_down(runner, now) or not self._has_peers(now):
            self._on_down(runner)
            return
        self._start_indirect(runner)

    async def _try_indirect(self, runner: str) -> None:
        try:
            socket = await self._connect_through_peer(runner, "control")
        except CallFailedError:
            return
        socket.writer.transport.abort()

    async def _try_direct(self, endpoint: Endpoint) -> None:
        try:
            socket = await self.connect(endpoint, indirect=False)
        except CallFailedError:
            return
        socket.writer.close()

    def _start_direct(self, endpoint: Endpoint) -> None:
        self._start((endpoint.id, False), lambda: self._try_direct(endpoint))

    def _start_indirect(self, runner: str) -> None:
        self._start((runner, True), lambda: self._try_indirect(runner))

    def _start(
        self,
        path: tuple[str, bool],
        check: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        """Start a check of a path unless one of that path is running.

        Args:
            path: Id of the runner, and whether it leads through a peer.
            check: Checks the path.
        """
        if path not in self._checks:
            task = asyncio.create_task(check())
            self._checks[path] = task
            task.add_done_callback(lambda _: self._checks.pop(path))

    async def run(self) -> None:
        """Probe direct paths that were lost, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_PAUSE_SECONDS)
            self._log_partition()
            if not self._reach.has_failures():
                continue
            known = {
                id_: entry.endpoint
                for id_, entry in self._view.entries.items()
                if entry.endpoint is not None
            }
            self._reach.forget_missing(known)
            for runner in self._reach.list_probes(
                list(known), self._now(), self._rng
            ):
                self._start_direct(known[runner])

    def _log_partition(self) -> None:
        partitioned = self._reach.partitioned
        if partitioned != self._logged_partition:
            self._logged_partition = partitioned
            eliot.log_message(
                message_type="lagoonpost:forwarding:partitioned",
                partitioned=partitioned,
            )


class RunnerClient(Client):
    """HTTP client whose connections take the paths to runners that work.

    Args:
        paths: Opens the connections.
    """

    def __init__(self, paths: RunnerPaths) -> None:
        super().__init__(max_buffered=MAX_CONTROL_BYTES)
        self._paths = paths

    async def connect(self, address: Address, seconds: float) -> Socket:
        """Open a connection to a runner, through a peer if necessary.

        Raises:
            CallFailedError: If it cannot be opened; nothing was sent.
        """
        return await self._paths.connect_address(address, seconds)


def _is_other_process(known: Endpoint, before: Endpoint) -> bool:
    """Return whether a runner was started again under its id."""
    return bool(known.born and before.born and known.born != before.born)
