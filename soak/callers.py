"""Load generator of the soak test: callers with persistent connections."""

import asyncio
import time
from collections import Counter
from random import Random

from lagoonpost.http.client import CallFailedError, Client, Stream
from lagoonpost.http.message import Address, Response
from lagoonpost_standins.deployment import make_caller_headers
from lagoonpost_standins.runner import make_event
from soak.record import CALL_KINDS, Attempt, CallKind, Probe
from soak.system import QUOTA_KEY, STREAM_EVENTS, SoakSystem

DEADLINE_SECONDS = {"book": 2.0, "check": 2.0, "draft": 4.0, "reply": 3.0}
EXTRA_WAIT_SECONDS = 2.0
"""Time that callers wait beyond their deadline, to observe late answers."""
PAUSE_SECONDS = 0.15
"""Mean pause of each caller between two attempts."""
PRESSING_CALLERS, PRESS_SECONDS = 3, 0.06
"""Callers of a workspace beyond its quota, and their mean pause."""
PROBE_INTERVAL_SECONDS = 0.25
"""Pause between probes of the configuration in force."""
_METHODS: dict[CallKind, str] = {
    "book": "POST",
    "check": "GET",
    "draft": "POST",
    "reply": "POST",
}


class Callers:
    """Sends attempts and probes until stopped.

    Attributes:
        attempts: Attempts, in the order in which they ended.
        probes: Probes of recent configurations, in order.
        pressed: Statuses of the answers to a workspace beyond its quota; 0
            for none.
    """

    def __init__(self, system: SoakSystem, rng: Random) -> None:
        self._system = system
        self._rng = rng
        self._number = 0
        self._stopping = False
        self.attempts: list[Attempt] = []
        self.probes: list[Probe] = []
        self.pressed: Counter[int] = Counter()

    async def run(self, callers: int) -> None:
        """Run this number of concurrent callers until `stop`."""
        async with asyncio.TaskGroup() as group:
            for _ in range(callers):
                group.create_task(self._call_repeatedly())
            group.create_task(self._probe_repeatedly())
            for _ in range(PRESSING_CALLERS):
                group.create_task(self._press_repeatedly())

    def stop(self) -> None:
        """Send no more attempts; `run` still waits for the open ones."""
        self._stopping = True

    async def _call_repeatedly(self) -> None:
        client = Client()
        while not self._stopping:
            kind = self._rng.choice(CALL_KINDS)
            gateway = self._rng.randrange(len(self._system.gateways))
            attempt = await self.call(client, kind, gateway)
            self.attempts.append(attempt)
            await asyncio.sleep(self._rng.expovariate(1 / PAUSE_SECONDS))
        client.close()

    async def _press_repeatedly(self) -> None:
        """Send checks of a workspace far beyond its quota."""
        client = Client()
        while not self._stopping:
            gateway = self._rng.randrange(len(self._system.gateways))
            self._number += 1
            headers = make_caller_headers(
                f"attempt-{self._number}", DEADLINE_SECONDS["check"], QUOTA_KEY
            )
            try:
                answer = await client.call(
                    self._system.entries[gateway],
                    "GET",
                    f"/check/{self._number}",
                    headers=headers,
                    timeout=DEADLINE_SECONDS["check"] + EXTRA_WAIT_SECONDS,
                )
                self.pressed[answer.status] += 1
            except (CallFailedError, TimeoutError):
                self.pressed[0] += 1
            await asyncio.sleep(self._rng.expovariate(1 / PRESS_SECONDS))
        client.close()

    async def call(
        self, client: Client, kind: CallKind, gateway: int
    ) -> Attempt:
        """Send one attempt to a gateway and return its outcome."""
        self._number += 1
        id_ = f"attempt-{self._number}"
        path = f"/{kind}/{self._number}"
        deadline = DEADLINE_SECONDS[kind]
        prompt = 200 if kind in ("draft", "reply") else 0
        sent = time.monotonic()
        unanswered = Attempt(
            id=id_,
            kind=kind,
            gateway=gateway,
            run=self._system.runs[gateway],
            sent=sent,
            ended=sent,
            status=0,
            whole=False,
            wrong="",
            due=sent + deadline,
        )
        try:
            async with asyncio.timeout(deadline + EXTRA_WAIT_SECONDS):
                stream = await client.open(
                    self._system.entries[gateway],
                    _METHODS[kind],
                    path,
                    b"{}" if _METHODS[kind] == "POST" else b"",
                    make_caller_headers(id_, deadline, prompt=prompt),
                )
                answer, whole = await _read(stream)
        except (CallFailedError, TimeoutError):
            return unanswered._replace(ended=time.monotonic())
        return unanswered._replace(
            ended=time.monotonic(),
            status=answer.status,
            whole=whole,
            wrong=_find_mismatch(answer, whole, id_, kind, path),
        )

    async def _probe_repeatedly(self) -> None:
        client = Client()
        while not self._stopping:
            for gateway in range(len(self._system.gateways)):
                for version in self._system.recent_versions():
                    await self._probe(client, gateway, version)
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        client.close()

    async def _probe(self, client: Client, gateway: int, version: int) -> None:
        run, at = self._system.runs[gateway], time.monotonic()
        status = await probe_route(
            client, self._system.entries[gateway], version
        )
        if status in (200, 404) and run == self._system.runs[gateway]:
            probe = Probe(gateway, run, at, version, status == 200)
            self.probes.append(probe)


async def probe_route(client: Client, entry: Address, version: int) -> int:
    """Return the status of the route that a version added; 0 on failure."""
    headers = make_caller_headers(f"probe-{time.monotonic_ns()}", 0.5)
    try:
        answer = await client.call(
            entry, "GET", f"/added-{version}/1", b"", headers, timeout=0.5
        )
    except CallFailedError:
        return 0
    return answer.status


async def _read(stream: Stream) -> tuple[Response, bool]:
    """Return the received part of an answer and whether it is complete."""
    body = b""
    try:
        await stream.receive_head()
        async for part in stream.parts():
            body += part
    except CallFailedError:
        return Response(stream.status, stream.headers, body), False
    finally:
        stream.close()
    return Response(stream.status, stream.headers, body), True


def _find_mismatch(
    answer: Response, whole: bool, id_: str, kind: CallKind, path: str
) -> str:
    if answer.status != 200:
        return ""
    signature = answer.header("response-signature") or ""
    if not signature.endswith(f"-{id_}"):
        return f"signature {signature!r}"
    if kind in ("draft", "reply"):
        expected = b"".join(
            make_event(path, number) for number in range(1, STREAM_EVENTS + 1)
        )
    else:
        body = "{}" if _METHODS[kind] == "POST" else ""
        expected = f"{_METHODS[kind]} {path} {body}".encode()
    if whole and answer.body != expected:
        return f"body {answer.body[:200]!r}"
    if not expected.startswith(answer.body):
        return f"beginning {answer.body[:200]!r}"
    return ""
