"""The ``ask``, ``book`` and ``check`` commands, which call services."""

import asyncio
import json
import secrets

import click

from lagoonpost.caller.client import (
    Caller,
    Finished,
    Problem,
    Resumed,
    Token,
)
from lagoonpost.cli.option import (
    KEY_VARIABLE,
    ExitCode,
    entry_option,
    fail,
    read_secret,
)
from lagoonpost.http.message import Address, Response

_EXIT_CODES = {
    "not_run": ExitCode.NOT_RUN,
    "unknown": ExitCode.UNKNOWN,
    "ran": ExitCode.FAILED,
}


@click.command()
@entry_option
@click.option("--service", default="assistant", show_default=True)
@click.option("--max-tokens", default=64, show_default=True)
@click.argument("prompt")
def ask(
    entries: tuple[Address, ...],
    service: str,
    max_tokens: int,
    prompt: str,
) -> None:
    """Stream a draft, resuming it if a gateway or runner is lost.

    Example: LAGOONPOST_KEY=demo-key lagoonpost ask "A term plan for glazes"
    """
    key = read_secret(KEY_VARIABLE)
    body = {
        "model": service,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
    }
    problem = asyncio.run(_stream(entries, key, body))
    if problem is not None:
        raise _fail_with(problem)


async def _stream(
    entries: tuple[Address, ...], key: str, body: dict[str, object]
) -> Problem | None:
    caller = Caller(entries, key)
    try:
        async for event in caller.draft(body):
            match event:
                case Token(text):
                    click.echo(text, nl=False)
                case Resumed(entry, offset, cause):
                    note = f"[resumed at {entry}, token {offset}: {cause}]"
                    click.echo(note, err=True)
                case Finished(finish_reason, usage):
                    count = usage.get("completion_tokens", 0)
                    click.echo()
                    note = f"[{finish_reason}, {count} tokens]"
                    click.echo(note, err=True)
                case Problem():
                    return event
    finally:
        caller.close()
    return None


@click.command()
@entry_option
@click.option("--service", default="booking", show_default=True)
@click.option("--route", default="bookings", show_default=True)
@click.option("--idempotency-key", help="Drawn at random if not given.")
@click.argument("body")
def book(
    entries: tuple[Address, ...],
    service: str,
    route: str,
    idempotency_key: str | None,
    body: str,
) -> None:
    """Make a booking at most once.

    Example: LAGOONPOST_KEY=demo-key lagoonpost book '{"wheel": 3}'
    """
    key = read_secret(KEY_VARIABLE)
    request_key = idempotency_key or secrets.token_hex(12)
    path = f"/v1/services/{service}/{route}"
    click.echo(f"[idempotency key {request_key}]", err=True)
    _print_response(
        asyncio.run(_call(entries, key, "POST", path, body, request_key))
    )


@click.command()
@entry_option
@click.option("--service", default="booking", show_default=True)
@click.argument("route")
def check(entries: tuple[Address, ...], service: str, route: str) -> None:
    """Send an idempotent request to a plain service.

    Example: LAGOONPOST_KEY=demo-key lagoonpost check checks/saturday
    """
    key = read_secret(KEY_VARIABLE)
    path = f"/v1/services/{service}/{route}"
    _print_response(asyncio.run(_call(entries, key, "GET", path, "", "")))


async def _call(
    entries: tuple[Address, ...],
    key: str,
    method: str,
    path: str,
    body: str,
    idempotency_key: str,
) -> Response | Problem:
    caller = Caller(entries, key)
    try:
        return await caller.call(
            method, path, body.encode(), key=idempotency_key
        )
    finally:
        caller.close()


def _print_response(response: Response | Problem) -> None:
    if isinstance(response, Problem):
        raise _fail_with(response)
    click.echo(response.body)


def _fail_with(problem: Problem) -> click.exceptions.Exit:
    text = json.dumps(problem._asdict())
    code = _EXIT_CODES.get(problem.execution, ExitCode.FAILED)
    return fail(text, code)
