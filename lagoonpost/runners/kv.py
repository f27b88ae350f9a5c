"""Moves KV caches off leaving runners, in the order that saves most work."""

import asyncio
from typing import NamedTuple

import msgspec

from lagoonpost.http.client import CallFailedError, Client
from lagoonpost.http.message import parse_address
from lagoonpost.runners.whole_answer import call_whole
from lagoonpost.systems.evacuation import (
    LinkEstimate,
    PendingTransfer,
    choose_next,
)
from lagoonpost.tables.decoding import read_json
from lagoonpost.tables.entity import Runner
from lagoonpost.unreadable import log_unreadable

# Weight of the newest export in the moving average of a link's rate.
NEWEST_EXPORT_WEIGHT = 0.3


class _Job(NamedTuple):
    transfer: PendingTransfer
    target: Runner
    done: asyncio.Future[bool]


class _Imported(msgspec.Struct):
    tokens: int


class KvMover:
    """Moves KV caches, with one export at a time per source runner.

    When a runner with many answers is reclaimed, concurrent exports would
    all be incomplete at the deadline and save nothing. In sequence, most
    complete in time.
    """

    def __init__(self, client: Client) -> None:
        self._client = client
        self._jobs: dict[str, list[_Job]] = {}
        self._links: dict[str, LinkEstimate] = {}
        self._workers: dict[str, asyncio.Task[None]] = {}

    async def move(
        self, transfer: PendingTransfer, source: Runner, target: Runner
    ) -> bool:
        """Move one answer's KV cache; return by the transfer's deadline.

        Args:
            transfer: Request, size and deadline of the transfer.
            source: Runner that holds the cache.
            target: Runner that receives it.

        Returns:
            Whether the target holds the complete cache.
        """
        loop = asyncio.get_running_loop()
        job = _Job(transfer, target, loop.create_future())
        self._jobs.setdefault(source.name, []).append(job)
        if source.name not in self._workers:
            self._workers[source.name] = asyncio.create_task(
                self._work(source)
            )
        return await job.done

    async def _work(self, source: Runner) -> None:
        jobs = self._jobs[source.name]
        try:
            while jobs:
                # All answers affected by one reclaim notice call ``move`` in
                # the same iteration of the event loop; choose after that.
                await asyncio.sleep(0)
                await self._run_next(source, jobs)
        finally:
            del self._workers[source.name]
            for job in self._jobs.pop(source.name):
                _resolve(job, moved=False)

    async def _run_next(self, source: Runner, jobs: list[_Job]) -> None:
        now = asyncio.get_running_loop().time()
        link = self._links.get(source.name, LinkEstimate())
        waiting = [job.transfer for job in jobs if not job.done.done()]
        chosen = choose_next(waiting, link, now)
        if chosen is None:
            for job in jobs:
                _resolve(job, moved=False)
            jobs.clear()
            return
        job = next(job for job in jobs if job.transfer is chosen)
        jobs.remove(job)
        _resolve(job, moved=await self._transfer(source, job))

    async def _transfer(self, source: Runner, job: _Job) -> bool:
        loop = asyncio.get_running_loop()
        started = loop.time()
        name = job.transfer.request_id
        try:
            async with asyncio.timeout_at(job.transfer.deadline):
                exported = await call_whole(
                    self._client,
                    parse_address(source.endpoint),
                    "POST",
                    f"/v1/streams/{name}/export",
                    repeatable=True,
                    timeout=job.transfer.deadline - started,
                )
                if exported.status != 200:
                    return False
                imported = await self._client.call(
                    parse_address(job.target.endpoint),
                    "POST",
                    "/v1/kv/import",
                    exported.body,
                    timeout=job.transfer.deadline - started,
                )
        except (CallFailedError, TimeoutError):
            return False
        if imported.status != 200:
            return False
        answer = read_json(imported.body, _Imported)
        if answer is None:
            log_unreadable("runner", job.target.name, "answer to an import")
            return False
        seconds = loop.time() - started
        link = self._links.get(source.name, LinkEstimate())
        self._links[source.name] = link.add_sample(
            len(exported.body), answer.tokens, seconds, NEWEST_EXPORT_WEIGHT
        )
        return True


def _resolve(job: _Job, *, moved: bool) -> None:
    if not job.done.done():
        job.done.set_result(moved)
