"""Identifies the requests that crash their runners.

Load pattern: now and then one request crashes each runner that runs it, and
its caller resends it through any gateway. Without a verdict every resend and
every retry costs another runner, and the requests running next to it are lost
each time. If the verdict comes too quickly, a reclaim or a faulty version gets
innocent requests refused, or reserves a runner for each request of the lost
one.

The evidence consists of pairs of a request's fingerprint and the runner that
was lost without notice while running it. Pairs are only ever added, so
gateways can merge them in any order and reach the same verdict. Thresholds:

- Each request on a lost runner runs alone next, until it completes. In
  simulated fleets this cost 2.0 runners for each poison request. Isolating
  only requests with a probability of a third or more cost 2.5 to 3.0, and on
  five busy runners the callers' mean wait rose from 17 s to 41 s: there a lost
  runner costs more than a runner that is reserved for a while.
- Two lost runners, one of them lost with nothing else on it, convict a
  request. So do ``LOSSES_TO_CONVICT`` lost runners in any case, unless another
  request was on all of them: the probability that an innocent request meets
  three unannounced losses is 1e-9, at 50 of 2 800 hosts a day and an hour of
  drafting and resending.
- Runners lost within ``WAVE_SECONDS`` of each other with no request in common
  were not crashed by one request: hosts are reclaimed in waves, a poison
  request crashes one runner at a time.
- A version is at fault if ``LOSSES_TO_BLAME_VERSION`` of its runners were lost
  and no two requests explain the losses. Until then, losses on a single
  version convict no request that another version could run: a suspect is sent
  to another version (``find_versions_to_avoid``), which decides the case.
  ``LOSSES_TO_CONVICT_ON_ONE_VERSION`` decides it if no runner of another
  version is free.
- A request that completes is cleared of its earlier losses.
"""

from collections.abc import Iterable, Mapping
from math import inf
from typing import Literal, NamedTuple

Verdict = Literal["alone", "refused"]

LOSSES_TO_CONVICT = 3
LOSSES_TO_CONVICT_ON_ONE_VERSION = 6
LOSSES_TO_BLAME_VERSION = 3
# The losses of a wave are detected within milliseconds by closed connections,
# or within about two seconds by the silence limit and a probe.
WAVE_SECONDS = 2.0


class Loss(NamedTuple):
    """A runner that was lost without notice while it ran a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        runner: Name of the lost runner.
        version: Version that the runner served.
        at: Time in seconds since the epoch.
        concurrent: Number of other requests known to run on it at the time.
    """

    fingerprint: str
    runner: str
    version: str
    at: float
    concurrent: int


class Quarantine:
    """Evidence on lost runners and on the requests that ran on them."""

    def __init__(self) -> None:
        self._losses: dict[tuple[str, str], Loss] = {}
        self._cleared: dict[str, float] = {}
        self._refused: set[str] = set()

    def add(self, loss: Loss) -> bool:
        """Add a loss and return whether it changed the evidence."""
        key = (loss.fingerprint, loss.runner)
        known = self._losses.get(key)
        if known is not None and known <= loss:
            return False
        # Of two reports of one loss the smaller is kept, so that the order of
        # reports does not matter.
        self._losses[key] = loss
        return True

    def record_completion(self, fingerprint: str, at: float) -> None:
        """Record that a request completed at time ``at``."""
        known = self._cleared.get(fingerprint, -inf)
        self._cleared[fingerprint] = max(known, at)

    def record_conviction(self, fingerprint: str) -> None:
        """Record that a request was convicted, here or at another gateway."""
        self._refused.add(fingerprint)

    def is_convicted(self, fingerprint: str) -> bool:
        """Return whether a conviction was recorded."""
        return fingerprint in self._refused

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a completion of this request is worth publishing."""
        return any(loss.fingerprint == fingerprint for loss in self._counted())

    def compute_verdicts(self, serving: Iterable[str]) -> dict[str, Verdict]:
        """Return the verdicts by request fingerprint.

        Args:
            serving: Versions that accept new requests.
        """
        case = _Case(self._counted(), frozenset(serving))
        refused = case.find_convicted() | self._refused
        verdicts: dict[str, Verdict] = dict.fromkeys(
            case.find_suspects(refused), "alone"
        )
        verdicts.update(dict.fromkeys(refused, "refused"))
        return verdicts

    def find_versions_to_avoid(self, fingerprint: str) -> frozenset[str]:
        """Return the versions on which a suspect's runners were lost."""
        return frozenset(
            loss.version
            for loss in self._counted()
            if loss.fingerprint == fingerprint
        )

    def find_faulty_versions(self) -> frozenset[str]:
        """Return the versions that crash regardless of the request."""
        return _Case(self._counted(), frozenset()).blamed

    def expire(self, before: float) -> None:
        """Drop evidence older than ``before``; convictions are kept."""
        for key, loss in list(self._losses.items()):
            if loss.at < before:
                del self._losses[key]
        for fingerprint, at in list(self._cleared.items()):
            if at < before:
                del self._cleared[fingerprint]

    def _counted(self) -> list[Loss]:
        return [
            loss
            for loss in self._losses.values()
            if loss.at > self._cleared.get(loss.fingerprint, -inf)
        ]


