"""State of one request: routing, attempts at runners and its outcome."""

from collections.abc import Callable
from typing import NamedTuple

from lagoonpost.forwarding.attempt import (
    Barred,
    Began,
    Broken,
    Foreign,
    Moved,
    NotRun,
    Outcome,
    OverQuota,
    Silent,
    Unreachable,
    Whole,
    Withheld,
)
from lagoonpost.forwarding.refusal import (
    ANSWER_LOST,
    Refusal,
    make_over_quota,
)
from lagoonpost.forwarding.successor import Successor
from lagoonpost.http.events import RawEvent
from lagoonpost.http.message import Request, Response
from lagoonpost.systems.answer_end import EndVerdict
from lagoonpost.systems.placement import Choice, PlacementRequest
from lagoonpost.systems.request_order import Decision
from lagoonpost.tables.answer_end import EndEvidence
from lagoonpost.tables.configuration import Route, Service, Workspace
from lagoonpost.tables.metadata import RequestMetadata
from lagoonpost.tables.quota import QuotaCharge, QuotaCheck
from lagoonpost.tables.service_share import ShareCheck
from lagoonpost.tables.urgency import MAX_URGENCY, RequestClass, find_urgency

DEFAULT_TIMEOUT_SECONDS = 60.0
"""Longest wait for the answer, and for the first byte, of a request that has
no route."""
PATIENCE_SHARE = 0.5
"""Part of the time left that may be spent on proving an answer's end."""
RETRY_AFTER_SECONDS = 0.4
"""Retry-after when all runners are full: the time of a few of their answers,
after which a runner is likely to have a free slot."""


RUNNER_CLOCK_SLACK_SECONDS = 0.02
"""Time by which a runner may stop before the deadline: what it is told is in
whole milliseconds, and its timers may count in ticks of 16 ms."""


class AnswerEnd(NamedTuple):
    """How the answer of one runner ended.

    Attributes:
        runner: Id of the runner.
        evidence: Evidence of the end.
        verdict: What the answer was taken for.
    """

    runner: str
    evidence: EndEvidence
    verdict: EndVerdict


