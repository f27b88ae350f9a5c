"""Exclusiveness of duties: lease tenures and calls of successive holders."""

from collections.abc import Iterable, Iterator
from itertools import groupby
from typing import NamedTuple

from lagoonpost.margins.line import DutyCall, LeaseChange, Line
from lagoonpost.margins.margin import Margin

_OUTCOMES_WITHOUT_EFFECT = frozenset({"fenced", "refused"})
"""Outcomes of calls without effect. An unanswered call may have had one."""

RETURN_BY_CALLS = "holder back by its calls"
RETURN_BY_LEASE = "holder back by its lease"
SHARED_FENCE_BY_CALLS = "two holders with one fence in calls"
SHARED_FENCE_BY_LEASE = "two holders with one fence of a lease"


class SentCall(NamedTuple):
    """A call that performs a duty.

    Attributes:
        subject: Target of the call. Calls of different holders on the same
            subject must not alternate.
        at: Time of sending in seconds since the epoch, or of logging if the
            log lacks it.
        holder: Gateway that made the call.
        fence: Fencing token.
        outcome: Result of the call.
        what: Description of the call.
        gateway: Gateway whose log contains the call.
        recorded_at_send: Whether time and fence are those of sending.
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
    """A period in which a gateway held a lease.

    Attributes:
        lease: Name of the lease.
        holder: Name of the gateway.
        fence: Fencing token.
        since: Start in seconds since the epoch.
        taken: Why the lease was free; empty if not logged.
        until: End in seconds since the epoch; None if not logged.
        ended: Why the tenure ended; empty if not logged.
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
        """Duration in seconds; None if the end was not logged."""
        return None if self.until is None else self.until - self.since


def list_calls(lines: Iterable[Line[DutyCall]]) -> list[SentCall]:
    """Return all calls in order of sending."""
    return sorted(map(_read_call, lines), key=lambda call: call.at)


def _read_call(line: Line[DutyCall]) -> SentCall:
    message = line.message
    reply_seconds = (
        0.0 if message.sent_at is None else message.timestamp - message.sent_at
    )
    usage = message.window is not None
    subject = f"{message.service} in {message.failure_domain}"
    return SentCall(
        subject="usage" if usage else subject,
        at=line.at - reply_seconds,
        holder=message.holder or line.gateway,
        fence=message.fence,
        outcome=message.outcome,
        what=f"usage of window {message.window}" if usage else "order",
        gateway=line.gateway,
        recorded_at_send=message.sent_at is not None,
    )


def find_holder_returns(
    calls: Iterable[SentCall], bound: float | None
) -> list[Margin]:
    """Find the fastest return of a holder, for each subject.

    A return is a call of one holder, followed by a call of another holder
    and a further call of the first one.

    Args:
        calls: Calls in order of sending.
        bound: Minimum seconds from the first to the last call of a return.
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
        _find_holder_return(subject, calls_on_subject, bound)
        for subject, calls_on_subject in sorted(by_subject.items())
    ]


def _find_holder_return(
    subject: str, calls: list[SentCall], bound: float | None
) -> Margin:
    last: dict[str, SentCall] = {}
    latest: SentCall | None = None
    returns: list[tuple[SentCall, SentCall, SentCall]] = []
    for call in calls:
        previous = last.get(call.holder)
        if previous and latest and latest.holder != call.holder:
            returns.append((previous, latest, call))
        latest = last[call.holder] = call
    if not returns:
        why = "no holder acted again after another had"
        return _make_return_margin(subject, bound, why)
    previous, other, call = min(
        returns, key=lambda group: group[2].at - group[0].at
    )
    return _make_return_margin(subject, bound, "")._replace(
        value=call.at - previous.at,
        at=call.at,
        what=f"{call.holder} again: {_describe_call(previous)}, "
        f"then {other.holder}: {_describe_call(other)}, "
        f"then {call.holder}: {_describe_call(call)}",
        gateways=(call.gateway, other.gateway),
    )


def _make_return_margin(subject: str, bound: float | None, why: str) -> Margin:
    return Margin(
        RETURN_BY_CALLS, subject, bound=bound, keeps="at least", what=why
    )


def _describe_call(call: SentCall) -> str:
    unknown = ", no answer" if call.outcome == "unknown" else ""
    return f"{call.what} with fence {call.fence}{unknown}"


def find_shared_fences(calls: Iterable[SentCall]) -> Margin:
    """Count the fencing tokens that several holders sent on one subject.

    Args:
        calls: Calls in order of sending.
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
    """Return the tenures of all leases, in chronological order."""
    tenures: list[Tenure] = []
    open_tenures: dict[tuple[str, str], int] = {}
    for line in lines:
        message = line.message
        key = message.lease, message.holder
        if message.held:
            open_tenures[key] = len(tenures)
            tenures.append(
                Tenure(
                    message.lease,
                    message.holder,
                    message.fence,
                    line.at,
                    message.cause,
                )
            )
        elif key in open_tenures:
            index = open_tenures.pop(key)
            tenures[index] = tenures[index]._replace(
                until=line.at, ended=message.cause
            )
    return tenures


def find_lease_returns(
    tenures: Iterable[Tenure], bound: float | None
) -> list[Margin]:
    """Find the fastest return of a holder to each lease.

    Its value is the time from the end of the holder's previous tenure to its
    next one: the shortest possible time between calls of the two tenures,
    whether or not the holder made any.

    Args:
        tenures: Tenures of all leases.
        bound: Minimum seconds between the tenures.
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
        sorted(tenures, key=lambda tenure: (tenure.lease, tenure.since)),
        key=lambda tenure: tenure.lease,
    )


def _find_lease_return(
    lease: str, tenures: list[Tenure], bound: float | None
) -> Margin:
    margin = Margin(RETURN_BY_LEASE, lease, bound=bound, keeps="at least")
    last: dict[str, Tenure] = {}
    latest: Tenure | None = None
    returns: list[tuple[float, Tenure, Tenure]] = []
    unlogged = 0
    for tenure in tenures:
        previous = last.get(tenure.holder)
        if previous and latest and latest.holder != tenure.holder:
            if previous.until is None:
                unlogged += 1
            else:
                seconds = tenure.since - previous.until
                returns.append((seconds, latest, tenure))
        latest = last[tenure.holder] = tenure
    missing = f"the end of {unlogged} earlier tenures is not logged"
    if not returns and unlogged:
        return margin._replace(untold=missing)
    if not returns:
        return margin._replace(
            what="no holder took the lease again after another"
        )
    seconds, other, tenure = min(returns, key=lambda candidate: candidate[0])
    what = f"{tenure.holder} again, with fence {tenure.fence}"
    if other.seconds is not None:
        what += f", {other.holder} held it for {other.seconds:.3f} s"
    if unlogged:
        what += f"; {missing}"
    return margin._replace(
        value=seconds,
        at=tenure.since,
        what=what,
        gateways=(tenure.holder, other.holder),
    )


def find_shared_lease_fences(tenures: Iterable[Tenure]) -> Margin:
    """Count the fencing tokens of a lease that several holders had."""
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
