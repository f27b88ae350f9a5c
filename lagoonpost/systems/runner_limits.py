"""Decides when this gateway may send its next request to a runner.

Load pattern: a runner bears less than usual and says so. It is cold for some
seconds after its start, it names the requests a second that it takes, or it is
brittle and falls over when it has to turn requests away. Such a runner is
mostly the least loaded of its service, so every gateway that compares loads
sends its next request there, and what each of 195 gateways may send by itself
adds up to many times what the runner bears.

What a runner says holds for all gateways together and for every request:
first offers, retries, resumed streams and runs that are moved, over any path.

- Rates, of cold runners and of those that name one: one gateway issues the
  permits for a runner and spaces them evenly; others ask it for each request.
  Dividing a rate among gateways leaves most of it unused where they are many:
  a part of 0.5 a second comes up every six minutes at each of 195, mostly when
  no request needs it. While the issuer doesn't answer, each gateway falls back
  to half of its equal part, so that the sum stays within 1.5 times the rate.
- Room at brittle runners: slots are divided, as a request takes one for an
  unknown time.

A gateway that is told of a limit tells the issuer, and the issuer tells all
others when a limit begins or ends: otherwise each would find out by sending a
request of its own. That a service is brittle is forgotten some seconds after
the last answer that says so, and told again before: a gateway that had no
request of the service meanwhile would send the next ones all at once.
"""

import math
from collections.abc import Iterable, Mapping
from random import Random
from typing import NamedTuple

from lagoonpost.systems.brittle import BrittleRunners
from lagoonpost.systems.cold_start import ColdStarts
from lagoonpost.systems.permit_claims import PermitClaims
from lagoonpost.systems.permit_group import PermitGroup
from lagoonpost.systems.permit_issuer import (
    MIN_RATE,
    Denied,
    Granted,
    PermitIssuer,
    find_longest_reservation,
)
from lagoonpost.systems.statements import BRITTLE_SECONDS, Statements
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.permit import (
    LimitNews,
    PermitClaim,
    PermitReply,
    PermitRequest,
)
from lagoonpost.tables.stated_limits import NO_LIMITS, StatedLimits

ASK_SECONDS = 0.005
"""Time to ask the issuer: a round trip between gateways."""
FALLBACK_SHARE = 0.5
"""Share of a gateway's equal part that it may use without the issuer."""
SILENCE_SECONDS = 0.5
"""How long an issuer that did not answer is not asked again."""
RENEWAL_SECONDS = BRITTLE_SECONDS / 4
"""Time after which gateways are told again that a service is brittle, so that
two messages in a row may be lost."""
VIEW_SECONDS = 0.2
"""How long a gateway that says that it doesn't issue the permits isn't asked
again: views of who is running converge within some tenths of a second."""


class Ask(NamedTuple):
    """Another gateway issues the permit and has to be asked.

    Attributes:
        issuer: Name of that gateway.
        request: The request for it.
    """

    issuer: str
    request: PermitRequest


class Tell(NamedTuple):
    """Other gateways are to be told something.

    Attributes:
        gateway: Name of the gateway; None for all.
        news: What runners said, or who issues a runner's permits.
    """

    gateway: str | None
    news: LimitNews | PermitClaim


