"""Requests in flight while settings and configurations change."""

import asyncio
from typing import Any

import pytest
from forwarding_stack import Stack, make_prompt, play, wait_until
from test_migration import (
    make_stream,
    reclaim,
    slow_down,
    wait_for_busy_runner,
)

from lagoonpost.http.message import Response
from lagoonpost.systems.migration import MIN_PROMPT_TOKENS
from lagoonpost_standins.deployment import make_configuration, make_route

LIMITS = {"max_body_bytes": 2, "max_header_bytes": 64, "idle_timeout_ms": 100}
CHANGES: dict[str, dict[str, Any]] = {
    "routes_withdrawn": {"routes": []},
    "routes_moved": {
        "routes": [
            make_route("draft", "streaming", "desk"),
            make_route("reply", "streaming", "desk"),
        ]
    },
    "less_time": {
        "routes": [
            make_route(
                "draft",
                "streaming",
                "chat",
                stream_resume=True,
                timeout_ms=600,
            ),
            make_route(
                "reply", "streaming", "chat", max_attempts=1, timeout_ms=600
            ),
        ]
    },
    "keys_withdrawn": {"tenants": []},
    "limits_lowered": {"limits": LIMITS},
    "services_withdrawn": {"routes": [], "services": []},
}
PATHS = pytest.mark.parametrize("path", ["/draft/1", "/reply/1"])
BOUNDS = "grace_s = 0.4\nlease_ms = 900\nretry_budget_ratio = 0.0\n"
MACHINE = "memory_mb = 64\nmax_fds = 128\n"


async def configure(stack: Stack, change: dict[str, Any]) -> None:
    """Put a configuration into force at all gateways."""
    await stack.store.put("op", "config", make_configuration(2, **change))
    for daemon in stack.gateways:
        await wait_until(lambda d=daemon: d.view.version == 2)


def reload_settings(stack: Stack) -> None:
    """Change the bounds and limits in all gateways' settings files."""
    for number, daemon in enumerate(stack.gateways, 1):
        path = stack.folder / f"gateway-{number}.toml"
        text = path.read_text()
        text = text.replace("[bounds]\n", "[bounds]\n" + BOUNDS)
        text = text.replace("[limits]\n", "[limits]\n" + MACHINE)
        path.write_text(text)
        daemon._settings_watcher.reload()
        settings = daemon._settings_watcher.settings
        assert settings.bounds.grace_seconds == 0.4


def start(stack: Stack, path: str) -> asyncio.Task[Response]:
    """Begin a stream of three seconds."""
    slow_down(stack)
    headers = make_prompt(MIN_PROMPT_TOKENS)
    return asyncio.create_task(stack.call(path, "POST", headers=headers))


class TestStreams:
    @PATHS
    @pytest.mark.parametrize("name", CHANGES)
    def test_a_stream_outlives_a_configuration(
        self, path: str, name: str
    ) -> None:
        """Guards against a new configuration that cuts off old requests."""

        async def scenario(stack: Stack) -> bytes:
            call = start(stack, path)
            await wait_for_busy_runner(stack)
            await configure(stack, CHANGES[name])
            return (await call).body

        assert play(scenario, chat=1) == make_stream(path)

    @PATHS
    @pytest.mark.parametrize("name", CHANGES)
    def test_a_stream_moves_after_a_new_configuration(
        self, path: str, name: str
    ) -> None:
        """Guards against a run that its new configuration keeps from moving.

        Its runner leaves some moments after the change.
        """

        async def scenario(stack: Stack) -> bytes:
            call = start(stack, path)
            busy = await wait_for_busy_runner(stack)
            await configure(stack, CHANGES[name])
            await reclaim(stack, busy)
            return (await call).body

        assert play(scenario) == make_stream(path)

    @PATHS
    def test_a_stream_outlives_changed_settings(self, path: str) -> None:
        """Guards against a reload that cuts off requests in flight."""

        async def scenario(stack: Stack) -> bytes:
            call = start(stack, path)
            await wait_for_busy_runner(stack)
            reload_settings(stack)
            return (await call).body

        assert play(scenario, chat=1) == make_stream(path)
