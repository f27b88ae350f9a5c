"""Decides by what is known of an answer's end whether the answer is whole.

An answer that has neither a length nor chunks ends with its connection, and a
connection ends for other reasons as well: the run was stopped to be moved or
at its deadline, the runner resets it as it reads no more of the request, or
its process ends. Taken for the answer's end, each of them gives the caller a
part as the whole.
Therefore such an end proves nothing by itself.
"""

from enum import Enum
from typing import NamedTuple

from lagoonpost.tables.answer_end import (
    EndEvidence,
    RunnerState,
    StopState,
    UploadState,
)


class EndVerdict(Enum):
    """What an answer that ended is taken for.

    Attributes:
        WHOLE: Its runner has ended it.
        STOPPED: The run was stopped, or may have been. It goes on from its
            copied state.
        CUT: It lacks a part, or may lack one.
        UNPROVEN: The evidence doesn't suffice.
    """

    WHOLE = "whole"
    STOPPED = "stopped"
    CUT = "cut"
    UNPROVEN = "unproven"


class _Rule(NamedTuple):
    """A verdict and the evidence that it needs; None stands for any."""

    verdict: EndVerdict
    ended: bool | None = None
    framed: bool | None = None
    repeatable: bool | None = None
    late: bool | None = None
    stop: StopState | None = None
    upload: UploadState | None = None
    runner: RunnerState | None = None


_RULES = (
    _Rule(EndVerdict.STOPPED, stop=StopState.STOPPED),
    _Rule(EndVerdict.WHOLE, ended=True, framed=True),
    _Rule(EndVerdict.STOPPED, stop=StopState.UNKNOWN),
    _Rule(EndVerdict.CUT, ended=False),
    _Rule(EndVerdict.CUT, late=True),
    _Rule(EndVerdict.CUT, upload=UploadState.RESET),
    _Rule(EndVerdict.CUT, upload=UploadState.UNFINISHED),
    _Rule(EndVerdict.CUT, runner=RunnerState.DOWN),
    # A runner that leaves may accept no connections while it ends its answers.
    # Only what may be repeated can be had again.
    _Rule(EndVerdict.CUT, runner=RunnerState.LEAVING, repeatable=True),
    _Rule(
        EndVerdict.WHOLE, upload=UploadState.READ, runner=RunnerState.LEAVING
    ),
    _Rule(EndVerdict.WHOLE, upload=UploadState.READ, runner=RunnerState.UP),
)
"""The first rule that fits decides."""


def judge_end(evidence: EndEvidence) -> EndVerdict:
    """Return what an answer that ended is taken for."""
    for rule in _RULES:
        if _fits(rule, evidence):
            return rule.verdict
    return EndVerdict.UNPROVEN


def _fits(rule: _Rule, evidence: EndEvidence) -> bool:
    return all(
        needed is None or needed == getattr(evidence, name)
        for name, needed in zip(rule._fields[1:], rule[1:], strict=True)
    )
