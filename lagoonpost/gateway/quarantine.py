"""Gathers lost runners and completions, and spreads what they prove."""

import asyncio
import time
from collections.abc import Callable

import eliot
import msgspec

from lagoonpost.gateway.state import Gateway
from lagoonpost.systems.event import Quarantined
from lagoonpost.systems.quarantine import Loss, Quarantine
from lagoonpost.tables.entity import Runner
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.request import RequestRow

# Longer than a caller goes on resending, and a bound on what is held.
EVIDENCE_TTL_SECONDS = 24 * 3600.0
# Twenty times the time that a fact takes to all gateways (10 to 25 ms over
# loopback); the connections of a dead process are closed in no time.
SETTLE_SECONDS = 0.5
CLOCK_SLACK_SECONDS = 0.01
# A conviction outranks each time, in milliseconds, of a completion.
_CONVICTION_RANK = 2**62


class QuarantineTracker:
    """One gateway's evidence on requests that crash runners.

    Args:
        gateway: Whose requests are judged.
        publish: Spreads a fact to the other gateways.
    """

    def __init__(
        self, gateway: Gateway, publish: Callable[[Fact], None]
    ) -> None:
        self._gateway = gateway
        self._publish = publish
        self._quarantines: dict[str, Quarantine] = {}
        self._verdicts: dict[str, dict[str, str]] = {}
        self._unsettled_since: dict[str, float] = {}

    async def record_loss(self, row: RequestRow, runner: Runner) -> None:
        """Take in that a runner was lost under a request.

        Returns when the verdict on the request stands.
        """
        # Who left as announced was not crashed by what it ran.
        if self._gateway.is_leaving(runner.name):
            return
        now = time.time()
        beside = self._count_concurrent(row, runner)
        loss = Loss(row.fingerprint, runner.name, runner.version, now, beside)
        if not self._get_quarantine(row.service).add(loss):
            return
        key = f"{row.service}/{row.fingerprint}/{runner.name}"
        body = msgspec.msgpack.encode(loss)
        self._publish(
            Fact("crash_seen", key, 1, body, now + EVIDENCE_TTL_SECONDS)
        )
        self._update_verdicts(row.service)
        if row.fingerprint in self._unsettled_since:
            await asyncio.sleep(SETTLE_SECONDS)
            self._update_verdicts(row.service)

    def record_completion(self, row: RequestRow) -> None:
        """Take in that a request completed."""
        case = self._quarantines.get(row.service)
        if case is None or not case.is_suspect(row.fingerprint):
            return
        now = time.time()
        case.record_completion(row.fingerprint, now)
        key = f"{row.service}/{row.fingerprint}"
        rank = int(now * 1000)
        end = now + EVIDENCE_TTL_SECONDS
        self._publish(Fact("poison_verdict", key, rank, b"", end))
        self._update_verdicts(row.service)

    def handle_fact(self, fact: Fact) -> None:
        """Take in what another gateway saw."""
        service, fingerprint, *_ = fact.key.split("/")
        case = self._get_quarantine(service)
        if fact.kind == "crash_seen":
            case.add(msgspec.msgpack.decode(fact.body, type=Loss))
        elif fact.rank == _CONVICTION_RANK:
            case.record_conviction(fingerprint)
        else:
            case.record_completion(fingerprint, fact.rank / 1000)
        self._update_verdicts(service)

    def _get_quarantine(self, service: str) -> Quarantine:
        return self._quarantines.setdefault(service, Quarantine())

    def _count_concurrent(self, row: RequestRow, runner: Runner) -> int:
        pool = self._gateway.dispatcher.tables.pools.get(row.service)
        flights = pool.flights.items() if pool else ()
        return sum(
            flight.runner == runner.name and request_id != row.id
            for request_id, flight in flights
        )

    def _update_verdicts(self, service: str) -> None:
        """Tell the decisions which verdicts have changed."""
        case = self._quarantines[service]
        case.expire(time.time() - EVIDENCE_TTL_SECONDS)
        serving = {
            version.name
            for version in self._gateway.declaration.versions
            if version.service == service and version.share > 0
        }
        before = self._verdicts.get(service, {})
        after = dict[str, str](case.compute_verdicts(serving))
        for fingerprint in before.keys() | after.keys():
            if after.get(fingerprint) != "refused":
                self._unsettled_since.pop(fingerprint, None)
            elif not self._is_settled(service, fingerprint):
                after[fingerprint] = "alone"
        self._verdicts[service] = after
        for fingerprint in before.keys() | after.keys():
            verdict = after.get(fingerprint, "free")
            if verdict == before.get(fingerprint, "free"):
                continue
            self._publish_verdict(
                service,
                fingerprint,
                verdict,
                case.find_versions_to_avoid(fingerprint),
            )

    def _is_settled(self, service: str, fingerprint: str) -> bool:
        """Tell whether a conviction is old enough to be pronounced.

        Two suspects on one runner, each sent by another gateway, both look
        as if they had been alone on it until both losses are known
        everywhere. Without the wait the innocent one is refused for good.
        """
        if self._verdicts.get(service, {}).get(fingerprint) == "refused":
            return True
        if self._quarantines[service].is_convicted(fingerprint):
            return True
        loop = asyncio.get_running_loop()
        since = self._unsettled_since.get(fingerprint)
        if since is None:
            self._unsettled_since[fingerprint] = loop.time()
            loop.call_later(SETTLE_SECONDS, self._update_verdicts, service)
            return False
        return loop.time() - since >= SETTLE_SECONDS - CLOCK_SLACK_SECONDS

    def _publish_verdict(
        self,
        service: str,
        fingerprint: str,
        verdict: str,
        avoid: frozenset[str],
    ) -> None:
        eliot.log_message(
            message_type="lagoonpost:gateway:quarantined",
            service=service,
            fingerprint=fingerprint,
            verdict=verdict,
        )
        self._gateway.dispatcher.notify(
            Quarantined(fingerprint, verdict, avoid)
        )
        if verdict == "refused":
            self._unsettled_since.pop(fingerprint, None)
            self._quarantines[service].record_conviction(fingerprint)
            key = f"{service}/{fingerprint}"
            self._publish(Fact("poison_verdict", key, _CONVICTION_RANK))
            self._stop_answers(fingerprint)

    def _stop_answers(self, fingerprint: str) -> None:
        # What still runs elsewhere would take its runner down as well.
        for answer in tuple(self._gateway.answers):
            if answer.call.digest == fingerprint and answer.relayed:
                answer.relayed.give_up("poison", None)
