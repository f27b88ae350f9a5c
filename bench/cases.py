"""Simulated load patterns and the metrics computed from them.

Run ``python -m bench.cases`` to print the metrics. Tests assert bounds on the
same patterns. Time is simulated, so the results do not depend on the machine.
"""

from collections.abc import Iterable, Mapping
from random import Random
from typing import Any, NamedTuple

from bench.baseline import BASELINES, Baseline
from bench.player import BLOCK, Player
from bench.workload import (
    PREFILL_SECONDS,
    TOKEN_SECONDS,
    Call,
    Outcome,
    Slowdown,
    compute_capacity,
    draw_arrivals,
    find_quantile,
    make_declaration,
)

RUNNERS = 6
SLOTS = 8
SEEDS = (1, 2, 3)
CHECK = Call(0.0, "c", prompt=200, output=50)
SHORT_CHECK = CHECK._replace(output=25)
DRAFT = Call(0.0, "d", "draft", prompt=1000, output=500)
CAPACITY = compute_capacity(RUNNERS, SLOTS, CHECK)
LIGHT = {f"w{i}": 0.15 for i in range(1, 5)}

# Runner that is slow or failing from SLOW_BEGIN to SLOW_END (seconds).
SLOW = "r2"
SLOW_BEGIN = 8.0
SLOW_END = 18.0
SLOW_SECONDS = 33.0


class Window(NamedTuple):
    """Part of a simulation that is evaluated, in simulated seconds."""

    begin: float
    end: float


CHECKS_WINDOW = Window(3.0, 15.0)
MIXED_WINDOW = Window(15.0, 45.0)
PREFIX_WINDOW = Window(10.0, 40.0)


def play_checks(
    rates: Mapping[str, float], seed: int, **options: Any
) -> list[Outcome]:
    """Simulate checks of several workspaces.

    Args:
        rates: Arrival rate of each workspace as a fraction of the capacity.
        seed: Seed of the arrivals and the decisions.
        options: Keyword arguments of the player.

    Returns:
        The outcomes of the checks that arrived in ``CHECKS_WINDOW`` or later.
    """
    declaration = make_declaration(
        RUNNERS, SLOTS, weights=dict.fromkeys(rates, 1.0)
    )
    player = Player(declaration, seed, **options)
    begin, end = CHECKS_WINDOW
    calls = []
    for index, (workspace, rate) in enumerate(rates.items()):
        call = CHECK._replace(workspace=workspace)
        rng = Random(seed * 100 + index)
        calls += draw_arrivals(rng, CAPACITY * rate, 0.0, end, call)
    outcomes = player.play(calls, end + 40)
    return [o for o in outcomes if o.arrived >= begin]


def goodput(outcomes: Iterable[Outcome]) -> float:
    """Return the fraction of capacity spent on answers within target."""
    seconds = sum(
        o.call.prompt * PREFILL_SECONDS + o.call.output * TOKEN_SECONDS
        for o in outcomes
        if o.good
    )
    begin, end = CHECKS_WINDOW
    return seconds / (end - begin) / (RUNNERS * SLOTS)


def is_admitted(outcome: Outcome) -> bool:
    """Return whether a request was not refused on arrival."""
    return outcome.refused is None or outcome.refused > outcome.arrived


def compute_good_share(outcomes: Iterable[Outcome]) -> float:
    """Return the fraction of requests whose answer met its target."""
    known = list(outcomes)
    return sum(o.good for o in known) / len(known)


def compute_answer_p95(outcomes: Iterable[Outcome]) -> float:
    """Return the 95th percentile of seconds to complete answers."""
    return find_quantile(
        [o.finished - o.arrived for o in outcomes if o.finished], 0.95
    )


def compute_first_part_p95(outcomes: Iterable[Outcome]) -> float:
    """Return the 95th percentile of seconds to the first token."""
    return find_quantile(
        [o.first - o.arrived for o in outcomes if o.first], 0.95
    )


