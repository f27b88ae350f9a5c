"""Gathers the evidence by which an answer that ended is judged."""

from collections.abc import Awaitable, Callable

from lagoonpost.forwarding.exchange import Exchange
from lagoonpost.systems.answer_end import EndVerdict, judge_end
from lagoonpost.systems.placement import Choice
from lagoonpost.tables.answer_end import EndEvidence, RunnerState, UploadState


async def check_end(
    exchange: Exchange,
    choice: Choice,
    evidence: EndEvidence,
    find_upload: Callable[[], Awaitable[UploadState]],
    find_runner: Callable[[], Awaitable[RunnerState]],
) -> EndVerdict:
    """Return what an answer that ended is taken for, and record it.

    Args:
        exchange: The request.
        choice: The runner that answered.
        evidence: What is known without asking.
        find_upload: Finds out whether the runner has read the request; asked
            only if the verdict depends on it.
        find_runner: Finds out the runner's state, after that.
    """
    verdict = judge_end(evidence)
    if verdict is EndVerdict.UNPROVEN:
        evidence = evidence._replace(upload=await find_upload())
        verdict = judge_end(evidence)
    if verdict is EndVerdict.UNPROVEN:
        evidence = evidence._replace(runner=await find_runner())
        verdict = judge_end(evidence)
    exchange.note_end(choice, evidence, verdict)
    return verdict
