"""Measures what it costs to judge the head of an answer.

Run as ``python -m bench.heads``. The measure is the time that h11 takes to
parse the same head, which each answer costs in any case.
"""

import timeit
from collections.abc import Callable

import h11

from lagoonpost.platform.headers import read_head
from lagoonpost.systems.answer_head import judge_head

CALLS, ROUNDS = 5000, 7
REQUEST_ID = "9c41d07be2a35f68"
HEADERS = (
    ("content-type", "text/event-stream"),
    ("attempt-id", REQUEST_ID),
    ("response-signature", "3e1b.07.5a2.600.0.c9f2a4d1"),
    ("keep-alive", "timeout=5"),
    ("transfer-encoding", "chunked"),
    ("weight-versions", "1"),
)
HEAD = "".join(
    ("HTTP/1.1 200 OK\r\n", *(f"{n}: {v}\r\n" for n, v in HEADERS), "\r\n")
).encode()


def parse() -> None:
    """Parse a head as the client does."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(
        h11.Request(method="GET", target="/", headers=[("host", "")])
    )
    connection.receive_data(HEAD)
    connection.next_event()


def judge() -> None:
    """Judge the same head."""
    judge_head(read_head(200, HEADERS), REQUEST_ID)


def measure(call: Callable[[], None]) -> float:
    """Return the microseconds of a call, in the fastest of some rounds."""
    rounds = timeit.repeat(call, number=CALLS, repeat=ROUNDS)
    return min(rounds) / CALLS * 1e6


def main() -> None:
    """Print both times and their ratio."""
    parsed, judged = measure(parse), measure(judge)
    print(
        f"parsing {parsed:.1f} us, judging {judged:.1f} us, "
        f"ratio {judged / parsed:.3f}"
    )


if __name__ == "__main__":
    main()
