"""Ports of systems that start side by side."""

import fcntl
import tempfile
from pathlib import Path

from bench import system


class TestFindPort:
    def test_a_port_of_another_system_is_not_taken(self, monkeypatch):
        """Two stories start a system at the same time.

        Both found the same port free, and a gateway of the second one
        could not listen.
        """
        first, second = system.PORTS[0], system.PORTS[0] + 1
        drawn = iter((first, second))

        class Fixed:
            def randrange(self, *bounds: int) -> int:
                return next(drawn)

        monkeypatch.setattr(system.random, "SystemRandom", Fixed)
        path = Path(tempfile.gettempdir()) / f"lagoonpost-port-{first}"
        with path.open("w") as other:
            fcntl.flock(other, fcntl.LOCK_EX)
            assert system.find_port() == second
