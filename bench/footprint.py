"""Measures a gateway's memory and CPU time by the size of the declaration."""

import argparse
import json
import random
import statistics
import time
import tracemalloc
from typing import Any

import psutil

from bench.system import LocalSystem
from lagoonpost.gateway.access import digest_key
from lagoonpost.gateway.state import EntryMember
from lagoonpost.systems.entry import assign_entries
from lagoonpost.systems.event import Declared, GatewaysChanged
from lagoonpost.systems.gateway import decide
from lagoonpost.systems.gateway_tables import GatewayTables
from lagoonpost.tables.entity import (
    Declaration,
    Route,
    Runner,
    Service,
    Version,
    Workspace,
)

GATEWAYS = 320
DOMAINS = 8
WORKSPACES = 50
REPEATS = 5
IDLE_SECONDS = 8.0


def make_declaration(runners: int, revision: int) -> Declaration:
    """Return a declaration with ``runners`` runners of two services."""
    chat = Route("/v1/chat/completions", "draft", True, 1.9, 0.038)
    check = Route("checks/*", "check", True, 0.3)
    services = (
        Service("assistant", "model", (chat,)),
        Service("booking", "plain", (check,)),
    )
    names = ["assistant"] * 9 + ["booking"]
    return Declaration(
        revision,
        services,
        (Version("assistant", "v1"), Version("booking", "v1")),
        tuple(
            Workspace(f"w{n}", digest_key(str(n))) for n in range(WORKSPACES)
        ),
        tuple(
            Runner(
                f"runner-{n}",
                f"10.0.{n // 250}.{n % 250}:8000",
                names[n % 10],
                "v1",
                f"host-{n}",
                f"domain-{n % DOMAINS}",
            )
            for n in range(runners)
        ),
    )


def measure_declaration(runners: int) -> dict[str, float]:
    """Return the memory of the tables and the time to apply a change."""
    tracemalloc.start()
    declaration = make_declaration(runners, 1)
    tables = GatewayTables("gateway-1", GATEWAYS)
    rng = random.Random(1)
    decide(tables, GatewaysChanged(GATEWAYS), 0.0, rng)
    decide(tables, Declared(declaration), 0.0, rng)
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    times = []
    for revision in range(2, 2 + REPEATS):
        changed = make_declaration(runners, revision)
        started = time.perf_counter()
        decide(tables, Declared(changed), float(revision), rng)
        times.append(time.perf_counter() - started)
    return {
        "runners": runners,
        "mb": allocated / 1e6,
        "change_ms": statistics.median(times) * 1e3,
    }


def measure_entries(gateways: int) -> dict[str, float]:
    """Return the time to compute the entry lists of all workspaces."""
    members = [
        EntryMember(f"gateway-{n}", "", "r1", f"domain-{n % DOMAINS}")
        for n in range(gateways)
    ]
    weights = {f"w{n}": 1.0 + n % 5 for n in range(WORKSPACES)}
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter()
        assign_entries(members, weights)
        times.append(time.perf_counter() - started)
    return {
        "gateways": gateways,
        "workspaces": WORKSPACES,
        "ms": statistics.median(times) * 1e3,
    }


def measure_idle(engines: int) -> dict[str, float]:
    """Return the CPU share and memory of an idle gateway.

    Args:
        engines: Number of engines that the gateway polls.
    """
    system = LocalSystem(gateways=1, engines=engines, services=1)
    try:
        system.start()
        time.sleep(2.0)
        process = psutil.Process(system.processes["gateway-1"].pid)
        before = process.cpu_times()
        time.sleep(IDLE_SECONDS)
        after = process.cpu_times()
        rss = process.memory_info().rss
    finally:
        system.stop()
    spent = after.user + after.system - before.user - before.system
    return {
        "engines": engines,
        "cpu_share": spent / IDLE_SECONDS,
        "rss_mb": rss / 1e6,
    }


def main() -> None:
    """Run all measurements and print a report as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, nargs="*", default=[1, 8, 16])
    arguments = parser.parse_args()
    report: dict[str, Any] = {
        "declaration": [
            measure_declaration(runners) for runners in (10, 100, 1000, 2800)
        ],
        "entries": [measure_entries(count) for count in (9, 72, 320)],
        "idle": [measure_idle(count) for count in arguments.engines],
    }
    print(json.dumps(report, indent=2))


if __name__ == "__main__":
    main()
