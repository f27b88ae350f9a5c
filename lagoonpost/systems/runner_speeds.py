"""Learns how fast runners are and how many requests they take well."""


class RunnerSpeeds:
    """Model of each runner's speed, learned by all gateways together."""

    def slowness(self, runner: str, now: float) -> float:
        """Return a runner's time for the same work, relative to its service's.

        Args:
            runner: Id of the runner.
            now: Time in seconds.

        Returns:
            1.0 for the mean of the service; 2.0 takes twice as long.
        """
        return 1.0

    def capacity(self, runner: str, slots: int, now: float) -> int:
        """Return the requests at once up to which a runner keeps its pace.

        Args:
            runner: Id of the runner.
            slots: Requests that it runs at once.
            now: Time in seconds.

        Returns:
            The number of requests; ``slots`` if nothing is known.
        """
        return slots
