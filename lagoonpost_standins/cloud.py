"""Hosts of the stand-in platform, with an eventually consistent list."""

import time
from typing import Any, NamedTuple


class _Change(NamedTuple):
    at: float
    hosts: dict[str, dict[str, Any]]


class Cloud:
    """Starts and stops hosts; lists them with a configurable delay.

    Attributes:
        lag: Seconds by which `list_hosts` is out of date.
        notices: Reclaim notices, oldest first.
    """

    def __init__(self) -> None:
        self.lag = 0.0
        self.notices: list[dict[str, Any]] = []
        self._changes = [_Change(time.monotonic(), {})]
        self._bought = 0

    def buy(self, order: dict[str, Any]) -> dict[str, Any]:
        """Start a host with the ordered properties and return it, named."""
        self._bought += 1
        host = {**order, "name": f"host-{self._bought}", "state": "live"}
        self._change({**self._now(), host["name"]: host})
        return host

    def release(self, name: str) -> bool:
        """Stop a host; return False if no host has this name."""
        hosts = dict(self._now())
        found = hosts.pop(name, None) is not None
        self._change(hosts)
        return found

    def list_hosts(self) -> list[dict[str, Any]]:
        """Return the hosts that existed ``lag`` seconds ago."""
        then = time.monotonic() - self.lag
        shown = self._changes[0]
        for change in self._changes:
            if change.at <= then:
                shown = change
        return list(shown.hosts.values())

    def _now(self) -> dict[str, dict[str, Any]]:
        return self._changes[-1].hosts

    def _change(self, hosts: dict[str, dict[str, Any]]) -> None:
        self._changes.append(_Change(time.monotonic(), hosts))
