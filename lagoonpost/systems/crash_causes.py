"""Finds out what crashes runners: a request, or a part of its prompt.

Load pattern: requests with one thing in common come at any gateway, from one
in minutes to several a second, and each runner that begins to answer one
crashes and is away for seconds, with all that runs on it. No two of them need
be alike. Sound requests share all their other parts and run on the same
runners, and runners also crash for other reasons, many at a time.

A request has several possible causes: each part of its prompt except the last
one, and its content as a whole. The evidence:

- A crash counts against the causes of each run that it cut off before its
  first byte or soon after it.
- A run that goes on after its first byte clears its causes of all earlier
  crashes.
- A crash that one cause explains doesn't count for others. The cause under
  which most runners ended is judged first, and of two with as many the one
  that fewer requests share.

Three crashes that can't have happened at once convict a cause. A content of
which no sound run is known needs only two of them if as many runners ended.
Before that, if it is on two runners that ended or more, it is under suspicion,
and so are two contents that nothing tells apart: one request at a time goes to
a runner, as a trial. A sound run ends the suspicion, and one more runner that
ends shows the cause. A verdict is tried in the same way after a while, a few
times, and otherwise lasts while requests with the cause keep coming.

Each item of evidence is only ever added, and gateways that know the same items
reach the same verdict.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from itertools import islice
from math import inf

from lagoonpost.systems.crash_counts import (
    CRASH_DETECTION_SECONDS,
    Count,
    count_causes,
    drop_explained,
    find_most_likely,
)
from lagoonpost.systems.request_causes import is_content
from lagoonpost.tables.crash import Crash, Soundness, Verdict

CRASHES_TO_CONVICT = 3
"""Crashes, with no sound run in between, that are unlikely a coincidence."""
STEPS_TO_CONVICT_NEW = 2
"""The same for a content of which no sound run is known, if as many runners
ended as there have to be crashes."""
RUNNERS_TO_SUSPECT = 2
"""Runners that put such a content under suspicion: of three that end, gateways
that are cut off from each other may see no more."""
SURVIVAL_SECONDS = 1.0
"""Time after its first byte for which a run goes on if it does not crash its
runner."""
JUDGEMENT_DELAY_SECONDS = 0.4
"""Time in which the other gateways' evidence on a crash arrives."""
MIN_AGE_SECONDS = 2.7
"""Time from the first crash that counts to the verdict. In this time sound
runs of a cause that many requests share go on and are heard of."""
NEW_CONTENT_AGE_SECONDS = 1.0
"""The same for a content of which no sound run is known: callers of a small
service are back when its runners are."""
TRIAL_AFTER_SECONDS = 60.0
"""Time from a verdict to the first trial of it."""
MAX_TRIALS = 2
"""Trials of verdicts on one cause: each may end one more runner."""
EVIDENCE_SECONDS = 3600.0
"""Time for which evidence counts."""
VERDICT_SECONDS = 3600.0
"""Time after the last refused request for which a first verdict lasts."""
VERDICT_GROWTH = 4.0
"""Factor by which each further verdict on a cause lasts longer."""
VERDICT_RETENTION_SECONDS = 30 * 24 * 3600.0
"""Time after the last refused request for which a verdict is remembered: one
more crash then renews it."""
RENEWAL_SECONDS = 300.0
"""Time after which a refused request renews the verdict."""
MAX_PENDING_PER_RUNNER = 100
"""Runs kept per runner that may have ended in its crash."""
MAX_PENDING_RUNNERS = 300
MAX_CRASHES = 1000
"""Limit for the runs that crashes cut off; the oldest are dropped first."""
MAX_RECORDED = 40
"""Limit for the crashes that the store keeps until there is a verdict."""
MAX_SOUND = 10_000
"""Limit for the causes of which a sound run is remembered."""

News = Crash | Soundness | Verdict