class RunnerLimits:
    """What each runner bears, and when this gateway may send to it.

    Args:
        name: Name of this gateway.
        started: Time in seconds at which this process started.
        rng: Source of random choices.

    Attributes:
        cold: Runners that have just started.
        group: The gateways among which limits are shared.
    """

    def __init__(self, name: str, started: float, rng: Random) -> None:
        self._name = name
        self._rng = rng
        self.cold = ColdStarts()
        self.group = PermitGroup(name, started)
        self._claims = PermitClaims(name, self.group)
        self._statements = Statements()
        self._brittle = BrittleRunners(name, rng)
        self._issuer = PermitIssuer()
        self._fallback = PermitIssuer()
        self._earliest: dict[str, float] = {}
        self._silent_until: dict[str, float] = {}
        self._told: dict[str, tuple[bool, bool]] = {}
        self._renewed: dict[str, float] = {}
        self._asked: dict[str, float] = {}
        self._tells: list[Tell] = []
        self._numbers = 0

    # What is known

    def forget(self, runner: str) -> None:
        """Forget a runner that is gone or has restarted."""
        self.cold.forget(runner)
        self._statements.forget(runner)
        self._issuer.forget(runner)
        self._fallback.forget(runner)
        self._claims.forget(runner)
        self._earliest.pop(runner, None)
        self._told.pop(runner, None)

    def note_gateways(
        self,
        running: Iterable[str],
        introduced: Iterable[str],
        absent: Iterable[str],
        now: float,
    ) -> None:
        """Record the gateways; see ``PermitGroup.note_gateways``."""
        known = self.group.running
        self.group.note_gateways(running, introduced, absent)
        self._brittle.note_gateways(self.group.running)
        for gateway in sorted(self.group.running - known):
            self._tell_new(gateway, now)

    def _tell_new(self, gateway: str, now: float) -> None:
        """Tell a gateway that has just been noticed of all limits."""
        statements = [
            statement
            for statement in self._statements.list_limited(now)
            if self.group.is_issuer(statement.runner)
        ]
        if statements:
            self._tells.append(Tell(gateway, LimitNews(tuple(statements))))

    def has_statements(self) -> bool:
        """Return whether any runner has named a limit."""
        return self._statements.has_any()

    def note_reports(
        self, own: Mapping[str, int], others: Mapping[str, int], now: float
    ) -> None:
        """Record the work of all gateways by new reports.

        Args:
            own: This gateway's requests by runner.
            others: The other gateways' requests by runner.
            now: Time in seconds.
        """
        self._statements.forget_old(now)
        if self._statements.has_any():
            self._brittle.note_reports(own, others)
        else:
            self._brittle.forget_all()

    def note_answer(
        self,
        endpoint: Endpoint,
        limits: StatedLimits,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record the limits in an answer to this gateway.

        Args:
            endpoint: The runner.
            limits: The limits that it names.
            sent_at: Time in seconds at which the request was sent.
            now: Time in seconds.

        Returns:
            Whether the runner names other limits than before.
        """
        changed = self._statements.note_answer(endpoint, limits, sent_at, now)
        renews = self._is_renewal_due(endpoint.service, limits, now)
        if self.group.is_issuer(endpoint.id):
            if changed or renews:
                self._tell_all(endpoint.id, now, renews)
        elif changed or (renews and self._may_ask(endpoint.service, now)):
            self._asked[endpoint.service] = now
            self._tell(self.group.find_issuer(endpoint.id), endpoint.id, now)
        return changed

    def _is_renewal_due(
        self, service: str, limits: StatedLimits, now: float
    ) -> bool:
        """Return whether all have to be told again that a service is brittle.

        Args:
            service: The service.
            limits: Limits that one of its runners has just named.
            now: Time in seconds.
        """
        latest = self._renewed.get(service, -math.inf)
        return limits.refusals is not None and now >= latest + RENEWAL_SECONDS

    def _may_ask(self, service: str, now: float) -> bool:
        """Return whether an issuer may be asked again to tell all."""
        return now >= self._asked.get(service, -math.inf) + RENEWAL_SECONDS

    def note_refused(self, endpoint: Endpoint, now: float) -> None:
        """Record that a runner turned a request away for want of room."""
        refusals = self._statements.find_limits(endpoint, now).refusals
        if refusals is not None:
            self._brittle.note_refused(endpoint.id, refusals, now)

    def handle_claim(self, claim: PermitClaim, now: float) -> None:
        """Record that another gateway issues the permits for a runner."""
        self._claims.handle_claim(claim, now)

    def handle_news(self, news: LimitNews, now: float) -> None:
        """Record what another gateway knows of runners."""
        for statement in news.statements:
            changed = self._statements.note_news(statement, now)
            limits, service = statement.limits, statement.service
            if self.group.is_issuer(statement.runner):
                renews = self._is_renewal_due(service, limits, now)
                if changed or renews:
                    self._tell_all(statement.runner, now, renews)
            elif limits.refusals is not None:
                self._renewed[service] = now

    def _tell_all(self, runner: str, now: float, renews: bool = False) -> None:
        """Tell all gateways if a limit has begun or ended, or to renew it."""
        statement = self._statements.find_statement(runner, now)
        limits = statement.limits if statement else NO_LIMITS
        kinds = limits.rate is not None, limits.refusals is not None
        if renews or self._told.get(runner, (False, False)) != kinds:
            self._told[runner] = kinds
            self._tell(None, runner, now)
            if statement is not None and kinds[1]:
                self._renewed[statement.service] = now

    def _tell(self, gateway: str | None, runner: str, now: float) -> None:
        statement = self._statements.find_statement(runner, now)
        if statement is not None:
            self._tells.append(Tell(gateway, LimitNews((statement,))))

    def take_tells(self) -> list[Tell]:
        """Return what other gateways are to be told, and forget it."""
        tells, self._tells = self._tells, []
        return tells

    # The decision

    def find_rate(
        self, endpoint: Endpoint, cold_rate: float, now: float
    ) -> float | None:
        """Return the requests a second that a runner bears; None for any.

        Args:
            endpoint: The runner.
            cold_rate: Requests a second that a cold runner of its service
                bears; 0 for any number.
            now: Time in seconds.
        """
        rate = self._statements.find_limits(endpoint, now).rate
        cold = self._find_cold_rate(endpoint.id, cold_rate, now)
        return min((r for r in (rate, cold) if r is not None), default=None)

    def _find_cold_rate(
        self, runner: str, cold_rate: float, now: float
    ) -> float | None:
        is_cold = cold_rate > 0 and self.cold.is_cold(runner, now)
        return cold_rate if is_cold else None

    def has_room(self, endpoint: Endpoint, requests: int, now: float) -> bool:
        """Return whether a runner has room for a request of this gateway.

        Args:
            endpoint: The runner.
            requests: This gateway's open requests there.
            now: Time in seconds.
        """
        limits = self._statements.find_limits(endpoint, now)
        return limits.refusals is None or self._brittle.may_send(
            endpoint, requests, now
        )

    def find_wait(
        self,
        endpoint: Endpoint,
        cold_rate: float,
        requests: int,
        longest: float,
        now: float,
    ) -> float | None:
        """Return the least seconds until a request may be sent to a runner.

        Args:
            endpoint: The runner.
            cold_rate: Requests a second that a cold runner of its service
                bears; 0 for any number.
            requests: This gateway's open requests there.
            longest: Seconds for which the request may wait.
            now: Time in seconds.

        Returns:
            The seconds; None if it may not be sent in time.
        """
        if not self.has_room(endpoint, requests, now):
            return None
        rate = self.find_rate(endpoint, cold_rate, now)
        if rate is None:
            return 0.0
        wait = self.find_earliest(endpoint.id, now)
        may_wait = wait <= find_longest_reservation(rate, longest)
        return max(ASK_SECONDS, wait) if may_wait else None

    def find_earliest(self, runner: str, now: float) -> float:
        """Return the seconds for which all requests to a runner are denied."""
        return max(0.0, self._earliest.get(runner, now) - now)

    def request_permit(
        self, endpoint: Endpoint, cold_rate: float, longest: float, now: float
    ) -> Granted | Denied | Ask:
        """Request to send one request to a runner.

        Args:
            endpoint: The runner.
            cold_rate: Requests a second that a cold runner of its service
                bears; 0 for any number.
            longest: Seconds for which the request may wait.
            now: Time in seconds.
        """
        rate = self.find_rate(endpoint, cold_rate, now)
        if rate is None:
            return Granted(0.0)
        runner = endpoint.id
        issuer = self._claims.find_issuer(runner, now)
        if issuer == self._name:
            return self._issue(runner, rate, longest, now)
        if now < self._silent_until.get(issuer, now):
            return self._fall_back(runner, rate, longest, now)
        self._numbers += 1
        request = PermitRequest(
            self._numbers,
            runner,
            self._find_cold_rate(runner, cold_rate, now),
            longest,
            self._statements.find_statement(runner, now),
        )
        return Ask(issuer, request)

    def handle_reply(
        self,
        ask: Ask,
        endpoint: Endpoint,
        cold_rate: float,
        reply: PermitReply | None,
        now: float,
    ) -> Granted | Denied:
        """Handle the issuer's reply.

        Args:
            ask: What the issuer was asked.
            endpoint: The runner.
            cold_rate: Requests a second that a cold runner of its service
                bears; 0 for any number.
            reply: The reply; None if there was none in time.
            now: Time in seconds.
        """
        if reply is not None and reply.statement is not None:
            self._statements.note_news(reply.statement, now)
        if reply is None or reply.outcome == "not_issuer":
            pause = SILENCE_SECONDS if reply is None else VIEW_SECONDS
            self._silent_until[ask.issuer] = now + pause
            rate = self.find_rate(endpoint, cold_rate, now)
            if rate is None:
                return Granted(0.0)
            longest = ask.request.longest
            return self._fall_back(endpoint.id, rate, longest, now)
        self._fallback.forget(endpoint.id)
        if reply.outcome == "granted":
            return Granted(reply.wait)
        self._earliest[endpoint.id] = now + reply.wait
        return Denied(reply.wait)

    def handle_request(
        self, request: PermitRequest, now: float
    ) -> PermitReply:
        """Handle another gateway's request for a permit."""
        runner = request.runner
        if self._claims.find_issuer(runner, now) != self._name:
            return PermitReply(request.number, "not_issuer", 0.0, None)
        if request.statement is not None:
            self.handle_news(LimitNews((request.statement,)), now)
        statement = self._statements.find_statement(runner, now)
        stated = statement.limits.rate if statement else None
        rates = [r for r in (request.rate, stated) if r is not None]
        decision: Granted | Denied = Granted(0.0)
        if rates:
            decision = self._issue(runner, min(rates), request.longest, now)
        is_granted = isinstance(decision, Granted)
        return PermitReply(
            request.number,
            "granted" if is_granted else "denied",
            decision.wait,
            statement,
        )

    def _issue(
        self, runner: str, rate: float, longest: float, now: float
    ) -> Granted | Denied:
        """Issue a permit for all gateways of this group.

        After a cut, there may be many small groups, whose first permits must
        not be due at the same moment.
        """
        for gateway in self._claims.list_due(runner, now):
            self._tells.append(Tell(gateway, PermitClaim(runner, self._name)))
        share = self.group.find_share()
        rate = share * max(MIN_RATE, rate)
        if share < 1 and not self._issuer.knows(runner):
            self._issuer.delay(runner, now + self._rng.random() / rate)
        return self._issue_from(self._issuer, runner, rate, longest, now)

    def _fall_back(
        self, runner: str, rate: float, longest: float, now: float
    ) -> Granted | Denied:
        """Issue a permit from this gateway's own part.

        The first one is due at a random time, as all gateways may lose the
        issuer at the same moment.
        """
        rate = FALLBACK_SHARE * max(MIN_RATE, rate) / self.group.count()
        if not self._fallback.knows(runner):
            self._fallback.delay(runner, now + self._rng.random() / rate)
        return self._issue_from(self._fallback, runner, rate, longest, now)

    def _issue_from(
        self,
        issuer: PermitIssuer,
        runner: str,
        rate: float,
        longest: float,
        now: float,
    ) -> Granted | Denied:
        settling = self.group.find_settling_time(now)
        if settling:
            decision: Granted | Denied = Denied(settling)
        else:
            decision = issuer.issue(runner, rate, longest, now)
        if isinstance(decision, Denied) and issuer is self._issuer:
            self._earliest[runner] = now + decision.wait
        return decision
