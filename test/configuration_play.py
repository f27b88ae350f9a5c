"""Plays changes of the configuration at many gateways under faults."""

import asyncio
from typing import NamedTuple

from played_gateways import Deployment
from played_loop import play_time

APPLY_SECONDS = {3: 2.0, 9: 2.0, 17: 3.0, 67: 3.0, 82: 3.0, 195: 4.0}
"""Time within which a configuration must be in force, by gateways."""
STORM_PAUSE_SECONDS = 0.33
SLOW_LINK_MBPS = 5.0
LARGE_ROUTES = 600
"""Routes of a configuration of about 100 KB."""
RESTART_SECONDS = 0.5
PATIENCE_SECONDS = 9.0


class Trouble(NamedTuple):
    """What happens just before the configuration changes.

    Attributes:
        cut: Share of gateways that are cut off from all others, but not from
            the store; they stay alive in the others' view.
        pairs: Share of pairs of gateways that can't reach each other.
        killed: Share that is killed and stays alive in the others' view.
        restarted: Share that is killed and starts again.
        silent: Share that the store does not answer.
        readers: Whether the hubs and readers are among those hit.
        backups: Whether the backups are as well.
        versions: Number of versions, one after the other.
        large: Whether links are slow and the configuration is large.
    """

    cut: float = 0.0
    pairs: float = 0.0
    killed: float = 0.0
    restarted: float = 0.0
    silent: float = 0.0
    readers: bool = False
    backups: bool = False
    versions: int = 1
    large: bool = False


class Result(NamedTuple):
    """Outcome of a play.

    Attributes:
        slowest: Longest time in seconds from a version's acknowledgement
            until it was in force at a gateway with a path to the store.
        slowest_cut: The same for gateways that are cut off from all others.
        calls: Calls to the store by gateways that do not read it, after the
            change.
        calls_per_second: Calls of all gateways to the store.
    """

    slowest: float
    slowest_cut: float
    calls: int
    calls_per_second: float


def play_change(gateways: int, trouble: Trouble, seed: int) -> Result:
    """Play a deployment in which the configuration changes."""
    return play_time(_play(gateways, trouble, seed))


async def _play(gateways: int, trouble: Trouble, seed: int) -> Result:
    deployment = Deployment(
        gateways,
        APPLY_SECONDS[gateways],
        seed,
        **({"link_mbps": SLOW_LINK_MBPS, "routes": LARGE_ROUTES})
        if trouble.large
        else {},
    )
    await deployment.start()
    loop = asyncio.get_running_loop()
    begin, calls = loop.time(), deployment.count_store_calls()
    readers = set(deployment.list_readers())
    others = [
        gateway
        for name, gateway in deployment.gateways.items()
        if name not in readers
    ]
    calls_of_others = sum(each.client.calls for each in others)
    await asyncio.sleep(deployment.rng.uniform(0.0, 1.2))
    cut, silent = await _cause(deployment, trouble)
    since = loop.time()
    await asyncio.sleep(deployment.rng.uniform(0.0, 0.4))
    for _ in range(trouble.versions):
        await deployment.change_configuration()
        await asyncio.sleep(STORM_PAUSE_SECONDS)
    await asyncio.sleep(PATIENCE_SECONDS)
    names = set(deployment.gateways) - silent
    delays = deployment.find_delays(sorted(names), since)
    result = Result(
        max((d for (n, _), d in delays.items() if n not in cut), default=0.0),
        max((d for (n, _), d in delays.items() if n in cut), default=0.0),
        sum(each.client.calls for each in others) - calls_of_others,
        (deployment.count_store_calls() - calls) / (loop.time() - begin),
    )
    await deployment.close()
    return result


async def _cause(
    deployment: Deployment, trouble: Trouble
) -> tuple[set[str], set[str]]:
    """Return the gateways that are cut off, and those without the store."""
    count = len(deployment.addresses)
    share = max(trouble.cut, trouble.killed, trouble.restarted)
    hit = _draw(deployment, trouble, share, count)
    silent = set(_draw(deployment, trouble, trouble.silent, count))
    for name in silent:
        deployment.gateways[name].client.begin_silence()
    cut: set[str] = set()
    if trouble.cut:
        cut = set(hit)
        deployment.cut_off(hit)
    if trouble.pairs:
        deployment.cut_pairs(trouble.pairs)
    if trouble.killed or trouble.restarted:
        await deployment.kill([name for name in hit if name not in cut])
    if trouble.restarted:
        await asyncio.sleep(RESTART_SECONDS)
        for name in hit:
            await deployment.make_gateway(name).start()
        silent -= set(hit)
    return cut, silent & set(deployment.gateways)


def _draw(
    deployment: Deployment, trouble: Trouble, share: float, count: int
) -> list[str]:
    if not share:
        return []
    wanted = max(1, round(share * count))
    names = deployment.draw(1.0)
    if trouble.readers and not deployment.is_mesh():
        readers = deployment.list_readers(trouble.backups)
        names = readers + [name for name in names if name not in readers]
    return names[:wanted]
