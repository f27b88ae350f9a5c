"""Measures the decisions about quotas: alone, as an issuer, and on arrival.

Example: python -m bench.quotas 9 72 320
"""

import time
from collections.abc import Callable

import click

from lagoonpost.systems.quota import Quotas
from lagoonpost.tables.configuration import Workspace
from lagoonpost.tables.quota import QuotaBounds

BOUNDS = QuotaBounds(window=8.0, overage=0.1, slack=110_000)
HOT = Workspace("hot", ("k",), rate=350_000, burst=350_000, by_tokens=True)
COST = 1_000.0
DECISIONS = 20_000
PAUSE_SECONDS = 0.001
"""Simulated time between two decisions."""


def make_issuer(gateways: int) -> Quotas:
    """Return the quotas of a hub that has heard all other gateways."""
    quotas = Quotas(BOUNDS)
    for number in range(gateways - 1):
        quotas.update_from_peers(f"g{number}/0", {"hot": 0.0}, {}, 0.0)
    return quotas


def measure(decide: Callable[[int, float], object]) -> float:
    """Return the microseconds of one decision."""
    begin = time.perf_counter()
    for number in range(DECISIONS):
        decide(number, number * PAUSE_SECONDS)
    return (time.perf_counter() - begin) / DECISIONS * 1e6


@click.command()
@click.argument("sizes", type=int, nargs=-1)
def main(sizes: tuple[int, ...]) -> None:
    """Print microseconds of each decision, by the number of gateways."""
    for gateways in sizes or (9, 72, 320):
        quotas = make_issuer(gateways)
        used: dict[int, float] = {}

        def grant(
            number: int,
            now: float,
            quotas: Quotas = quotas,
            used: dict[int, float] = used,
            others: int = gateways - 1,
        ) -> None:
            asking = number % others
            before = used.get(asking, 0.0)
            sender = f"g{asking}/0"
            if quotas.grant(HOT, COST, 1.0, now, sender, before) is None:
                used[asking] = before + COST

        def arrive(number: int, now: float, quotas: Quotas = quotas) -> None:
            quotas.reserve(HOT, COST, 1.0, now + 20.0)

        def decide(
            number: int,
            now: float,
            quotas: Quotas = quotas,
            gateways: int = gateways,
        ) -> None:
            quotas.may_decide_alone(HOT, COST, 1.0, now + 40.0, gateways)

        granted, arrived = measure(grant), measure(arrive)
        # Without news of the others, no gateway decides alone.
        news_at = 40.0 + DECISIONS * PAUSE_SECONDS
        quotas.update_from_peers("g0/0", {}, {}, news_at)
        alone = measure(decide)
        click.echo(
            f"{gateways} gateways: grant {granted:.1f} us, arrival "
            f"{arrived / granted:.2f} and alone {alone / granted:.2f} of it"
        )


if __name__ == "__main__":
    main()