def play_heavy(seed: int, **options: Any) -> list[Outcome]:
    """Simulate one workspace at ten times its fair share of the capacity.

    Returns:
        The outcomes of the other workspaces.
    """
    outcomes = play_checks({**LIGHT, "heavy": 2.0}, seed, **options)
    return [o for o in outcomes if o.call.workspace != "heavy"]


def slow_always(factor: float) -> Slowdown:
    """Return a slowdown by ``factor`` from ``SLOW_BEGIN`` to ``SLOW_END``."""
    return lambda now, running: factor if SLOW_BEGIN <= now < SLOW_END else 1.0


def slow_when_busy(now: float, running: int) -> float:
    """Return a slowdown by ten while more than half of the slots are busy."""
    return 10.0 if SLOW_BEGIN <= now < SLOW_END and running > 4 else 1.0


def play_slow(
    slowdown: Slowdown | None, seed: int, load: float = 0.7, **options: Any
) -> tuple[Player, list[Outcome]]:
    """Simulate a runner that is slow from ``SLOW_BEGIN`` to ``SLOW_END``."""
    player = Player(make_declaration(RUNNERS, SLOTS), seed, **options)
    if slowdown is not None:
        player.runners[SLOW].slowdown = slowdown
    calls = draw_arrivals(
        Random(seed), CAPACITY * load, 0.0, SLOW_SECONDS, CHECK
    )
    return player, player.play(calls, SLOW_SECONDS + 60)


def compute_slow_runner_share(
    outcomes: Iterable[Outcome], begin: float, end: float
) -> float:
    """Return the fraction of dispatches that went to the slow runner."""
    sent = [
        o
        for o in outcomes
        if o.dispatched is not None and begin <= o.dispatched < end
    ]
    return sum(o.runner == SLOW for o in sent) / len(sent)


def play_mixed(
    drafts: float, checks: float, seed: int, **options: Any
) -> tuple[float, int]:
    """Simulate long drafts and short checks side by side.

    Args:
        drafts: Rate of the drafts as a fraction of the capacity.
        checks: Rate of the checks as a fraction of the capacity.
        seed: Seed of the arrivals and the decisions.
        options: Keyword arguments of the player.

    Returns:
        The 95th percentile of the checks' seconds to the first token, and the
        number of tokens of the drafts that finished in ``MIXED_WINDOW``.
    """
    player = Player(make_declaration(RUNNERS, SLOTS), seed, **options)
    begin, end = MIXED_WINDOW
    calls = []
    if checks:
        rate = compute_capacity(RUNNERS, SLOTS, SHORT_CHECK) * checks
        calls += draw_arrivals(Random(seed), rate, 0.0, end, SHORT_CHECK)
    if drafts:
        rate = compute_capacity(RUNNERS, SLOTS, DRAFT) * drafts
        calls += draw_arrivals(Random(seed + 50), rate, 0.0, end, DRAFT)
    outcomes = player.play(calls, end + 60)
    tokens = sum(
        o.call.output
        for o in outcomes
        if o.call.workspace == DRAFT.workspace
        and o.finished is not None
        and begin <= o.finished < end
    )
    shorts = [
        o
        for o in outcomes
        if o.call.workspace == CHECK.workspace and o.arrived >= begin
    ]
    return compute_first_part_p95(shorts) if checks else 0.0, tokens


SHARED_BLOCKS = 16
OWN_BLOCKS = 4


