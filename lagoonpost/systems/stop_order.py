"""What the answer to an order to stop a run tells of the run.

The order comes with the last copy of the run's state. It may be carried out
although its answer is lost, so that only an answer shows that it was not. A
runner keeps the state of a run that it stopped, and tells of it when asked
again.
"""

from typing import NamedTuple

from lagoonpost.tables.answer_end import StopState
from lagoonpost.tables.kv_copy import (
    Busy,
    Copied,
    CopyOutcome,
    NoRoom,
    NoRun,
    PartlyCopied,
    Unanswered,
    Unreached,
)


class StopStep(NamedTuple):
    """What follows from an answer to the order.

    Attributes:
        state: What is known of the order now.
        again: Whether to ask again.
    """

    state: StopState
    again: bool


_FIRST_STEPS: dict[type[CopyOutcome], StopStep] = {
    Copied: StopStep(StopState.STOPPED, False),
    PartlyCopied: StopStep(StopState.STOPPED, False),
    NoRun: StopStep(StopState.DECLINED, False),
    Busy: StopStep(StopState.DECLINED, True),
    Unreached: StopStep(StopState.NONE, True),
    NoRoom: StopStep(StopState.UNKNOWN, True),
    Unanswered: StopStep(StopState.UNKNOWN, True),
}
_STEPS_AFTER_LOSS: dict[type[CopyOutcome], StopStep] = _FIRST_STEPS | {
    NoRun: StopStep(StopState.UNKNOWN, False),
    Busy: StopStep(StopState.UNKNOWN, True),
    Unreached: StopStep(StopState.UNKNOWN, True),
}
"""Steps once the answer to an order was lost, which may have been carried out
or be in progress. A runner that doesn't know the run any more may have
forgotten it after it was stopped."""


def read_stop_answer(before: StopState, answer: CopyOutcome) -> StopStep:
    """Return what follows from an answer to the order.

    Args:
        before: What was known of the order before it was asked.
        answer: The answer.
    """
    lost = before is StopState.UNKNOWN
    steps = _STEPS_AFTER_LOSS if lost else _FIRST_STEPS
    return steps[type(answer)]