class Exchange:
    """State of one request.

    Attributes:
        request: The request as received.
        arrival: Parameters from the caller's headers.
        now: Clock, in seconds.
        started: Time at which the request arrived, in seconds.
        route: Route of the request, once found.
        workspace: Workspace that the request is charged to, if any.
        requirements: Properties of the request that placement considers.
        cost: Quota units of one run.
        reserved: Whether these units are reserved until the first run.
        charges: Charges of the runs, in order.
        quota: Inputs of the quota decision, for the log.
        over_share: Whether the request is beyond its workspace's share of a
            service that is short.
        share: Inputs of that decision, for the log.
        version: Version of the configuration that the request was admitted
            under.
        tried_runners: Ids of the runners that the request may have reached.
        tried_paths: Runners that could not be reached, and whether on the
            path through another gateway.
        offer_count: Number of offers to runners, reached or not.
        waited: Seconds waited until the request could be sent.
        denial_count: Number of permits that were denied.
        reached_count: Number of runners that the request may have reached.
        run_count: Number of runners that may have run the request.
        last_event: Id of the last event passed on to the caller.
        outcome: Final outcome, for the log.
        status: HTTP status of the answer; 0 before there is one.
        steps: Steps taken, for the log.
        outcomes: Outcome of each offer to a runner.
        foreign_reasons: Why what came back was no answer to the request, for
            each time.
        ends: How the answers ended that began, in order, for the log.
        may_have_run: Whether a runner may have started to run the request.
        causes: What may make the request crash its runner, from the most to
            the least widely shared.
        on_trial: Whether it may be sent once more, to learn whether it crashes
            its runner.
        last_refusal: Refusal that follows from the last failed offer.
        fallback_response: A runner's failure response, returned if no other
            runner gives a better answer.
        first_byte: Seconds until the caller's first byte, if there was one.
        waited_before: Seconds that its caller has probably waited since it
            was refused before.
        successor: Run that takes over from a silent runner.
        decision: Whether it is sent, in which class, and why; None where
            requests have no order.
    """

    def __init__(
        self,
        request: Request,
        arrival: RequestMetadata,
        clock: Callable[[], float],
    ) -> None:
        self.request = request
        self.arrival = arrival
        self.now = clock
        self.started = clock()
        self.route: Route | None = None
        self.workspace: Workspace | None = None
        self.requirements = PlacementRequest("", 0, (), False)
        self.cost = 0.0
        self.reserved = False
        self.charges: list[QuotaCharge] = []
        self.quota: QuotaCheck | None = None
        self.over_share = False
        self.share: ShareCheck | None = None
        self.version = 0
        self.tried_runners: set[str] = set()
        self.tried_paths: set[tuple[str, bool]] = set()
        self.offer_count = 0
        self.waited = 0.0
        self.denial_count = 0
        self.reached_count = 0
        self.run_count = 0
        self.last_event = arrival.last_event
        self.outcome = ""
        self.status = 0
        self.steps: list[str] = []
        self.outcomes: list[str] = []
        self.foreign_reasons: list[str] = []
        self.ends: list[AnswerEnd] = []
        self.may_have_run = False
        self._in_flight = False
        self.causes: tuple[str, ...] = ()
        self.on_trial = False
        self.last_refusal: Refusal | None = None
        self.fallback_response: Response | None = None
        self.first_byte: float | None = None
        self._began = False
        self.waited_before = 0.0
        self.successor: Successor | None = None
        self.decision: Decision | None = None

    # Properties of the request

    def set_service(self, name: str, service: Service | None) -> None:
        """Set the service and derive the requirements for placement."""
        tokens = self.arrival.tokens
        self.requirements = PlacementRequest(
            service=name,
            prompt=tokens.prompt if tokens else 0,
            parts=self.arrival.parts,
            engine=service is not None and service.engine,
        )

    @property
    def regions(self) -> frozenset[str] | None:
        """Regions in which the request may run; None for all."""
        allowed = [
            frozenset(owner.regions)
            for owner in (self.route, self.workspace)
            if owner is not None and owner.regions
        ]
        return frozenset.intersection(*allowed) if allowed else None

    @property
    def deadline(self) -> float:
        """Time by which the request must be answered, in seconds."""
        timeout = self.route.timeout if self.route else DEFAULT_TIMEOUT_SECONDS
        left = self.arrival.left
        return self.started + (timeout if left is None else min(left, timeout))

    def is_deadline_near(self) -> bool:
        """Return whether the deadline may be over by a runner's clock."""
        return self.deadline - self.now() < RUNNER_CLOCK_SLACK_SECONDS

    @property
    def patience(self) -> float:
        """Longest wait for a sign that an answer was cut off, in seconds.

        The answer still has to reach its caller in time.
        """
        return PATIENCE_SHARE * max(0.0, self.deadline - self.now())

    @property
    def target(self) -> float:
        """Target time to the first byte, in seconds."""
        return self.route.target if self.route else DEFAULT_TIMEOUT_SECONDS

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route is not None and self.route.idempotent

    @property
    def priority(self) -> int:
        """Priority of the request; 0 is the highest."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority if self.route else 0

    @property
    def urgency(self) -> int | None:
        """Priority sent to a model runner; None for other services.

        A request over its workspace's share is one level less urgent.
        """
        if not self.requirements.engine:
            return None
        if self.decision is None:
            return min(MAX_URGENCY, self.priority + self.over_share)
        return find_urgency(self.priority, self.request_class)

    @property
    def request_class(self) -> RequestClass:
        """Class in which the request is sent.

        A stream that has begun is in time, so that others don't interrupt it.
        """
        if self.decision is None or self._began:
            return RequestClass.IN_TIME
        return self.decision.request_class

    @property
    def known_not_run(self) -> bool:
        """Whether certainly no runner has started the request.

        An offer that was interrupted by the deadline may have reached its
        runner. If the answer then claimed that the request has not run, the
        caller would repeat it, and a booking could be made twice.
        """
        return not self.may_have_run and not self._in_flight

    # Progress of the request

    def note(self, step: str) -> None:
        """Record a step for the log."""
        self.steps.append(step)

    def note_sent(self, choice: Choice) -> None:
        """Record that the request is being sent to a runner."""
        self.offer_count += 1
        self._in_flight = True
        if choice.compared:
            waits = (f"{id_}={wait:.3f}" for id_, wait in choice.compared)
            self.note(" ".join(("compared", *waits)))
        if choice.homes > 1:
            self.note(f"homes {choice.homes}")

    def note_outcome(self, choice: Choice, outcome: Outcome) -> None:
        """Record the outcome of an offer and what it implies for retries."""
        self._in_flight = False
        label = type(outcome).__name__.lower()
        self.outcomes.append(label)
        self.note(f"{choice.endpoint.id}:{label}:{choice.seconds:.3f}")
        if not isinstance(outcome, Unreachable | Withheld | OverQuota):
            self.tried_runners.add(choice.endpoint.id)
        match outcome:
            case Unreachable(detail):
                self.tried_paths.add((choice.endpoint.id, choice.indirect))
                self.last_refusal = self._refuse("unreachable", detail)
            case Barred(refusal):
                self.note_barred(refusal)
            case OverQuota(retry_after):
                self.note_over_quota(retry_after)
            case NotRun():
                self.reached_count += 1
                self.note_no_room()
            case Foreign(status, reason):
                self.foreign_reasons.append(reason)
                self.note(f"foreign {status} {reason}")
                self._note_lost()
            case Broken() | Silent():
                self._note_lost()
            case Whole() | Began() | Moved():
                self.reached_count += 1
                self.run_count += 1
                self.may_have_run = True

    def _note_lost(self) -> None:
        self.reached_count += 1
        self.run_count += 1
        self.may_have_run = True
        self.last_refusal = ANSWER_LOST

    def note_end(
        self, choice: Choice, evidence: EndEvidence, verdict: EndVerdict
    ) -> None:
        """Record how an answer ended and what it was taken for."""
        self.ends.append(AnswerEnd(choice.endpoint.id, evidence, verdict))

    def note_withdrawn(self, choice: Choice) -> None:
        """Record that a run was ended, as the run before it has gone on."""
        self.outcomes.append("withdrawn")
        self.note(f"{choice.endpoint.id}:withdrawn:{choice.seconds:.3f}")
        self.tried_runners.add(choice.endpoint.id)
        self.reached_count += 1
        self.run_count += 1

    def note_barred(self, refusal: Refusal) -> None:
        """Record that the request is sent to no runner, as it crashes them."""
        self.last_refusal = ANSWER_LOST if self.may_have_run else refusal

    def note_over_quota(self, retry_after: float) -> None:
        """Record that a run was not charged, so that it did not begin."""
        self.last_refusal = (
            ANSWER_LOST if self.may_have_run else make_over_quota(retry_after)
        )

    def note_no_room(self) -> None:
        """Record that no runner has room for the request."""
        self.last_refusal = self._refuse(
            "runners_full", "the runners of the service are full"
        )

    def note_limited(self, retry_after: float) -> None:
        """Record that no runner takes the request by the limits they name."""
        detail = "the runners of the service take no more requests now"
        self.last_refusal = self._refuse(
            "runners_limited", detail, retry_after
        )

    def note_resting(self, retry_after: float) -> None:
        """Record that all runners of the service want no requests for now."""
        detail = "the runners of the service take no requests for now"
        self.last_refusal = self._refuse("runners_rest", detail, retry_after)

    def make_overload(self, retry_after: float) -> Refusal:
        """Return the refusal of a request that cannot be served in time."""
        detail = "no runner can begin to answer in time"
        return self._refuse("overloaded", detail, retry_after)

    def _refuse(
        self,
        reason: str,
        detail: str,
        retry_after: float = RETRY_AFTER_SECONDS,
    ) -> Refusal:
        # Once a runner may have run the request, no refusal may claim that
        # it has not run.
        if self.may_have_run:
            return ANSWER_LOST
        return Refusal(503, reason, detail, retry_after=retry_after)

    def may_offer(self, runner: str, indirect: bool) -> bool:
        """Return whether a runner was not tried yet on this path."""
        if runner in self.tried_runners:
            return False
        return (runner, indirect) not in self.tried_paths

    def may_retry(self) -> bool:
        """Return whether the request may be sent to another runner."""
        if not self.may_have_run:
            return True
        if not self.idempotent or self.route is None:
            return False
        return self.run_count < self.route.max_attempts

    def may_retry_failure(self, status: int) -> bool:
        """Return whether to retry at another runner after a failure status.

        Args:
            status: HTTP status that the runner answered.
        """
        if status < 500 or self.route is None or not self.idempotent:
            return False
        return self.run_count + 1 < self.route.max_attempts

    def accept_event(self, event: RawEvent) -> bool:
        """Record an event that is to be passed on.

        Returns:
            False if the caller already has the event, after a resumption.
        """
        if event.id:
            if _is_duplicate(event.id, self.last_event):
                return False
            self.last_event = event.id
        return True

    def note_began(self) -> bool:
        """Record that a runner started to answer.

        Returns:
            Whether this is the first runner that did.
        """
        is_first = not self._began
        self._began = True
        self.may_have_run = True
        return is_first

    def note_first_byte(self) -> None:
        """Record the time to the first byte."""
        self.first_byte = self.now() - self.started

    def note_answered(self, status: int) -> None:
        """Record that a runner's answer was passed on completely."""
        if self.first_byte is None:
            self.note_first_byte()
        self.outcome = "answered"
        self.status = status

    def note_refused(self, refusal: Refusal) -> None:
        """Record that the gateway itself answers with a refusal."""
        self.outcome = refusal.reason
        self.status = refusal.status


def _is_duplicate(id_: str, last: str) -> bool:
    return id_.isdecimal() and last.isdecimal() and int(id_) <= int(last)
