"""Chooses runners for requests, and waits until they may be sent there."""

import asyncio
import random
from collections.abc import Sequence

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.forwarding.peer_sync import PeerSync
from lagoonpost.forwarding.permits import Permits
from lagoonpost.forwarding.refusal import Refusal
from lagoonpost.forwarding.request_ordering import RequestOrdering
from lagoonpost.forwarding.runner_paths import RunnerPaths
from lagoonpost.forwarding.version_shifts import VersionShifts
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.overload import (
    ReturnTimes,
    find_retry_delay,
    find_return_delay,
)
from lagoonpost.systems.permit_issuer import Denied
from lagoonpost.systems.placement import Choice, Placement
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.scheduling import NO_PARTS
from lagoonpost.tables.urgency import RequestClass, is_later

MAX_RUNNERS_PER_REQUEST = 4
"""Limit for the runners to which one request is offered, including those that
did not run it. Each costs the caller a round trip or a connect timeout."""
MAX_DENIALS = 4
"""Permits that are denied to one request before it is sent to a runner without
a limit or refused. Each costs a round trip between gateways."""
MAX_WAIT_SECONDS, WAIT_SHARE = 0.4, 0.25
"""Longest wait until a request may be sent, in seconds and relative to the
request's time. Reports of free slots come as often."""
MAX_STREAM_WAIT_SECONDS = 1.0
"""The same for a stream that has begun and is resumed: its caller gives up
after a pause of two seconds or more, of which resuming takes a part."""
ROOM_POLL_SECONDS = 0.04
"""Pause between looks for room at a brittle runner."""
WAIT_SLACK_SECONDS = 0.02
"""Time by which a wait may be longer than expected if the request could be
sent elsewhere at once."""


