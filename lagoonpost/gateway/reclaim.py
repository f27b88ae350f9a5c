"""Handles reclaim notices and moves answers off runners that leave."""

import asyncio
import time
from collections.abc import Callable

import eliot

from lagoonpost.gateway.state import Gateway
from lagoonpost.store.reclaim_notices import ReclaimNotice, fetch_notices
from lagoonpost.store.store import Unavailable
from lagoonpost.systems.event import Leaving

# The cloud gives only seconds of notice, and within a few seconds a leaving
# runner must get no new work, so notices are polled often.
POLL_SECONDS = 0.5
# An expired notice does not apply to a new host that reuses the name.
EXPIRED_NOTICE_SECONDS = 60.0


class NoticeWatch:
    """Polls the platform's reclaim notices and reports each one once.

    Args:
        gateway: Gateway whose declared runners are matched with notices.
        host: Host that this process runs on.
        on_runner: Called for a runner on a reclaimed host, with its name and
            the deadline in seconds since the epoch.
        on_own_host: Called with the deadline, in seconds since the epoch, if
            the host of this process is reclaimed.
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
        self._seen: set[ReclaimNotice] = set()
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

    def _handle_notice(self, notice: ReclaimNotice) -> None:
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
        # Repeated at each poll: a runner of the host may be declared after the
        # notice was first seen, for example while the gateway starts.
        for runner in self._gateway.declaration.runners:
            notification = (runner.name, notice.deadline)
            if (
                runner.host == notice.host
                and notification not in self._notified
            ):
                self._notified.add(notification)
                self._on_runner(runner.name, notice.deadline)


def mark_runner_leaving(gateway: Gateway, runner: str, seconds: float) -> None:
    """Stop sending work to a runner and move its answers to other runners.

    Args:
        gateway: Gateway to update.
        runner: Name of the runner that is leaving.
        seconds: Time until its shutdown, in seconds.
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
            relayed.announce_reclaim(deadline)