def draw_prefixed(
    rng: Random, load: float, groups: int, skew: float
) -> list[Call]:
    """Draw calls whose first prompt blocks are shared within a group.

    The popularity of the groups follows a Zipf distribution.

    Args:
        rng: Seeded generator.
        load: Arrival rate as a fraction of the capacity.
        groups: Number of groups of callers.
        skew: Exponent of the distribution.
    """
    weights = [1 / (rank + 1) ** skew for rank in range(groups)]
    seconds = OWN_BLOCKS * BLOCK * PREFILL_SECONDS + 50 * TOKEN_SECONDS
    time = 0.0
    calls: list[Call] = []
    while time < PREFIX_WINDOW.end:
        time += rng.expovariate(load * RUNNERS * SLOTS / seconds)
        group = rng.choices(range(groups), weights)[0]
        shared = range(group * 100, group * 100 + SHARED_BLOCKS)
        first = 10**6 + len(calls) * OWN_BLOCKS
        prefix = (*shared, *range(first, first + OWN_BLOCKS))
        output = max(1, round(rng.expovariate(1 / 50)))
        call = CHECK._replace(
            time=time,
            workspace=f"w{group % 5}",
            prompt=len(prefix) * BLOCK,
            output=output,
            prefix=prefix,
            expected=50,
        )
        calls.append(call)
    return calls


def play_prefixes(
    load: float, groups: int, skew: float, seed: int = 1, **options: Any
) -> tuple[float, float]:
    """Simulate groups of callers that share prompt prefixes.

    Returns:
        The fraction of reusable prompt tokens that was reused, and the ratio
        of the largest work of a runner to the mean.
    """
    player = Player(make_declaration(RUNNERS, SLOTS), seed, **options)
    simulated_runners = player.runners.values()
    work: dict[str, float] = {}
    player.schedule(
        PREFIX_WINDOW.begin,
        lambda: work.update(
            {r.runner.name: r.work for r in simulated_runners}
        ),
    )
    outcomes = player.play(
        draw_prefixed(Random(seed), load, groups, skew), PREFIX_WINDOW.end
    )
    # Upper bound: a router with full knowledge and unlimited caches reuses
    # every block that any earlier request contained.
    seen: set[int] = set()
    reusable = reused = 0
    for outcome in outcomes:
        if outcome.dispatched is None:
            continue
        if outcome.arrived >= PREFIX_WINDOW.begin:
            reusable += BLOCK * len(seen.intersection(outcome.call.prefix))
            reused += outcome.reused
        seen.update(outcome.call.prefix)
    loads = [fake.work - work[fake.runner.name] for fake in simulated_runners]
    return reused / reusable, max(loads) * len(loads) / sum(loads)


LOST_AT = 10.0
LOST_SECONDS = 25.0


def play_lost_domain(
    load: float, notice: bool, gateways: int, seed: int = 1
) -> list[Outcome]:
    """Simulate the loss of one of three failure domains.

    Args:
        load: Arrival rate as a fraction of the capacity.
        notice: Whether the gateways are notified before the loss.
        gateways: Number of gateways.
        seed: Seed of the arrivals and the decisions.
    """
    player = Player(make_declaration(9, SLOTS), seed, gateways=gateways)
    checks = compute_capacity(9, SLOTS, CHECK) * load * 0.7
    drafts = compute_capacity(9, SLOTS, DRAFT) * load * 0.3
    end = LOST_SECONDS
    calls = draw_arrivals(Random(seed), checks, 0.0, end, CHECK)
    calls += draw_arrivals(Random(seed + 1), drafts, 0.0, end, DRAFT)
    names = [
        name
        for name, fake in player.runners.items()
        if fake.runner.failure_domain == "d0"
    ]
    player.schedule(LOST_AT, lambda: player.lose_runners(names, notice))
    return player.play(calls, 200.0)


def list_recovery_seconds(outcomes: Iterable[Outcome]) -> list[float]:
    """Return the seconds from the loss until each retry was dispatched."""
    return [
        o.dispatched - LOST_AT
        for o in outcomes
        if o.attempts > 1 and o.arrived < LOST_AT and o.dispatched
    ]


