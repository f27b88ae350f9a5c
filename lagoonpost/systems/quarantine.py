"""Which requests crash the runners that run them, told from bad luck.

Pattern of load: now and then one request crashes each runner that runs it
and its caller sends it again, through any gateway. Without a verdict every
resend and every retry of ours costs one more runner, and the requests
beside it are cut off each time. With too quick a verdict, a reclaim or a
bad version gets innocent requests refused, or holds a runner free for each
request that was on the lost one.

The evidence is pairs of a request's fingerprint and the runner that was
lost under it, without notice. Pairs only add up, so gateways may merge
them in any order and judge alike. Thresholds:

- Each request on a lost runner runs alone next, until it completes. In
  played fleets this cost 2.0 runners for each poison request. Isolating
  only those with a chance of a third or more cost 2.5 to 3.0, and on five
  busy runners the callers' mean wait rose from 17 s to 41 s: there a lost
  runner costs more than a runner that is kept free for a while.
- Two lost runners, one of them lost with nothing else on it, convict. So
  do ``MOST_LOSSES`` runners at all, unless another request was on all of
  them: that an innocent request meets three unannounced losses has a chance
  of 1e-9, at 50 of 2 800 hosts a day and an hour of drafting and resending.
- Runners lost within ``WAVE_SECONDS`` with no request in common were not
  crashed by one request: hosts go in waves, a poison request one at a time.
- A version is to blame if ``BLAME`` of its runners were lost and no two
  requests account for them. Until then, one version's losses convict no
  request that another version could have run: a suspect goes to another
  version (``avoid``), which settles it. ``MOST_ON_VERSION`` ends the case
  of a placement that has no room there.
- A request that completed is cleared of what came before.
"""

from collections.abc import Iterable, Mapping
from math import inf
from typing import Literal, NamedTuple

Verdict = Literal["alone", "refused"]

LOSSES_TO_CONVICT = 3
LOSSES_TO_CONVICT_ON_ONE_VERSION = 6
LOSSES_TO_BLAME_VERSION = 3
# A wave is noticed by closed connections within milliseconds, or by the
# silence limit and a probe within about two seconds.
WAVE_SECONDS = 2.0


class Loss(NamedTuple):
    """A runner was lost without notice while it ran a request.

    Attributes:
        fingerprint: Of the request.
        runner: Name of the lost runner.
        version: Version that it ran.
        at: Time in seconds since the epoch.
        beside: Requests known to have run beside it.
    """

    fingerprint: str
    runner: str
    version: str
    at: float
    concurrent: int


class Quarantine:
    """What is known of lost runners and of the requests on them."""

    def __init__(self) -> None:
        self._losses: dict[tuple[str, str], Loss] = {}
        self._cleared: dict[str, float] = {}
        self._refused: set[str] = set()

    def add(self, loss: Loss) -> bool:
        """Take a loss in and tell whether it is news."""
        key = (loss.fingerprint, loss.runner)
        known = self._losses.get(key)
        if known is not None and known <= loss:
            return False
        # Of two reports of one loss the smaller holds, in any order.
        self._losses[key] = loss
        return True

    def record_completion(self, fingerprint: str, at: float) -> None:
        """Take in that a request completed at time ``at``."""
        known = self._cleared.get(fingerprint, -inf)
        self._cleared[fingerprint] = max(known, at)

    def record_conviction(self, fingerprint: str) -> None:
        """Take in that a request was convicted, here or elsewhere."""
        self._refused.add(fingerprint)

    def is_convicted(self, fingerprint: str) -> bool:
        """Tell whether a conviction was taken in."""
        return fingerprint in self._refused

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a completion of this request is worth telling."""
        return any(loss.fingerprint == fingerprint for loss in self._counted())

    def compute_verdicts(self, serving: Iterable[str]) -> dict[str, Verdict]:
        """Return the verdict on each request that has one.

        Args:
            serving: Versions that new requests can be sent to.
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
        """Return the versions that crash on their own."""
        return _Case(self._counted(), frozenset()).blamed

    def expire(self, before: float) -> None:
        """Drop what happened before a time; convictions stay."""
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
    """The losses that count, arranged by request and by runner."""

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
        """Return the requests that may be why a runner was lost.

        Once one is convicted, those that were beside it are free again.
        """
        return frozenset(
            fingerprint
            for fingerprint, losses in self.by_request.items()
            if any(
                self._counts(loss)
                and not convicted.intersection(
                    other.fingerprint for other in self.on_runner[loss.runner]
                )
                for loss in losses
            )
        )

    def _is_convicted(self, losses: list[Loss]) -> bool:
        losses = [loss for loss in losses if loss.version not in self.blamed]
        most = LOSSES_TO_CONVICT_ON_ONE_VERSION
        if self._excludes_version(losses):
            most = LOSSES_TO_CONVICT
        shared = most == LOSSES_TO_CONVICT and self._is_shared(losses)
        if len(losses) >= most and not shared:
            return True
        telling = [loss for loss in losses if self._counts(loss)]
        return (
            len(telling) >= 2
            and self._excludes_version(telling)
            and any(self._was_alone(loss.runner) for loss in telling)
        )

    def _is_shared(self, losses: list[Loss]) -> bool:
        """Tell whether another request was on all of these runners too.

        Either of the two may have crashed them. Two gateways that sent a
        poison request and an innocent one to the same runners would refuse
        both for good; they run alone until a runner tells them apart.
        """
        runners = {loss.runner for loss in losses}
        return any(
            fingerprint != losses[0].fingerprint
            and runners <= {loss.runner for loss in others}
            for fingerprint, others in self.by_request.items()
            if losses
        )

    def _counts(self, loss: Loss) -> bool:
        if loss.version in self.blamed:
            return False
        return loss.runner not in self._waves

    def _was_alone(self, runner: str) -> bool:
        losses = self.on_runner[runner]
        return len(losses) == 1 and losses[0].concurrent == 0

    def _excludes_version(self, losses: list[Loss]) -> bool:
        """Tell whether the version can't be what the losses share."""
        versions = {loss.version for loss in losses}
        return len(versions) > 1 or not self._serving - versions

    def _find_waves(self) -> frozenset[str]:
        waves: set[str] = set()
        first = sorted(
            (min(loss.at for loss in losses), runner)
            for runner, losses in self.on_runner.items()
        )
        for index, (at, runner) in enumerate(first):
            for later, other in first[index + 1 :]:
                if later - at > WAVE_SECONDS:
                    break
                if not self._share_request(runner, other):
                    waves |= {runner, other}
        return frozenset(waves)

    def _share_request(self, runner: str, other: str) -> bool:
        mine = {loss.fingerprint for loss in self.on_runner[runner]}
        return any(loss.fingerprint in mine for loss in self.on_runner[other])

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
    """Tell whether two requests account for all of the lost runners.

    Two, for two callers with such a request may come at once. The one on
    most runners is taken first; a bad version's crashes have nothing in
    common but the few requests that were retried on it.
    """
    left = list(runners.values())
    for _ in range(2):
        counts: dict[str, int] = {}
        for requests in left:
            for fingerprint in requests:
                counts[fingerprint] = counts.get(fingerprint, 0) + 1
        if not counts:
            break
        most = max(sorted(counts), key=counts.__getitem__)
        left = [requests for requests in left if most not in requests]
    return not left
