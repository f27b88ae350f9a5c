"""Reclaim notices: who leaves, and what that does to running answers."""

import asyncio
import time
from collections.abc import Callable

import eliot

from lagoonpost.gateway.state import Gateway
from lagoonpost.store.cloud import Notice, fetch_notices
from lagoonpost.store.store import Unavailable
from lagoonpost.systems.event import Leaving

# A leaving endpoint may get no new work after a few seconds, and the cloud
# gives only seconds of notice, so each one counts.
POLL_SECONDS = 0.5
# A notice that is past says nothing of a host that has its name again.
EXPIRED_NOTICE_SECONDS = 60.0


class NoticeWatch:
    """Polls the platform's notices and tells each one once.

    Args:
        gateway: The gateway whose runners it looks for.
        host: Host that this process runs on.
        on_runner: Called with a runner's name and its end in seconds since
            the epoch.
        on_self: Called with the end of this process's own host.
    """

    def __init__(
        self,
        gateway: Gateway,
        host: str,
        on_runner: Callable[[str, float], None],
        on_own_host: Callable[[float], None],
    ) -> None:
        self._gateway = gateway
        self._host = host
        self._on_runner = on_runner
        self._on_own_host = on_own_host
        self._seen: set[Notice] = set()
        self._notified: set[tuple[str, float]] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        platform = self._gateway.settings.platform
        while True:
            found = await fetch_notices(self._gateway.client, platform)
            if not isinstance(found, Unavailable):
                for notice in found:
                    self._handle_notice(notice)
            await asyncio.sleep(POLL_SECONDS)

    def _handle_notice(self, notice: Notice) -> None:
        left = notice.deadline - time.time()
        if left < -EXPIRED_NOTICE_SECONDS:
            return
        if notice not in self._seen:
            self._seen.add(notice)
            eliot.log_message(
                message_type="lagoonpost:gateway:notice",
                host=notice.host,
                seconds=round(left, 3),
            )
            if notice.host == self._host:
                self._on_own_host(notice.deadline)
        # At each poll: the declaration may name a runner of the host only
        # after the notice was seen, as when this gateway has just started.
        for runner in self._gateway.declaration.runners:
            told = (runner.name, notice.deadline)
            if runner.host == notice.host and told not in self._notified:
                self._notified.add(told)
                self._on_runner(runner.name, notice.deadline)


def mark_runner_leaving(gateway: Gateway, runner: str, seconds: float) -> None:
    """Send no new work to a runner and move its answers off it.

    Args:
        gateway: The gateway.
        runner: Name of the runner that will go.
        seconds: Time until it goes.
    """
    if runner in gateway.leaving_runners:
        return
    gateway.leaving_runners.add(runner)
    gateway.dispatcher.notify(Leaving(frozenset({runner})))
    deadline = asyncio.get_running_loop().time() + max(0.0, seconds)
    for answer in tuple(gateway.answers):
        relayed = answer.relayed
        if relayed is None or relayed.runner is None:
            continue
        if relayed.runner.name == runner:
            relayed.leave(deadline)