def main() -> None:
    """Print the metrics of all load patterns."""
    deciders: dict[str, dict[str, Any]] = {
        "1 gateway": {},
        "5 gateways": {"gateways": 5},
        "9 gateways": {"gateways": 9},
    }
    deciders |= {
        name: {"decider": decider, "tables": Baseline}
        for name, decider in BASELINES.items()
    }
    for name, options in deciders.items():
        _print_saturation(name, options)
        _print_heavy(name, options)
        _print_slow(name, options)
        _print_mixed(name, options)
        _print_prefixes(name, options)
    for gateways in (1, 5):
        for notice in (True, False):
            waits = list_recovery_seconds(
                play_lost_domain(0.95, notice, gateways)
            )
            print(
                f"lost domain, {gateways} gateways, notice {notice}:"
                f" {len(waits)} moved, longest wait {max(waits):.2f} s"
            )


def _print_saturation(name: str, options: dict[str, Any]) -> None:
    for overload in (1.2, 2.0, 5.0):
        played = [play_checks({"w": overload}, s, **options) for s in SEEDS]
        parts = [goodput(outcomes) for outcomes in played]
        admitted = [o for out in played for o in out if is_admitted(o)]
        print(
            f"saturation {overload}, {name}: goodput"
            f" {sum(parts) / len(parts):.3f} (worst {min(parts):.3f}),"
            f" admitted in time {compute_good_share(admitted):.3f}"
        )


def _print_heavy(name: str, options: dict[str, Any]) -> None:
    for seed in SEEDS:
        before = play_checks(LIGHT, seed, **options)
        after = play_heavy(seed, **options)
        print(
            f"heavy workspace, {name}, seed {seed}: others' p95 whole x"
            f"{compute_answer_p95(after) / compute_answer_p95(before):.2f},"
            f" first {compute_first_part_p95(before):.2f} ->"
            f" {compute_first_part_p95(after):.2f} s,"
            f" in time {compute_good_share(after):.3f}"
        )


def _print_slow(name: str, options: dict[str, Any]) -> None:
    kinds = {
        "x10": slow_always(10.0),
        "x5": slow_always(5.0),
        "when busy": slow_when_busy,
    }
    for kind, slowdown in kinds.items():
        shares = []
        back = []
        for seed in SEEDS:
            _, outcomes = play_slow(slowdown, seed, **options)
            shares.append(
                compute_slow_runner_share(outcomes, SLOW_BEGIN + 2, SLOW_END)
            )
            before = compute_slow_runner_share(outcomes, 3.0, SLOW_BEGIN)
            after = compute_slow_runner_share(
                outcomes, SLOW_END + 10, SLOW_SECONDS
            )
            back.append(after / before)
        print(
            f"slow runner {kind}, {name}: share from 2 s on"
            f" {max(shares):.3f} at most, 10 s after its end"
            f" {min(back):.2f} of before at least"
        )


def _print_mixed(name: str, options: dict[str, Any]) -> None:
    ratios = []
    alone = mixed = 0
    for seed in SEEDS:
        unloaded, _ = play_mixed(0.0, 0.05, seed, **options)
        first, tokens = play_mixed(1.5, 0.05, seed, **options)
        ratios.append(first / unloaded)
        mixed += tokens
        alone += play_mixed(1.5, 0.0, seed, **options)[1]
    print(
        f"long among short, {name}: checks' p95 x{max(ratios):.2f} at most,"
        f" drafts {mixed / alone:.3f} of alone"
    )


def _print_prefixes(name: str, options: dict[str, Any]) -> None:
    for load, groups, skew in ((0.5, 40, 1.1), (0.9, 40, 1.1), (0.7, 10, 2)):
        played = [
            play_prefixes(load, groups, skew, s, **options) for s in SEEDS
        ]
        print(
            f"prefixes, load {load}, {groups} groups, {name}: reused"
            f" {min(reuse for reuse, _ in played):.3f} at least,"
            f" largest load {max(worst for _, worst in played):.2f}"
        )


if __name__ == "__main__":
    main()
