"""One request on its way: what was found, tried and answered."""

from collections.abc import Callable

from lagoonpost.forwarding.attempt import (
    Began,
    Broken,
    Moved,
    NotRun,
    Outcome,
    Silent,
    Unreachable,
    Whole,
)
from lagoonpost.forwarding.refusal import ANSWER_LOST, Refusal
from lagoonpost.http.events import RawEvent
from lagoonpost.http.message import Request, Response
from lagoonpost.systems.placement import Choice, Wanted
from lagoonpost.tables.configuration import Route, Service, Workspace
from lagoonpost.tables.forwarded import Arrival
from lagoonpost.tables.quota import Weighed

DEFAULT_TIMEOUT_SECONDS = 60.0
"""Longest wait for a request that names no deadline on any side."""
LOWEST_PRIORITY = 9
"""The lowest rank that runners know."""
RETRY_AFTER_SECONDS = 0.4
"""When to come back after runners were full: a few of their answers later."""


class Exchange:
    """State of one request.

    Attributes:
        request: As received.
        arrival: What the caller said.
        route: Its route, once found.
        workspace: Whose request it is; None if nobody's.
        wanted: What placement has to know.
        units: Units taken from the quota.
        quota: Inputs of the decision about the quota, for the log.
        version: Version of the configuration that it was judged by.
        tried: Ids of the runners that it was offered to.
        arrivals: Number of runners that it may have reached.
        last_event: Id of the last event that the caller has.
        outcome: How it ended, for the log.
        steps: What happened, for the log.
        outcomes: What came of each offer to a runner.
        may_have_run: Whether a runner may have begun to run it.
        fingerprint: Identifies it in whatever attempt.
        kept: A runner's failure that is answered if nothing better comes.
    """

    def __init__(
        self, request: Request, arrival: Arrival, clock: Callable[[], float]
    ) -> None:
        self.request = request
        self.arrival = arrival
        self.now = clock
        self.started = clock()
        self.route: Route | None = None
        self.workspace: Workspace | None = None
        self.requirements = Wanted("", 0, (), False)
        self.units = 0.0
        self.quota: Weighed | None = None
        self.version = 0
        self.tried_runners: set[str] = set()
        self.reached_count = 0
        self.run_count = 0
        self.last_event = arrival.last_event
        self.outcome = ""
        self.status = 0
        self.steps: list[str] = []
        self.outcomes: list[str] = []
        self.may_have_run = False
        self._sending = False
        self.fingerprint = ""
        self.last_refusal: Refusal | None = None
        self.fallback_response: Response | None = None
        self.first_byte: float | None = None
        self._began = False

    # What it is

    def set_service(self, name: str, service: Service | None) -> None:
        """Say which service it goes to."""
        tokens = self.arrival.tokens
        self.requirements = Wanted(
            service=name,
            prompt=tokens.prompt if tokens else 0,
            parts=self.arrival.parts,
            engine=service is not None and service.engine,
        )

    @property
    def deadline(self) -> float:
        """Time at which it gets its final answer, whatever it is."""
        timeout = self.route.timeout if self.route else DEFAULT_TIMEOUT_SECONDS
        left = self.arrival.left
        return self.started + (timeout if left is None else min(left, timeout))

    @property
    def target(self) -> float:
        """Seconds within which its first byte is good."""
        return self.route.target if self.route else DEFAULT_TIMEOUT_SECONDS

    @property
    def idempotent(self) -> bool:
        """Whether it may run more than once."""
        return self.route is not None and self.route.idempotent

    @property
    def priority(self) -> int:
        """Rank; 0 is the most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority if self.route else 0

    @property
    def urgency(self) -> int | None:
        """Rank that a model runner gives to it; None at plain services."""
        if not self.requirements.engine:
            return None
        return min(LOWEST_PRIORITY, self.priority)

    @property
    def known_not_run(self) -> bool:
        """Whether no runner can have begun it.

        An offer that ends in its middle, as its time is over, may have
        reached the runner; an answer that says it has not run would bring
        the caller back with the same booking.
        """
        return not self.may_have_run and not self._sending

    # What happens to it

    def note(self, step: str) -> None:
        """Add a step for the log."""
        self.steps.append(step)

    def note_sent(self, choice: Choice) -> None:
        """Count an offer to a runner."""
        self.tried_runners.add(choice.endpoint.id)
        self._sending = True

    def note_outcome(self, choice: Choice, outcome: Outcome) -> None:
        """Take what came of an offer into account."""
        self._sending = False
        word = type(outcome).__name__.lower()
        self.outcomes.append(word)
        self.note(f"{choice.endpoint.id}:{word}:{choice.seconds:.3f}")
        match outcome:
            case Unreachable(detail):
                self.last_refusal = self._refuse("unreachable", detail)
            case NotRun():
                self.reached_count += 1
                self.last_refusal = self._refuse(
                    "runners_full", "the runners of the service are full"
                )
            case Broken() | Silent():
                self.reached_count += 1
                self.run_count += 1
                self.may_have_run = True
                self.last_refusal = ANSWER_LOST
            case Whole() | Began() | Moved():
                self.reached_count += 1
                self.run_count += 1
                self.may_have_run = True

    def _refuse(self, reason: str, detail: str) -> Refusal:
        # Once a runner may have run it, no refusal may say that it did not.
        if self.may_have_run:
            return ANSWER_LOST
        return Refusal(503, reason, detail, retry_after=RETRY_AFTER_SECONDS)

    def may_retry(self) -> bool:
        """Tell whether another runner may be asked."""
        if not self.may_have_run:
            return True
        if not self.idempotent or self.route is None:
            return False
        return self.run_count < self.route.max_attempts

    def may_retry_failure(self, status: int) -> bool:
        """Tell whether a runner's failure is tried again elsewhere."""
        if status < 500 or self.route is None or not self.idempotent:
            return False
        return self.run_count + 1 < self.route.max_attempts

    def accept_event(self, event: RawEvent) -> bool:
        """Note an event that is to be passed on; False if it was before."""
        if event.id:
            if _is_before(event.id, self.last_event):
                return False
            self.last_event = event.id
        return True

    def note_began(self) -> bool:
        """Note that a runner began it; True for the first time."""
        first = not self._began
        self._began = True
        self.may_have_run = True
        return first

    def note_first_byte(self) -> None:
        """Note when the caller gets its first byte."""
        self.first_byte = self.now() - self.started

    def note_answered(self, status: int) -> None:
        """Note that a runner's answer was passed on whole."""
        if self.first_byte is None:
            self.note_first_byte()
        self.outcome = "answered"
        self.status = status

    def note_refused(self, refusal: Refusal) -> None:
        """Note an answer of our own."""
        self.outcome = refusal.reason
        self.status = refusal.status


def _is_before(id_: str, last: str) -> bool:
    return id_.isdecimal() and last.isdecimal() and int(id_) <= int(last)
