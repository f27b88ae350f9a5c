"""Who held the duties, and how soon a holder was back after another."""

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import NamedTuple

from lagoonpost.margins.line import DutyCall, LeaseChange, Line
from lagoonpost.margins.margin import Margin

_OUTCOMES_WITHOUT_EFFECT = frozenset({"fenced", "refused"})
"""Outcomes of calls that had no effect. One that got no answer may have."""

RETURN_BY_CALLS = "holder back by its calls"
RETURN_BY_LEASE = "holder back by its lease"
SHARED_FENCE_BY_CALLS = "two holders with one fence in calls"
SHARED_FENCE_BY_LEASE = "two holders with one fence of a lease"


class SentCall(NamedTuple):
    """One call of a duty.

    Attributes:
        subject: Calls on one subject must not go to and fro.
        at: When it was sent, as far as the log says.
        holder: Whose call it was.
        fence: Its fencing number.
        outcome: What came of it.
        what: What it was for.
        gateway: In whose log it stands.
        as_sent: Whether time and fence are those of the sending.
    """

    subject: str
    at: float
    holder: str
    fence: int
    outcome: str
    what: str
    gateway: str
    recorded_at_send: bool


class Tenure(NamedTuple):
    """A time for which a gateway held a lease.

    Attributes:
        lease: Name of the lease.
        holder: The gateway.
        fence: Fencing number.
        since: When it took it.
        taken: How it was free; empty if the log doesn't say.
        until: When it no longer held it; None if no line says.
        ended: Why; empty if the log doesn't say.
    """

    lease: str
    holder: str
    fence: int
    since: float
    taken: str = ""
    until: float | None = None
    ended: str = ""

    @property
    def seconds(self) -> float | None:
        """How long it held it; None if no line says."""
        return None if self.until is None else self.until - self.since


def list_calls(lines: Iterable[Line[DutyCall]]) -> list[SentCall]:
    """Return all calls in the order in which they were sent."""
    return sorted(map(_read_call, lines), key=lambda call: call.at)


def _read_call(line: Line[DutyCall]) -> SentCall:
    said = line.message
    before = 0.0 if said.sent_at is None else said.timestamp - said.sent_at
    usage = said.window is not None
    subject = f"{said.service} in {said.failure_domain}"
    return SentCall(
        subject="usage" if usage else subject,
        at=line.at - before,
        holder=said.holder or line.gateway,
        fence=said.fence,
        outcome=said.outcome,
        what=f"usage of window {said.window}" if usage else "order",
        gateway=line.gateway,
        recorded_at_send=said.sent_at is not None,
    )


def find_holder_returns(
    calls: Iterable[SentCall], bound: float | None
) -> list[Margin]:
    """Return the soonest return of a holder, for each subject.

    Args:
        calls: Calls in the order in which they were sent.
        bound: Seconds within which no holder may act, another one act, and
            the first one act again.
    """
    by_subject: dict[str, list[SentCall]] = {}
    for call in calls:
        if call.outcome not in _OUTCOMES_WITHOUT_EFFECT:
            by_subject.setdefault(call.subject, []).append(call)
    if not by_subject:
        return [
            _make_return_margin("", bound, "no call of a duty had an effect")
        ]
    return [
        _find_holder_return(subject, acts, bound)
        for subject, acts in sorted(by_subject.items())
    ]


def _find_holder_return(
    subject: str, acts: list[SentCall], bound: float | None
) -> Margin:
    last: dict[str, SentCall] = {}
    latest: SentCall | None = None
    pairs: list[tuple[SentCall, SentCall, SentCall]] = []
    for act in acts:
        before = last.get(act.holder)
        if before and latest and latest.holder != act.holder:
            pairs.append((before, latest, act))
        latest = last[act.holder] = act
    if not pairs:
        why = "no holder acted again after another had"
        return _make_return_margin(subject, bound, why)
    before, other, act = min(pairs, key=lambda each: each[2].at - each[0].at)
    return _make_return_margin(subject, bound, "")._replace(
        value=act.at - before.at,
        at=act.at,
        what=f"{act.holder} again: {_describe_call(before)}, then {other.holder}: "
        f"{_describe_call(other)}, then {act.holder}: {_describe_call(act)}",
        gateways=(act.gateway, other.gateway),
    )


def _make_return_margin(subject: str, bound: float | None, why: str) -> Margin:
    return Margin(
        RETURN_BY_CALLS, subject, bound=bound, keeps="at least", what=why
    )