class _Case:
    """The losses that count, indexed by request and by runner."""

    def __init__(self, losses: list[Loss], serving: frozenset[str]) -> None:
        self.by_request: dict[str, list[Loss]] = {}
        self.on_runner: dict[str, list[Loss]] = {}
        for loss in losses:
            self.by_request.setdefault(loss.fingerprint, []).append(loss)
            self.on_runner.setdefault(loss.runner, []).append(loss)
        self._serving = serving
        self._waves = self._find_waves()
        self.blamed = self._find_blamed()

    def find_convicted(self) -> frozenset[str]:
        """Return the requests that are known to crash runners."""
        return frozenset(
            fingerprint
            for fingerprint, losses in self.by_request.items()
            if self._is_convicted(losses)
        )

    def find_suspects(self, convicted: frozenset[str]) -> frozenset[str]:
        """Return the requests that may have caused the loss of a runner.

        Once a request is convicted, the others on its lost runners are
        cleared.
        """
        return frozenset(
            fingerprint
            for fingerprint, losses in self.by_request.items()
            if any(
                self._is_relevant(loss)
                and not convicted.intersection(
                    other.fingerprint for other in self.on_runner[loss.runner]
                )
                for loss in losses
            )
        )

    def _is_convicted(self, losses: list[Loss]) -> bool:
        losses = [loss for loss in losses if loss.version not in self.blamed]
        threshold = LOSSES_TO_CONVICT_ON_ONE_VERSION
        if self._excludes_version(losses):
            threshold = LOSSES_TO_CONVICT
        shared = threshold == LOSSES_TO_CONVICT and self._is_shared(losses)
        if len(losses) >= threshold and not shared:
            return True
        relevant = [loss for loss in losses if self._is_relevant(loss)]
        return (
            len(relevant) >= 2
            and self._excludes_version(relevant)
            and any(self._ran_alone(loss.runner) for loss in relevant)
        )

    def _is_shared(self, losses: list[Loss]) -> bool:
        """Return whether another request was on all of these runners too.

        Either of the two may have crashed them. Two gateways that sent a
        poison request and an innocent one to the same runners would refuse
        both permanently; instead both run alone until a further loss
        implicates one of them.
        """
        runners = {loss.runner for loss in losses}
        return any(
            fingerprint != losses[0].fingerprint
            and runners <= {loss.runner for loss in others}
            for fingerprint, others in self.by_request.items()
            if losses
        )

    def _is_relevant(self, loss: Loss) -> bool:
        if loss.version in self.blamed:
            return False
        return loss.runner not in self._waves

    def _ran_alone(self, runner: str) -> bool:
        losses = self.on_runner[runner]
        return len(losses) == 1 and losses[0].concurrent == 0

    def _excludes_version(self, losses: list[Loss]) -> bool:
        """Return whether the version cannot be the cause of these losses."""
        versions = {loss.version for loss in losses}
        return len(versions) > 1 or not self._serving - versions

    def _find_waves(self) -> frozenset[str]:
        waves: set[str] = set()
        lost_at = sorted(
            (min(loss.at for loss in losses), runner)
            for runner, losses in self.on_runner.items()
        )
        for index, (at, runner) in enumerate(lost_at):
            for later, other in lost_at[index + 1 :]:
                if later - at > WAVE_SECONDS:
                    break
                if not self._share_request(runner, other):
                    waves |= {runner, other}
        return frozenset(waves)

    def _share_request(self, runner: str, other: str) -> bool:
        own = {loss.fingerprint for loss in self.on_runner[runner]}
        return any(loss.fingerprint in own for loss in self.on_runner[other])

    def _find_blamed(self) -> frozenset[str]:
        lost: dict[str, dict[str, set[str]]] = {}
        for runner, losses in self.on_runner.items():
            if runner not in self._waves:
                version = lost.setdefault(losses[0].version, {})
                version[runner] = {loss.fingerprint for loss in losses}
        return frozenset(
            version
            for version, runners in lost.items()
            if len(runners) >= LOSSES_TO_BLAME_VERSION
            and not _is_explained(runners)
        )


def _is_explained(runners: Mapping[str, set[str]]) -> bool:
    """Return whether two requests account for all of the lost runners.

    Two, because two callers may send such a request at the same time. The
    request on most runners is taken first. The crashes of a faulty version
    have nothing in common but the few requests that were retried on it.
    """
    unexplained = list(runners.values())
    for _ in range(2):
        counts: dict[str, int] = {}
        for requests in unexplained:
            for fingerprint in requests:
                counts[fingerprint] = counts.get(fingerprint, 0) + 1
        if not counts:
            break
        most = max(sorted(counts), key=counts.__getitem__)
        unexplained = [
            requests for requests in unexplained if most not in requests
        ]
    return not unexplained
