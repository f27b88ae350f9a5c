"""HTTP routes of the stand-in engine."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib.parse import parse_qs

import msgspec

from lagoonpost.http.message import Request, Response, make_json_response
from lagoonpost.http.responder import Responder
from lagoonpost_standins.engine_batch import Answer
from lagoonpost_standins.engine_fault import Faults
from lagoonpost_standins.engine_model import hash_blocks
from lagoonpost_standins.engine_state import EngineState, Order, make_problem

EXPORT_CHUNK_BYTES = 65536


class _KvHead(msgspec.Struct):
    """Header of a KV export; ``padding`` bytes follow it."""

    model: str
    version: str
    tokens: int
    hashes: list[int]
    padding: int


Handler = Callable[[Request, Responder], Awaitable[None]]


class _Target(NamedTuple):
    stream: str
    tail: str


def _split_stream(path: str) -> _Target | None:
    prefix = "/v1/streams/"
    if not path.startswith(prefix):
        return None
    stream, _, tail = path[len(prefix) :].partition("/")
    return _Target(stream, tail)


def _find_attempt(request: Request) -> str:
    return request.header("x-reader-id") or ""


class Routes:
    """Dispatches HTTP requests to the engine."""

    def __init__(self, engine: EngineState) -> None:
        self._engine = engine
        self._table: dict[tuple[str, str], Handler] = {
            ("POST", "/v1/chat/completions"): self._complete,
            ("POST", "/v1/kv/import"): self._import,
            ("POST", "/v1/orders"): self._order,
            ("GET", "/v1/load"): self._report,
            ("GET", "/v1/state"): self._describe,
            ("GET", "/v1/cache-events"): self._list_cache_events,
            ("POST", "/standin/faults"): self._set_faults,
            ("GET", "/standin/counts"): self._count,
        }

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        handler = self._table.get((request.method, request.path))
        target = _split_stream(request.path)
        if handler is not None:
            await handler(request, responder)
        elif target is not None:
            await self._handle_stream(request, responder, target)
        else:
            await responder.send(make_problem(404, "no such path"))

    async def _handle_stream(
        self, request: Request, responder: Responder, target: _Target
    ) -> None:
        batch = self._engine.batch
        answer = batch.find(target.stream)
        if answer is None:
            await responder.send(make_problem(404, "no such stream"))
        elif request.method == "DELETE":
            if not answer.can_be_canceled_by(_find_attempt(request)):
                problem = make_problem(409, "another attempt reads it")
                await responder.send(problem)
                return
            batch.cancel(target.stream)
            batch.counts.canceled += 1
            await responder.send(Response(204))
        elif target.tail == "export":
            await self._export(responder, answer)
        else:
            answer.record_attempt(_find_attempt(request))
            after = int(parse_qs(request.query).get("after", ["0"])[0])
            await self._engine.feed.send(responder, answer, after, first=False)

    async def _complete(self, request: Request, responder: Responder) -> None:
        engine = self._engine
        body = msgspec.json.decode(request.body, type=dict[str, object])
        answer = Answer(request.header("x-request-id") or "", body)
        refusal = engine.find_refusal(answer.version)
        if refusal is not None:
            engine.batch.counts.refused += 1
            await responder.send(make_problem(503, refusal))
            return
        if engine.faults.fail_status is not None:
            await responder.send(
                make_problem(engine.faults.fail_status, "failed", "unknown")
            )
            return
        if not answer.has_valid_prefix():
            engine.batch.counts.bad_continuations += 1
            await responder.send(make_problem(400, "not this answer's tokens"))
            return
        answer.record_attempt(_find_attempt(request))
        priority = int(request.header("x-priority") or "0")
        engine.batch.submit(answer, priority)
        await engine.feed.send(
            responder, answer, answer.resumed_tokens, first=True
        )

    async def _export(self, responder: Responder, answer: Answer) -> None:
        engine = self._engine
        tokens = answer.all_tokens()
        padding = len(tokens) * engine.options.kv_bytes
        head = _KvHead(
            str(answer.body.get("model", "")),
            answer.version,
            len(tokens),
            hash_blocks(tokens),
            padding,
        )
        data = msgspec.msgpack.encode(head)
        data = len(data).to_bytes(4, "big") + data + bytes(padding)
        cut = engine.faults.export_cut
        end = len(data) if cut is None else int(len(data) * cut)
        await responder.start(200, ())
        for start in range(0, end, EXPORT_CHUNK_BYTES):
            part = data[start : min(end, start + EXPORT_CHUNK_BYTES)]
            await responder.write(part)
            engine.batch.counts.exported_bytes += len(part)
            if engine.options.export_rate:
                await asyncio.sleep(len(part) / engine.options.export_rate)
        if cut is None:
            await responder.finish()

    async def _import(self, request: Request, responder: Responder) -> None:
        size = int.from_bytes(request.body[:4], "big")
        try:
            head = msgspec.msgpack.decode(
                request.body[4 : 4 + size], type=_KvHead
            )
        except msgspec.DecodeError:
            await responder.send(make_problem(400, "not an export"))
            return
        if len(request.body) != 4 + size + head.padding:
            await responder.send(make_problem(400, "the export is cut off"))
            return
        self._engine.batch.cache.store(head.hashes)
        await responder.send(make_json_response(200, {"tokens": head.tokens}))

    async def _order(self, request: Request, responder: Responder) -> None:
        order = msgspec.json.decode(request.body, type=Order)
        await responder.send(self._engine.apply_order(order))

    async def _describe(self, request: Request, responder: Responder) -> None:
        await responder.send(make_json_response(200, self._engine.describe()))

    async def _report(self, request: Request, responder: Responder) -> None:
        report = self._engine.report_load()
        await responder.send(make_json_response(200, report))

    async def _list_cache_events(
        self, request: Request, responder: Responder
    ) -> None:
        after = int(parse_qs(request.query).get("after", ["0"])[0])
        events = [
            event
            for event in self._engine.batch.cache.events
            if event.seq > after
            and not (self._engine.faults.cache_gap and event.seq % 2)
        ]
        await responder.send(make_json_response(200, {"events": events}))

    async def _set_faults(
        self, request: Request, responder: Responder
    ) -> None:
        faults = msgspec.json.decode(request.body, type=Faults)
        self._engine.set_faults(faults)
        await responder.send(Response(204))

    async def _count(self, request: Request, responder: Responder) -> None:
        counts = self._engine.batch.counts
        await responder.send(make_json_response(200, counts))