def _describe_call(call: SentCall) -> str:
    unknown = ", no answer" if call.outcome == "unknown" else ""
    return f"{call.what} with fence {call.fence}{unknown}"


def find_shared_fences(calls: Iterable[SentCall]) -> Margin:
    """Return how many fencing numbers two holders sent on one subject.

    Args:
        calls: Calls in the order in which they were sent.
    """
    first: dict[tuple[str, int], SentCall] = {}
    shared: dict[tuple[str, int], SentCall] = {}
    for call in calls:
        key = call.subject, call.fence
        if first.setdefault(key, call).holder != call.holder:
            shared.setdefault(key, call)
    margin = Margin(SHARED_FENCE_BY_CALLS, value=len(shared), bound=0, unit="")
    if not shared:
        return margin
    key, call = next(iter(shared.items()))
    late = "" if call.recorded_at_send else ", as it was after the call"
    return margin._replace(
        subject=call.subject,
        at=call.at,
        what=f"{first[key].holder} and {call.holder} with fence "
        f"{call.fence}{late}",
        gateways=(first[key].gateway, call.gateway),
    )


def list_tenures(lines: Iterable[Line[LeaseChange]]) -> list[Tenure]:
    """Return who held each lease, in the order of time."""
    tenures: list[Tenure] = []
    held: dict[tuple[str, str], int] = {}
    for line in lines:
        said = line.message
        key = said.lease, said.holder
        if said.held:
            held[key] = len(tenures)
            tenures.append(
                Tenure(
                    said.lease, said.holder, said.fence, line.at, said.cause
                )
            )
        elif key in held:
            index = held.pop(key)
            tenures[index] = tenures[index]._replace(
                until=line.at, ended=said.cause
            )
    return tenures


def find_lease_returns(
    tenures: Iterable[Tenure], bound: float | None
) -> list[Margin]:
    """Return the soonest return of a holder to each lease.

    It is the least time that could have been between its calls, whether or
    not it made any.
    """
    margins = [
        _find_lease_return(lease, list(group), bound)
        for lease, group in _group_by_lease(tenures)
    ]
    none = Margin(RETURN_BY_LEASE, bound=bound, keeps="at least")
    return margins or [none._replace(what="no lease was taken")]


def _group_by_lease(
    tenures: Iterable[Tenure],
) -> Iterator[tuple[str, Iterator[Tenure]]]:
    return groupby(
        sorted(tenures, key=lambda each: (each.lease, each.since)),
        key=lambda each: each.lease,
    )


def _find_lease_return(
    lease: str, tenures: list[Tenure], bound: float | None
) -> Margin:
    margin = Margin(RETURN_BY_LEASE, lease, bound=bound, keeps="at least")
    last: dict[str, Tenure] = {}
    latest: Tenure | None = None
    found: list[tuple[float, Tenure, Tenure]] = []
    untold = 0
    for tenure in tenures:
        before = last.get(tenure.holder)
        if before and latest and latest.holder != tenure.holder:
            if before.until is None:
                untold += 1
            else:
                seconds = tenure.since - before.until
                found.append((seconds, latest, tenure))
        latest = last[tenure.holder] = tenure
    missing = f"no line tells how {untold} tenures before ended"
    if not found and untold:
        return margin._replace(untold=missing)
    if not found:
        return margin._replace(what="no holder took it again after another")
    seconds, other, tenure = min(found, key=lambda each: each[0])
    what = f"{tenure.holder} again, with fence {tenure.fence}"
    if other.seconds is not None:
        what += f", {other.holder} held it for {other.seconds:.3f} s"
    if untold:
        what += f"; {missing}"
    return margin._replace(
        value=seconds,
        at=tenure.since,
        what=what,
        gateways=(tenure.holder, other.holder),
    )


def find_shared_lease_fences(tenures: Iterable[Tenure]) -> Margin:
    """Return how many fencing numbers of a lease two holders had."""
    first: dict[tuple[str, int], Tenure] = {}
    shared: dict[tuple[str, int], Tenure] = {}
    for tenure in tenures:
        key = tenure.lease, tenure.fence
        if first.setdefault(key, tenure).holder != tenure.holder:
            shared.setdefault(key, tenure)
    margin = Margin(SHARED_FENCE_BY_LEASE, value=len(shared), bound=0, unit="")
    if not shared:
        return margin
    key, tenure = next(iter(shared.items()))
    holders = first[key].holder, tenure.holder
    return margin._replace(
        subject=tenure.lease,
        at=tenure.since,
        what=f"{' and '.join(holders)} with fence {tenure.fence}",
        gateways=holders,
    )
