"""Applies the order of requests to those that this gateway forwards."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.systems.placement import Choice, Placement
from lagoonpost.systems.request_order import (
    Action,
    Decision,
    Delays,
    Needs,
    Outlook,
    Prospect,
    RequestOrder,
    RequestSizes,
    ReturnOrder,
    StatedTimes,
    find_slot_wait,
)
from lagoonpost.tables.configuration import Service
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.urgency import (
    RequestClass,
    find_urgency,
    is_later,
)


class Verdict(NamedTuple):
    """What becomes of a request.

    Attributes:
        choice: The runner that it is sent to, unless it is refused.
        retry_after: Seconds after which its caller may return if it is
            refused; None if it is sent.
        waits: Whether it waits a little and is decided about again.
    """

    choice: Choice
    retry_after: float | None = None
    waits: bool = False


class RequestOrdering:
    """Decides about requests, and learns from those that were answered.

    Args:
        view: Local view of the configuration and the runners.
        placement: Load of the runners.
        count_gateways: Returns the number of gateways.
        rng: Source of random choices.
    """

    def __init__(
        self,
        view: ClusterState,
        placement: Placement,
        count_gateways: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._placement = placement
        self._count_gateways = count_gateways
        self._order = RequestOrder()
        self._delays = Delays()
        self._stated = StatedTimes()
        self._sizes = RequestSizes()
        self._returns = ReturnOrder(rng)

    def note_arrival(self, exchange: Exchange) -> None:
        """Record a request before its first runner is chosen."""
        left = exchange.arrival.left
        if left is not None and exchange.route is not None:
            route = exchange.route.name
            exchange.waited_before = self._stated.note(route, left)

    def note_sent(self, exchange: Exchange, choice: Choice) -> None:
        """Record a request that is being sent to a runner."""
        tokens, parts = exchange.arrival.tokens, exchange.arrival.parts
        if tokens is None:
            return
        # The first part is usually one that most requests share.
        shared = parts[0].tokens if len(parts) > 1 else 0
        self._sizes.note(
            exchange.requirements.service,
            max(0, tokens.prompt - shared) + tokens.output,
            choice.uncached_tokens,
        )

    def note_first_byte(
        self, exchange: Exchange, choice: Choice, took: float
    ) -> None:
        """Record how long a request took to its first byte.

        Args:
            exchange: The request.
            choice: The choice made for it.
            took: Seconds from when it was sent.
        """
        is_moved = exchange.requirements.engine and choice.urgency is None
        if exchange.decision is None or is_moved or is_later(choice.urgency):
            return
        self._delays.note(
            exchange.requirements.service,
            exchange.priority,
            choice.seconds,
            took,
            exchange.now(),
        )

    def note_ended(self, exchange: Exchange, seconds: float) -> None:
        """Record that a request ended.

        Args:
            exchange: The request.
            seconds: Time since its first byte.
        """
        self._sizes.note_ended(exchange.requirements.service, seconds)

    def find_urgency(
        self, exchange: Exchange, request_class: RequestClass
    ) -> int | None:
        """Return a request's level of urgency in a class, if it has one."""
        if not exchange.requirements.engine:
            return None
        return find_urgency(exchange.priority, request_class)

    def decide(
        self,
        exchange: Exchange,
        soon: Choice,
        choose: Callable[[int | None, Sequence[Endpoint]], Choice | None],
        runners: Sequence[Endpoint],
        may_wait: bool,
    ) -> Verdict:
        """Decide whether a request is sent, in which class, or refused.

        Args:
            exchange: The request.
            soon: The choice made for it in the class in time.
            choose: Returns the choice for a level of urgency among runners.
            runners: The runners to which the request may be sent now.
            may_wait: Whether the request may wait at the gateway.
        """
        now = exchange.now()
        later_urgency = self.find_urgency(exchange, RequestClass.LATER)
        needs = self._find_needs(exchange, may_wait, now)
        extra = self._delays.find(needs.service, needs.priority, now)
        first_byte = (
            soon.seconds + soon.delay + extra + self._find_slot_wait(soon)
        )
        later = soon
        free: list[Endpoint] = []
        is_free = self._is_free(soon.endpoint)
        if first_byte > needs.objective and not is_free:
            free = [runner for runner in runners if self._is_free(runner)]
            later = choose(later_urgency, self._list_fitting(runners)) or soon
        prospect = Prospect(
            first_byte,
            later.wait + later.delay + self._find_slot_wait(later),
            later.backlog + later.delay,
            is_free,
            self._placement.is_measured(needs.service),
            bool(free),
        )
        decision = self._order.decide(needs, prospect, now)
        before, exchange.decision = exchange.decision, decision
        is_new = before is None or before[:3] != decision[:3]
        if is_new and decision.outlook is not Outlook.FREE:
            exchange.note(_describe(needs, prospect, decision))
        if decision.action is Action.WAIT:
            return Verdict(soon, waits=True)
        if decision.action is Action.REFUSE:
            delay = self._find_return(needs, decision, runners, now)
            return Verdict(soon, delay)
        if decision.outlook in _HAS_NO_ROOM and free:
            return Verdict(choose(later_urgency, free) or later)
        if decision.action is Action.SEND_LATER:
            if not is_later(later.urgency):
                fitting = self._list_fitting(runners)
                later = choose(later_urgency, fitting) or soon
            return Verdict(later)
        return Verdict(soon)

    def has_memory(self, runner: Endpoint) -> bool:
        """Return whether a runner has memory for one more late request."""
        found = self._find_service(runner.service)
        return self._sizes.fits(
            runner.service,
            self._placement.count_open(runner.id),
            found.kv_tokens if found else 0,
        )

    def _list_fitting(self, runners: Sequence[Endpoint]) -> list[Endpoint]:
        """Return the runners that have memory; all if none has."""
        return [
            runner for runner in runners if self.has_memory(runner)
        ] or list(runners)

    def _is_free(self, runner: Endpoint) -> bool:
        """Return whether a runner has a free place and no prompt waiting."""
        return self._placement.is_free(runner.id, self._find_slots(runner))

    def _find_slots(self, runner: Endpoint) -> int:
        found = self._find_service(runner.service)
        return (found.slots if found else 0) or runner.slots

    def _find_slot_wait(self, choice: Choice) -> float:
        """Return the predicted wait for a slot of a model runner.

        Requests in a slot have their prompts prefilled, so what is left to
        prefill tells how many of those that wait go first.
        """
        if choice.urgency is None:
            return 0.0
        runner = choice.endpoint
        unread = self._placement.state(runner.id).count_ahead(None)
        return find_slot_wait(
            self._placement.count_open(runner.id),
            self._find_slots(runner),
            choice.ahead / unread if unread else 1.0,
            self._sizes.mean_running(runner.service),
        )

    def _find_service(self, name: str) -> Service | None:
        routes = self._view.routes
        return routes.configuration.services.get(name) if routes else None

    def _find_needs(
        self, exchange: Exchange, may_wait: bool, now: float
    ) -> Needs:
        before = exchange.waited_before
        target = exchange.started + exchange.target - before
        return Needs(
            exchange.requirements.service,
            exchange.priority,
            exchange.requirements.engine,
            target - now,
            exchange.deadline - now,
            exchange.over_share,
            # One that a runner has had costs more if it is refused, too.
            before > 0 or exchange.offer_count > 0,
            may_wait,
        )

    def _find_return(
        self,
        needs: Needs,
        decision: Decision,
        runners: Sequence[Endpoint],
        now: float,
    ) -> float:
        """Return the seconds after which a refused caller may return."""
        seconds = self._placement.find_work_seconds(
            needs.service,
            needs.ordered,
            self._sizes.mean_uncached(needs.service),
        )
        # An engine prefills one prompt at a time; others work in each slot.
        places = sum(
            1 if needs.ordered else max(1, runner.slots) for runner in runners
        )
        rate = places / seconds / max(1, self._count_gateways())
        return self._returns.find_delay(needs, decision.excess, rate, now)


_HAS_NO_ROOM = frozenset({Outlook.LATE, Outlook.TOO_LATE, Outlook.HOPELESS})
"""Outlooks at the chosen runner with which another, free one is better."""


def _describe(needs: Needs, prospect: Prospect, decision: Decision) -> str:
    """Return the step for the log: the decision and its inputs in seconds."""
    words = (decision.action, decision.outlook, decision.standing)
    figures = (
        prospect.first_byte,
        needs.objective,
        prospect.wait,
        needs.left,
    )
    return "order:{}:{}".format(
        ":".join(word.name.lower() for word in words),
        ":".join(f"{figure:.3f}" for figure in figures),
    )