class CrashCauses:
    """Evidence of one gateway, its own and that of the others.

    All times are in seconds since the epoch, on the clock that gateways share.
    """

    def __init__(self) -> None:
        self._pending: OrderedDict[str, list[Crash]] = OrderedDict()
        self._crashes: OrderedDict[tuple[str, str], Crash] = OrderedDict()
        self._by_cause: dict[str, list[Crash]] = {}
        self._sound: OrderedDict[str, float] = OrderedDict()
        self._published_sound: dict[str, float] = {}
        self._verdicts: dict[str, Verdict] = {}
        self._outdated: set[str] = set()
        self._suspects: set[str] = set()
        self._judge_at = inf
        self._news: list[News] = []

    # Senders

    def may_send(self, causes: Iterable[str], now: float) -> bool:
        """Return whether a request may be sent to a runner."""
        self._judge_if_due(now)
        if not self._verdicts and not self._suspects:
            return True
        causes = tuple(causes)
        met = [cause for cause in causes if self.is_convicted(cause, now)]
        for cause in met:
            self._renew(cause, now)
        return not met and self._suspects.isdisjoint(causes)

    def may_try(self, causes: Iterable[str], now: float) -> bool:
        """Return whether a request that may not be sent may be tried.

        It needs a permit, as only one trial may go on at a time.
        """
        return all(
            self._is_trial_due(cause, now)
            for cause in causes
            if self.is_convicted(cause, now)
        )

    def may_retry(self, causes: Sequence[str], attempt: str) -> bool:
        """Return whether a request that was cut off may be sent again.

        If another request with the same content was cut off before, and no
        run of it was sound, it would most likely end one more runner.

        Args:
            causes: Possible causes of the request.
            attempt: Id of the caller's attempt.
        """
        content = causes[-1]
        return content in self._sound or all(
            crash.attempt == attempt
            for crash in self._by_cause.get(content, ())
        )

    def _is_trial_due(self, cause: str, now: float) -> bool:
        verdict = self._verdicts[cause]
        if verdict.number > MAX_TRIALS:
            return False
        pause = TRIAL_AFTER_SECONDS * VERDICT_GROWTH ** (verdict.number - 1)
        return now >= verdict.since + pause

    def is_convicted(self, cause: str, now: float) -> bool:
        """Return whether requests with a cause are not sent."""
        return cause not in self._outdated and self._is_in_force(cause, now)

    def _is_in_force(self, cause: str, now: float) -> bool:
        """Return whether a verdict has not lapsed, even if it is outdated."""
        verdict = self._verdicts.get(cause)
        return verdict is not None and now < _find_end(verdict)

    def _renew(self, cause: str, now: float) -> None:
        verdict = self._verdicts[cause]
        if now >= verdict.met + RENEWAL_SECONDS:
            self._add_verdict(verdict._replace(met=now))

    # Runs

    def note_sound(
        self, causes: Iterable[str], began: float, now: float
    ) -> None:
        """Record a run that went on after its first byte, or was answered.

        Args:
            causes: Possible causes of the request.
            began: Time of the first byte.
            now: The current time.
        """
        for cause in causes:
            if began > self._sound.get(cause, -inf):
                self._sound[cause] = began
                self._sound.move_to_end(cause)
            self._tell_sound(cause)
        self._drop_oldest_sound()
        self._judge_if_due(now)

    def note_cut_off(self, crash: Crash) -> None:
        """Record a run that ended near its start without a whole answer.

        It counts once its runner is found to be down.
        """
        pending = self._pending.setdefault(crash.runner, [])
        self._pending.move_to_end(crash.runner)
        pending.append(crash)
        oldest = crash.latest - CRASH_DETECTION_SECONDS
        if len(pending) > MAX_PENDING_PER_RUNNER or pending[0].latest < oldest:
            del pending[0]
        if len(self._pending) > MAX_PENDING_RUNNERS:
            self._pending.popitem(last=False)

    def note_down(self, runner: str, now: float) -> None:
        """Count the runs cut off at a runner that is found to be down."""
        for crash in self._pending.pop(runner, ()):
            if now - crash.latest <= CRASH_DETECTION_SECONDS:
                self._add_crash(crash, now)
                self._news.append(crash)

    # Exchange with other gateways and the store

    def merge(self, news: News, now: float) -> None:
        """Add what another gateway has found, or the store has kept."""
        match news:
            case Crash():
                self._add_crash(news, now)
            case Soundness(cause, began):
                began = min(began, now)
                if began > self._sound.get(cause, -inf):
                    self._sound[cause] = began
                    self._sound.move_to_end(cause)
                    self._drop_oldest_sound()
                known = self._published_sound.get(cause, -inf)
                self._published_sound[cause] = max(known, began)
                self._lift(cause)
                self._judge_soon(now)
            case Verdict():
                self._merge_verdict(news)

    def take_news(self) -> list[News]:
        """Return what the other gateways have to be told."""
        news, self._news = self._news, []
        return news

    def list_verdicts(self) -> list[Verdict]:
        """Return the verdicts that hold or are remembered."""
        return [
            verdict
            for cause, verdict in self._verdicts.items()
            if cause not in self._outdated
        ]

    def list_evidence(self) -> list[Crash]:
        """Return the newest crashes that no sound run has cleared."""
        counted = (
            crash
            for crash in reversed(self._crashes.values())
            if any(self._counts(crash, cause) for cause in crash.causes)
        )
        newest = islice(counted, MAX_RECORDED)
        return sorted(newest, key=lambda crash: (crash.latest, crash))

    def _add_crash(self, crash: Crash, now: float) -> None:
        id_ = (crash.runner, crash.attempt)
        if id_ in self._crashes or crash.latest < now - EVIDENCE_SECONDS:
            return
        self._crashes[id_] = crash
        for cause in crash.causes:
            self._by_cause.setdefault(cause, []).append(crash)
            self._tell_sound(cause)
        if len(self._crashes) > MAX_CRASHES:
            self._drop_crash(next(iter(self._crashes)))
        self._judge_soon(now)

    def _drop_crash(self, id_: tuple[str, str]) -> None:
        crash = self._crashes.pop(id_)
        for cause in crash.causes:
            self._by_cause[cause].remove(crash)
            if not self._by_cause[cause]:
                del self._by_cause[cause]

    def _drop_old_crashes(self, now: float) -> None:
        for id_, crash in list(self._crashes.items()):
            if crash.latest < now - EVIDENCE_SECONDS:
                self._drop_crash(id_)
        self._suspects &= self._by_cause.keys()

    def _tell_sound(self, cause: str) -> None:
        """Tell the others of a sound run that matters for a crash.

        One after the crash clears its cause. One before it shows that a
        content has not always ended runners.
        """
        began = self._sound.get(cause, -inf)
        known = self._published_sound.get(cause, -inf)
        crashes = self._by_cause.get(cause, ())
        is_first = is_content(cause) and known == -inf < began
        if any(is_first or known < crash.latest < began for crash in crashes):
            self._published_sound[cause] = began
            self._news.append(Soundness(cause, began))
            self._lift(cause)
            self._judge_soon(began)

    def _drop_oldest_sound(self) -> None:
        while len(self._sound) > MAX_SOUND:
            self._published_sound.pop(self._sound.popitem(last=False)[0], None)

    # Verdicts

    def _judge_soon(self, now: float) -> None:
        self._judge_at = min(self._judge_at, now + JUDGEMENT_DELAY_SECONDS)

    def _judge_if_due(self, now: float) -> None:
        if now < self._judge_at:
            return
        self._judge_at = inf
        self._drop_old_crashes(now)
        left = list(self._crashes.values())
        convicted: set[str] = set()
        suspects: set[str] = set()
        postponed: set[str] = set()
        while found := self._find_worst(left, postponed, now):
            if len(found) > 1 and not found[0].is_content:
                postponed.update(count.cause for count in found)
                continue
            is_certain = len(found) == 1 and self._is_proven(found[0], now)
            for count in found:
                if is_certain:
                    self._convict(count.cause, left, now)
                if is_certain or self._is_in_force(count.cause, now):
                    convicted.add(count.cause)
                else:
                    suspects.add(count.cause)
                left = drop_explained(left, count.cause)
        self._suspects = suspects
        self._outdated = self._find_outdated(left, convicted)

    def _find_worst(
        self, crashes: list[Crash], postponed: set[str], now: float
    ) -> list[Count]:
        """Return the most likely cause that is to be judged.

        Returns:
            Several causes if nothing tells them apart, none if none is due.
        """
        due = []
        for count in self._count(crashes):
            if count.cause in postponed or not self._is_suspicious(count, now):
                continue
            age = NEW_CONTENT_AGE_SECONDS if count.is_new else MIN_AGE_SECONDS
            if now >= count.first + age:
                due.append(count)
            else:
                self._judge_at = min(self._judge_at, count.first + age)
        return find_most_likely(due)

    def _count(self, crashes: Iterable[Crash]) -> list[Count]:
        return count_causes(
            crashes, self._counts, lambda cause: cause not in self._sound
        )

    def _is_suspicious(self, count: Count, now: float) -> bool:
        has_callers = len(count.attempts) > 1
        is_suspect = count.is_new and count.runners >= RUNNERS_TO_SUSPECT
        return self._is_proven(count, now) or (is_suspect and has_callers)

    def _is_proven(self, count: Count, now: float) -> bool:
        """Return whether crashes convict a cause, if they tell it apart."""
        limit = self._find_limit(count.cause, now)
        if not count.is_new or limit < CRASHES_TO_CONVICT:
            return count.steps >= limit
        return (
            count.runners >= limit
            and count.steps >= STEPS_TO_CONVICT_NEW
            and len(count.attempts) > 1
        )

    def _find_outdated(
        self, unexplained: list[Crash], convicted: set[str]
    ) -> set[str]:
        """Return the verdicts that the evidence speaks against.

        One of which too few crashes are known may rest on crashes of which
        other gateways are still to tell.
        """
        open_ = {
            count.cause
            for count in self._count(unexplained)
            if count.is_new or count.runners < CRASHES_TO_CONVICT
        }
        return {
            cause
            for cause in self._verdicts.keys() - convicted - open_
            if self._has_evidence(cause)
        }

    def _counts(self, crash: Crash, cause: str) -> bool:
        """Return whether no sound run has cleared a cause of a crash."""
        return crash.latest > self._sound.get(cause, -inf)

    def _find_limit(self, cause: str, now: float) -> int:
        """Return the crashes that convict a cause."""
        has_lapsed = cause in self._verdicts and not self._is_in_force(
            cause, now
        )
        return 1 if has_lapsed else CRASHES_TO_CONVICT

    def _has_evidence(self, cause: str) -> bool:
        """Return whether the first crash that led to a verdict is known."""
        since = self._verdicts[cause].since
        crashes = self._by_cause.get(cause, ())
        return any(crash.latest == since for crash in crashes)

    def _convict(
        self, cause: str, crashes: Iterable[Crash], now: float
    ) -> None:
        """Add a verdict, or one more after a trial that ended a runner."""
        times = [
            crash.latest
            for crash in crashes
            if cause in crash.causes and self._counts(crash, cause)
        ]
        before = self._verdicts.get(cause)
        since = min(times)
        if before is not None and self._is_in_force(cause, now):
            since = max(times)
            if since < before.since + TRIAL_AFTER_SECONDS:
                return
        number = before.number + 1 if before else 1
        self._add_verdict(Verdict(cause, since, now, number))

    def _add_verdict(self, verdict: Verdict) -> None:
        self._verdicts[verdict.cause] = verdict
        self._news.append(verdict)

    def _merge_verdict(self, verdict: Verdict) -> None:
        cause = verdict.cause
        known = self._verdicts.get(cause)
        if known is None or _rank(verdict) > _rank(known):
            self._verdicts[cause] = verdict
        self._lift(cause)

    def _lift(self, cause: str) -> None:
        """End a suspicion or a verdict if a run was sound since."""
        crashes = self._by_cause.get(cause, ())
        if not any(self._counts(crash, cause) for crash in crashes):
            self._suspects.discard(cause)
        verdict = self._verdicts.get(cause)
        if verdict and self._sound.get(cause, -inf) > verdict.since:
            del self._verdicts[cause]

    def forget_old(self, now: float) -> None:
        """Drop what no longer counts."""
        self._judge_if_due(now)
        self._drop_old_crashes(now)
        for cause, verdict in list(self._verdicts.items()):
            if verdict.met < now - VERDICT_RETENTION_SECONDS:
                del self._verdicts[cause]


def _rank(verdict: Verdict) -> tuple[float, float, int]:
    return verdict.met, verdict.since, verdict.number


def _find_end(verdict: Verdict) -> float:
    """Return the time until which a verdict is in force."""
    longer = VERDICT_GROWTH ** (verdict.number - 1)
    return verdict.met + VERDICT_SECONDS * longer