class RunnerChooser:
    """Chooses runners by load, paths and what they bear.

    Args:
        view: Local view of the configuration and the runners.
        permits: Gets permits for runners that bear less than usual.
        placement: Chooses runners by their load.
        paths: Opens connections to runners.
        rng: Source of random choices.

    Attributes:
        cluster: State exchanged with the other gateways.
        shifts: Services that shift to another version.
        scheduling: Parts of the scheduling that are in effect.
        ordering: Decides which requests go first and which are refused.
    """

    def __init__(
        self,
        view: ClusterState,
        permits: Permits,
        placement: Placement,
        paths: RunnerPaths,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._limits = view.limits
        self._notices = view.notices
        self._permits = permits
        self._placement = placement
        self._paths = paths
        self._rng = rng
        self._returns = ReturnTimes(rng)
        self.scheduling = NO_PARTS
        self.ordering = RequestOrdering(
            view, placement, lambda: self.cluster.count_gateways(), rng
        )
        self.cluster: PeerSync
        self.shifts: VersionShifts

    async def choose(self, exchange: Exchange, started: bool) -> Choice | None:
        """Choose a runner and wait until the request may be sent to it.

        Args:
            exchange: The request.
            started: Whether the caller has a part of the answer already.

        Returns:
            The choice; None if the request may be sent to no runner in time.
        """
        is_ordered = self.scheduling.order
        urgency = None
        if is_ordered:
            urgency = self.ordering.find_urgency(
                exchange, RequestClass.IN_TIME
            )
            if not exchange.offer_count:
                self.ordering.note_arrival(exchange)
        while True:
            longest = _find_longest_wait(exchange, started)
            waits = self.find_waits(exchange, longest)
            choice = self._choose_among(exchange, waits, urgency)
            if choice is None:
                if await self._wait_for_room(exchange, longest):
                    continue
                return None
            if is_ordered and not started:
                found = await self._order(exchange, choice, waits, longest)
                if found is None:
                    continue
                choice, overload = found
            else:
                overload = self._find_overload(exchange, choice)
            if overload is not None and not started:
                exchange.note("overload")
                exchange.last_refusal = overload
                return None
            if await self._wait_for_permit(exchange, choice, waits, longest):
                return choice

    def make_moved(self, target: Endpoint) -> Choice:
        """Return the choice for a run that was moved to a runner."""
        path = self._paths.find_all([target.id])[target.id]
        return Choice(target, 0.0, 1, suspect=False, indirect=path.indirect)

    def find_waits(
        self, exchange: Exchange, longest: float
    ) -> dict[Endpoint, float | None]:
        """Return the least seconds until a request may be sent, by runner.

        Args:
            exchange: The request.
            longest: Seconds for which it may wait.

        Returns:
            The runners that accept requests; None for those to which it may
            not be sent in time.
        """
        service, now = exchange.requirements.service, read_clock()
        cold_rate = self._view.find_cold_rate(service)
        runners = self._view.find_runners(service, exchange.regions)
        has_limits = self._limits.has_statements() or cold_rate > 0
        if not has_limits and not self._notices.has_rests():
            return dict.fromkeys(runners, 0.0)
        return {
            runner: None
            if self._notices.find_rest(runner, now)
            or self._may_be_full(runner, now)
            else self._limits.find_wait(
                runner, cold_rate, self._count_open(runner), longest, now
            )
            for runner in runners
        }

    def _count_open(self, runner: Endpoint) -> int:
        return self._placement.state(runner.id).requests

    def _choose_among(
        self,
        exchange: Exchange,
        waits: dict[Endpoint, float | None],
        urgency: int | None = None,
    ) -> Choice | None:
        if exchange.offer_count >= MAX_RUNNERS_PER_REQUEST:
            return None
        service = exchange.requirements.service
        paths = self._paths.find_all(runner.id for runner in waits)
        may_ask = exchange.denial_count < MAX_DENIALS
        usable = {
            runner: wait
            for runner, wait in waits.items()
            if wait is not None
            and (may_ask or not wait)
            and exchange.may_offer(runner.id, paths[runner.id].indirect)
        }
        leaving = self._view.find_copy_sources(service)
        group = self.shifts.choose_candidates(
            service, list(usable), self._view.limits.group.count()
        )
        choice = self._placement.choose(
            group,
            exchange.requirements._replace(urgency=urgency),
            exchange.now(),
            self._rng,
            leaving,
            {runner.id: wait for runner, wait in usable.items()},
            paths,
        )
        # If no path is left that may work, one failed connection per request
        # is enough: probes find out when a path works again.
        if choice is None or not exchange.tried_paths:
            return choice
        runner, now = choice.endpoint.id, exchange.now()
        lost = self._placement.reach.is_unreached(runner, now)
        return None if lost and not choice.indirect else choice

    async def _order(
        self,
        exchange: Exchange,
        soon: Choice,
        waits: dict[Endpoint, float | None],
        longest: float,
    ) -> tuple[Choice, Refusal | None] | None:
        """Decide whether a request is sent now, later or not at all.

        Args:
            exchange: The request.
            soon: The choice made for it in the class in time.
            waits: Least seconds until it may be sent, by runner.
            longest: Seconds for which it may wait.

        Returns:
            The choice and the refusal, if it is refused; None if it has
            waited for memory or a place and a runner has to be chosen again.
        """
        usable = [
            runner
            for runner, wait in waits.items()
            if wait == 0.0 and runner.id not in exchange.tried_runners
        ]

        def choose(
            urgency: int | None, runners: Sequence[Endpoint]
        ) -> Choice | None:
            kept = {runner: waits[runner] for runner in runners}
            return self._choose_among(exchange, kept or waits, urgency)

        choice, retry_after, waits_for_place = self.ordering.decide(
            exchange, soon, choose, usable, longest > 0
        )
        if retry_after is not None:
            if not all(
                self._limits.has_room(
                    runner, self._count_open(runner), read_clock()
                )
                for runner in waits
            ):
                # Another gateway may send to the runners that are limited.
                soonest = find_return_delay(0.0, self._rng)
                retry_after = min(retry_after, soonest)
            return choice, exchange.make_overload(retry_after)
        # A late request could take memory from a stream that has begun.
        waits_for_memory = (
            longest > 0
            and is_later(choice.urgency)
            and not self.ordering.has_memory(choice.endpoint)
        )
        if waits_for_memory or waits_for_place:
            if not exchange.waited:
                exchange.note("memory" if waits_for_memory else "place")
            exchange.waited += ROOM_POLL_SECONDS
            await asyncio.sleep(ROOM_POLL_SECONDS)
            return None
        return choice, None

    async def _wait_for_permit(
        self,
        exchange: Exchange,
        choice: Choice,
        waits: dict[Endpoint, float | None],
        longest: float,
    ) -> bool:
        """Wait until the request may be sent to the chosen runner.

        Returns:
            Whether it may be sent and the runner still accepts requests.
        """
        endpoint = choice.endpoint
        could_go_elsewhere = any(
            wait == 0 and runner.id not in exchange.tried_runners
            for runner, wait in waits.items()
            if runner != endpoint
        )
        if could_go_elsewhere:
            longest = min(longest, choice.delay + WAIT_SLACK_SECONDS)
        decision = await self._permits.acquire(endpoint, longest)
        if isinstance(decision, Denied):
            exchange.denial_count += 1
            return False
        if not decision.wait:
            return True
        exchange.note("turn")
        exchange.waited += decision.wait
        await asyncio.sleep(decision.wait)
        return self._view.may_send(endpoint)

    async def _wait_for_room(self, exchange: Exchange, longest: float) -> bool:
        """Wait a little for room at a brittle runner, or for a rest to end.

        If there is none in time, record why the request is refused.

        Returns:
            Whether to look again.
        """
        if exchange.offer_count >= MAX_RUNNERS_PER_REQUEST:
            return False
        now = read_clock()
        known = self._view.find_runners(
            exchange.requirements.service, exchange.regions
        )
        runners = [
            runner
            for runner in known
            if runner.id not in exchange.tried_runners
        ]
        is_full = self._is_any_full(runners)
        if is_full and longest > 0:
            exchange.waited += ROOM_POLL_SECONDS
            await asyncio.sleep(ROOM_POLL_SECONDS)
            return True
        rest = self._find_shortest_rest(runners, now)
        if rest is not None and rest <= longest:
            exchange.note("rest")
            exchange.waited += rest
            await asyncio.sleep(rest)
            return True
        rates = self._list_rates(runners, now)
        if is_full:
            exchange.note_no_room()
        elif known and not any(
            self._view.may_send(runner) for runner in known
        ):
            rest = self._find_shortest_rest(known, now)
            exchange.note_resting(find_return_delay(rest or 0.0, self._rng))
        elif rates:
            exchange.note_limited(self._find_return(runners, sum(rates), now))
        return False

    def _is_any_full(self, runners: list[Endpoint]) -> bool:
        """Return whether a runner that doesn't rest has no room now."""
        now = read_clock()
        return any(
            self._may_be_full(runner, now)
            or not self._limits.has_room(runner, self._count_open(runner), now)
            for runner in runners
            if not self._notices.find_rest(runner, now)
        )

    def _may_be_full(self, runner: Endpoint, now: float) -> bool:
        """Return whether a runner is expected to ask for a rest."""
        requests = self._placement.count_open(runner.id)
        return not self._notices.has_room(runner, requests, now)

    def _find_shortest_rest(
        self, runners: list[Endpoint], now: float
    ) -> float | None:
        """Return the seconds until the first runner's rest ends, if any."""
        rests = (self._notices.find_rest(runner, now) for runner in runners)
        return min((rest for rest in rests if rest), default=None)

    def _list_rates(self, runners: list[Endpoint], now: float) -> list[float]:
        """Return the rates of runners that bear only some requests."""
        rates = (
            self._limits.find_rate(
                runner, self._view.find_cold_rate(runner.service), now
            )
            for runner in runners
        )
        return [rate for rate in rates if rate is not None]

    def _find_return(
        self, runners: list[Endpoint], rate: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller may return."""
        earliest = min(
            self._limits.find_earliest(runner.id, now) for runner in runners
        )
        part = rate / self._limits.group.count()
        return self._returns.find_delay(
            runners[0].service, earliest, part, now
        )

    def _find_overload(
        self, exchange: Exchange, choice: Choice
    ) -> Refusal | None:
        """Return the refusal of a request that no runner can serve in time."""
        backlog = choice.backlog + choice.delay
        left = exchange.deadline - exchange.now()
        if backlog <= left:
            return None
        runners = self._view.find_runners(
            exchange.requirements.service, exchange.regions
        )
        delay = find_retry_delay(
            backlog, left, self._is_any_full(runners), self._rng
        )
        return None if delay is None else exchange.make_overload(delay)


def _find_longest_wait(exchange: Exchange, started: bool) -> float:
    """Return the seconds for which a request may go on waiting."""
    share = WAIT_SHARE * (exchange.deadline - exchange.started)
    longest = min(MAX_WAIT_SECONDS, share)
    if started:
        longest = MAX_STREAM_WAIT_SECONDS
    return max(0.0, longest - exchange.waited)
