"""Decides by the head of what came back whether it answers the request.

What arrives on the connection of a request need not be the answer to it: a
faulty runner sends bytes that belong to no request, or the answer to another
one, and a proxy answers in its place. Passed on, they give the caller a
success that nobody vouches for; believed as a refusal, they make work run a
second time that the runner has begun.

So a head is nobody's until it shows the opposite. The request may have run
then, and nothing else is learned: neither of the runner and its version nor of
the request's content.
"""

from enum import Enum
from functools import cache
from typing import NamedTuple

from lagoonpost.tables.answer_end import RunnerState
from lagoonpost.tables.answer_head import AnswerHead, HealthHead


class IdState(Enum):
    """How the id that an answer names compares with the expected one.

    Attributes:
        OWN: It is the expected one, or none is expected.
        OTHER: It is another one.
        MISSING: The answer names no id.
        CONFLICTING: The answer names several ids.
    """

    OWN = "own"
    OTHER = "other"
    MISSING = "missing"
    CONFLICTING = "conflicting"


class SignatureState(Enum):
    """What an answer has as its runner's signature.

    Attributes:
        ONE: A signature.
        MISSING: None, or an empty one.
        CONFLICTING: Several that differ.
    """

    ONE = "one"
    MISSING = "missing"
    CONFLICTING = "conflicting"


class HeadVerdict(Enum):
    """What an answer is taken for.

    Attributes:
        OWN: The runner's answer to the request.
        REFUSED: The runner's statement that it has not run the request.
        FOREIGN: Nobody's answer; the request may have run.
    """

    OWN = "own"
    REFUSED = "refused"
    FOREIGN = "foreign"


class HeadRuling(NamedTuple):
    """A verdict and why it was given.

    Attributes:
        verdict: What the answer is taken for.
        reason: Why it is nobody's; empty for the other verdicts.
    """

    verdict: HeadVerdict
    reason: str = ""


class HeadEvidence(NamedTuple):
    """What the verdict on an answer depends on.

    Attributes:
        id: The id that it repeats.
        encoded: Whether its body is encoded, though none was asked for.
        success: Whether its status is one of success.
        refuses: Whether it states that the request has not run.
        signature: Its signature.
    """

    id: IdState
    encoded: bool
    success: bool
    refuses: bool
    signature: SignatureState


class _Rule(NamedTuple):
    """A ruling and the evidence that it needs; None stands for any."""

    ruling: HeadRuling
    id: IdState | None = None
    encoded: bool | None = None
    success: bool | None = None
    refuses: bool | None = None
    signature: SignatureState | None = None


_OWN = HeadRuling(HeadVerdict.OWN)
_REFUSED = HeadRuling(HeadVerdict.REFUSED)


def _reject(reason: str) -> HeadRuling:
    return HeadRuling(HeadVerdict.FOREIGN, reason)


_RULES = (
    _Rule(_reject("other_id"), id=IdState.OTHER),
    _Rule(_reject("conflicting_ids"), id=IdState.CONFLICTING),
    _Rule(_reject("no_id"), id=IdState.MISSING),
    _Rule(_reject("encoded"), encoded=True),
    _Rule(_reject("success_not_run"), success=True, refuses=True),
    _Rule(_REFUSED, refuses=True),
    # A failure need not be signed.
    _Rule(_OWN, success=False),
    _Rule(_OWN, signature=SignatureState.ONE),
    _Rule(
        _reject("conflicting_signatures"),
        signature=SignatureState.CONFLICTING,
    ),
)
"""The first rule that fits decides."""
_UNSIGNED = _reject("no_signature")
_HEALTH_STATES = {
    (IdState.OWN, False): RunnerState.UP,
    (IdState.OTHER, False): RunnerState.DOWN,
    (IdState.OTHER, True): RunnerState.DOWN,
}
"""What the runner's id and a statement that another one was meant show."""


def judge_head(head: AnswerHead, request_id: str) -> HeadRuling:
    """Return what an answer is taken for, by its head.

    Args:
        head: The head.
        request_id: Id of the request that was sent; empty if it has none.
    """
    evidence = HeadEvidence(
        id=_compare_ids(head.ids, request_id),
        encoded=head.encoded,
        success=head.success,
        refuses=head.refuses,
        signature=_find_signature(head.signatures),
    )
    return _judge(evidence)


@cache
def _judge(evidence: HeadEvidence) -> HeadRuling:
    """Return the ruling; it is kept, as each answer asks for one of a few."""
    for rule in _RULES:
        if _fits(rule, evidence):
            return rule.ruling
    return _UNSIGNED


def judge_health(head: HealthHead, runner: str) -> RunnerState:
    """Return what an answer to a health check tells of the runner.

    Args:
        head: Its head.
        runner: Id of the runner that was asked.

    Returns:
        UNKNOWN if nothing shows whose answer it is.
    """
    named = _compare_ids(head.runners, runner)
    return _HEALTH_STATES.get((named, head.misdirected), RunnerState.UNKNOWN)


def _compare_ids(ids: frozenset[str], expected: str) -> IdState:
    if len(ids) > 1:
        return IdState.CONFLICTING
    if ids == {expected} or not (ids or expected):
        return IdState.OWN
    return IdState.OTHER if ids else IdState.MISSING


def _find_signature(signatures: frozenset[str]) -> SignatureState:
    if len(signatures) > 1:
        return SignatureState.CONFLICTING
    return SignatureState.ONE if signatures else SignatureState.MISSING


def _fits(rule: _Rule, evidence: HeadEvidence) -> bool:
    return all(
        needed is None or needed == known
        for needed, known in zip(rule[1:], evidence, strict=True)
    )
