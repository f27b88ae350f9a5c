"""Tests of port allocation for systems that start at the same time."""

import fcntl

from bench import system


class TestFindPort:
    def test_a_port_of_another_system_is_not_taken(
        self, monkeypatch, tmp_path
    ):
        """Two test scenarios start a system at the same time.

        Without a claim on the port, both find the same one free, and a
        gateway of the second system cannot listen.
        """
        first, second = system.PORTS[0], system.PORTS[0] + 1
        ports = iter((first, second))

        class Fixed:
            def randrange(self, *bounds: int) -> int:
                return next(ports)

        monkeypatch.setattr(system.random, "SystemRandom", Fixed)
        # Claims of a concurrent test run must not affect this test.
        monkeypatch.setattr(system.tempfile, "gettempdir", lambda: tmp_path)
        path = tmp_path / f"lagoonpost-port-{first}"
        with path.open("w") as other:
            fcntl.flock(other, fcntl.LOCK_EX)
            assert system.find_port() == second
