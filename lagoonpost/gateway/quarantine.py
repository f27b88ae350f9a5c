"""Collects evidence on requests that crash runners and shares verdicts."""

import asyncio
import time
from collections.abc import Callable

import eliot
import msgspec

from lagoonpost.gateway.state import Gateway
from lagoonpost.systems.event import Quarantined
from lagoonpost.systems.quarantine import Loss, Quarantine
from lagoonpost.tables.decoding import Unreadable
from lagoonpost.tables.entity import Runner
from lagoonpost.tables.fact import Fact
from lagoonpost.tables.request import RequestRow
from lagoonpost.unreadable import read_fact

# Longer than any caller keeps retrying a request; also bounds the memory used
# for evidence.
EVIDENCE_TTL_SECONDS = 24 * 3600.0
# Twenty times the time that a fact needs to reach all gateways (10 to 25 ms
# over loopback). Loss detection adds almost nothing, since the connections of
# a dead process close at once.
SETTLE_SECONDS = 0.5
CLOCK_SLACK_SECONDS = 0.01
# Fact rank of a conviction: higher than that of any completion, which is its
# time in milliseconds.
_CONVICTION_RANK = 2**62


class QuarantineTracker:
    """Tracks requests that crash runners, on one gateway.

    Args:
        gateway: Gateway whose requests are tracked.
        publish: Publishes a fact to the other gateways.
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
        """Record that a runner was lost while it ran a request.

        Returns once the verdict on the request is settled.

        Args:
            row: The request.
            runner: The lost runner.
        """
        # A runner that left as announced was not crashed by the request.
        if self._gateway.is_leaving(runner.name):
            return
        now = time.time()
        concurrent = self._count_concurrent(row, runner)
        loss = Loss(
            row.fingerprint, runner.name, runner.version, now, concurrent
        )
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
        """Record that a request completed."""
        quarantine = self._quarantines.get(row.service)
        if quarantine is None or not quarantine.is_suspect(row.fingerprint):
            return
        now = time.time()
        quarantine.record_completion(row.fingerprint, now)
        key = f"{row.service}/{row.fingerprint}"
        rank = int(now * 1000)
        end = now + EVIDENCE_TTL_SECONDS
        self._publish(Fact("poison_verdict", key, rank, b"", end))
        self._update_verdicts(row.service)

    def handle_fact(self, fact: Fact) -> None:
        """Apply a loss, completion or conviction from another gateway."""
        service, fingerprint, *_ = (*fact.key.split("/"), "")
        quarantine = self._get_quarantine(service)
        if fact.kind == "crash_seen":
            loss = read_fact(fact, Loss)
            if isinstance(loss, Unreadable):
                return
            quarantine.add(loss)
        elif fact.rank == _CONVICTION_RANK:
            quarantine.record_conviction(fingerprint)
        else:
            quarantine.record_completion(fingerprint, fact.rank / 1000)
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
        """Recompute the verdicts on a service and publish changed ones."""
        quarantine = self._quarantines[service]
        quarantine.expire(time.time() - EVIDENCE_TTL_SECONDS)
        serving = {
            version.name
            for version in self._gateway.declaration.versions
            if version.service == service and version.share > 0
        }
        old_verdicts = self._verdicts.get(service, {})
        verdicts = dict[str, str](quarantine.compute_verdicts(serving))
        for fingerprint in old_verdicts.keys() | verdicts.keys():
            if verdicts.get(fingerprint) != "refused":
                self._unsettled_since.pop(fingerprint, None)
            elif not self._is_settled(service, fingerprint):
                verdicts[fingerprint] = "alone"
        self._verdicts[service] = verdicts
        for fingerprint in old_verdicts.keys() | verdicts.keys():
            verdict = verdicts.get(fingerprint, "free")
            if verdict == old_verdicts.get(fingerprint, "free"):
                continue
            self._publish_verdict(
                service,
                fingerprint,
                verdict,
                quarantine.find_versions_to_avoid(fingerprint),
            )

    def _is_settled(self, service: str, fingerprint: str) -> bool:
        """Return whether a refusal has settled and may take effect.

        Two suspect requests that different gateways sent to one runner both
        seem to have been alone on it until all gateways know of both losses.
        Without the wait, the innocent request would be refused for good.
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
        # An attempt still running on another runner would crash it as well.
        for answer in tuple(self._gateway.answers):
            if answer.call.digest == fingerprint and answer.relayed:
                answer.relayed.give_up("poison", None)
