"""Open-loop load generator for streamed drafts, with histograms."""

import asyncio
import random
import time
from typing import Any, NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from lagoonpost.http.message import Address

MAX_MICROSECONDS = 60_000_000
DIGITS = 3
# Requests still open this long after the last arrival count as failed.
DRAIN_TIMEOUT_SECONDS = 60.0
_FIELD = b"id: "
_REFUSED = (b"HTTP/1.1 503", b"HTTP/1.1 429")


class LoadPlan(NamedTuple):
    """Parameters of one load run.

    Attributes:
        addresses: Servers, used in turn.
        key: Bearer key; empty when calling engines.
        rate: Arrivals per second of a Poisson process.
        seconds: Duration of the arrivals.
        tokens: Number of tokens of each answer.
        seed: Seed of the arrivals.
        first_seconds: Target for the time to first token.
    """

    addresses: tuple[Address, ...]
    key: str
    rate: float
    seconds: float
    tokens: int
    seed: int = 1
    first_seconds: float = 1.9


class LoadResult:
    """Results of one load run; histograms are in microseconds.

    Attributes:
        first: Times to first token.
        gaps: Gaps between tokens.
        refusals: Times to refusal.
        tokens: Tokens received.
        sent: Requests sent.
        whole: Complete answers.
        in_time: Complete answers whose first token met the target.
        refused: Refused requests.
        failed: Requests without an answer or with an incomplete one.
        elapsed: Duration of the run in seconds.
    """

    def __init__(self) -> None:
        self.first = HdrHistogram(1, MAX_MICROSECONDS, DIGITS)
        self.gaps = HdrHistogram(1, MAX_MICROSECONDS, DIGITS)
        self.refusals = HdrHistogram(1, MAX_MICROSECONDS, DIGITS)
        self.tokens = 0
        self.sent = 0
        self.whole = 0
        self.in_time = 0
        self.refused = 0
        self.failed = 0
        self.elapsed = 0.0

    def describe(self) -> dict[str, float]:
        """Return percentiles in milliseconds, rates and counts."""
        return {
            "first_median_ms": self.first.get_value_at_percentile(50) / 1e3,
            "first_p99_ms": self.first.get_value_at_percentile(99) / 1e3,
            "gap_median_ms": self.gaps.get_value_at_percentile(50) / 1e3,
            "gap_p95_ms": self.gaps.get_value_at_percentile(95) / 1e3,
            "gap_p99_ms": self.gaps.get_value_at_percentile(99) / 1e3,
            "tokens_per_second": self.tokens / self.elapsed,
            "sent": self.sent,
            "whole": self.whole,
            "in_time": self.in_time,
            "refused": self.refused,
            "refusal_p99_ms": self.refusals.get_value_at_percentile(99) / 1e3,
            "failed": self.failed,
        }


async def run_load(plan: LoadPlan) -> LoadResult:
    """Send drafts according to the plan and wait for all of them."""
    result = LoadResult()
    rng = random.Random(plan.seed)
    started = time.perf_counter()
    tasks: list[asyncio.Task[None]] = []
    due = 0.0
    number = 0
    while due < plan.seconds:
        await asyncio.sleep(started + due - time.perf_counter())
        address = plan.addresses[number % len(plan.addresses)]
        sending = _send(plan, address, number, result)
        tasks.append(asyncio.create_task(sending))
        due += rng.expovariate(plan.rate)
        number += 1
    await asyncio.wait(tasks, timeout=DRAIN_TIMEOUT_SECONDS)
    for task in tasks:
        if not task.done():
            task.cancel()
            result.failed += 1
    result.elapsed = time.perf_counter() - started
    return result


async def _send(
    plan: LoadPlan, address: Address, number: int, result: LoadResult
) -> None:
    request = _make_request(plan, address, number)
    started = last = time.perf_counter()
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        result.failed += 1
        return
    writer.write(request)
    seen = 0
    first = 0.0
    whole = refused = False
    try:
        # Counting bytes costs a tenth of parsing the events, so that the load
        # generator does not dominate the measurement.
        while data := await reader.read(65536):
            now = time.perf_counter()
            count = data.count(_FIELD)
            if not seen and data.startswith(_REFUSED):
                refused = True
                result.refusals.record_value(int((now - started) * 1e6))
                break
            if count and not seen:
                first = now - started
                result.first.record_value(int((now - started) * 1e6))
            elif count:
                gap = max(1, int((now - last) * 1e6 / count))
                result.gaps.record_value(gap, count)
            if count:
                last = now
            seen += count
            if b"data: [DONE]" in data:
                whole = True
                break
    except OSError:
        pass
    finally:
        writer.close()
    result.sent += 1
    result.tokens += seen
    result.whole += whole
    result.in_time += whole and first <= plan.first_seconds
    result.refused += refused
    result.failed += not (whole or refused)


def _make_request(plan: LoadPlan, address: Address, number: int) -> bytes:
    content = f"Summarise the listings of weekend {number}, seed {plan.seed}"
    chat: dict[str, Any] = {
        "model": "assistant",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": plan.tokens,
        "stream": True,
    }
    body = msgspec.json.encode(chat)
    lines = [
        "POST /v1/chat/completions HTTP/1.1",
        f"host: {address}",
        f"content-length: {len(body)}",
        f"x-request-id: load-{plan.seed}-{number}",
    ]
    if plan.key:
        lines.append(f"authorization: Bearer {plan.key}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
