"""Usage that a new hub knows from its last summary alone.

Load pattern: hubs are killed one after the other while a workspace asks for
more than its quota. A new hub knows the usage of all gateways from its last
summary, and each gateway that still runs reports its own once more. Only what
no gateway reports is taken from the summary. It was used by gateways that are
gone, at any time within its bucket, so it counts until the end of the bucket
leaves the window. What they used after the summary is never told and has to be
assumed.
"""

from collections.abc import Iterable
from itertools import accumulate

from lagoonpost.systems.sliding_window import PUBLISHED_BUCKETS, Charge


class SummarizedUsage:
    """The usage of one workspace in a hub's last summary.

    Args:
        rows: Usage of all gateways, dated in the middle of its bucket.
        at: Time of the summary in seconds.
        window: Length of the quotas' window in seconds.
        untold_seconds: Time for which gateways that are gone may have gone on
            after the summary.
    """

    def __init__(
        self,
        rows: Iterable[Charge],
        at: float,
        window: float,
        untold_seconds: float,
    ) -> None:
        self._at = at
        self._window = window
        self._untold_seconds = untold_seconds
        self._bucket_seconds = window / PUBLISHED_BUCKETS
        # By bucket, the latest first.
        self._told = [0.0] * PUBLISHED_BUCKETS
        self._reported = [0.0] * PUBLISHED_BUCKETS
        self._undated = Charge(at, 0.0)
        _add_rows(self._told, rows, at, self._bucket_seconds)

    def note_reported(self, rows: Iterable[Charge], until: float) -> None:
        """Record usage that a gateway itself reports.

        Args:
            rows: Usage of the gateway, dated as early as it may have been.
            until: Time up to which the summary has it for certain.
        """
        told = (row for row in rows if row.at <= until)
        _add_rows(self._reported, told, self._at, self._bucket_seconds)

    def note_undated(self, units: float, now: float) -> None:
        """Record usage that a gateway reports without its times.

        The summary's stands for it, as far as it suffices.

        Args:
            units: Units that the gateway admitted within the window.
            now: Time in seconds.
        """
        self._undated = Charge(now, self._undated.units + units)

    def list_unreported(self, now: float) -> list[Charge]:
        """Return what no gateway has dated, as late as it may have been.

        Args:
            now: Time in seconds.
        """
        # Usage is dated late by up to a report's pause, so that a bucket may
        # have what was used in the one before. The sum since a bucket's start
        # is not affected, nor can it be larger than a longer one.
        sums = accumulate(
            told - reported
            for told, reported in zip(self._told, self._reported, strict=True)
        )
        bounds = list(
            accumulate((max(0.0, each) for each in reversed([*sums])), min)
        )[::-1]
        first = int((now - self._at) / self._bucket_seconds)
        kept = max(0, PUBLISHED_BUCKETS - first)
        rows = [
            Charge(self._at - index * self._bucket_seconds, after - before)
            for index, (before, after) in enumerate(
                zip([0.0, *bounds], bounds[:kept], strict=False)
            )
        ]
        more = self._undated.units - bounds[-1]
        rows.append(self._undated._replace(units=more))
        told = sum(self._told[:kept])
        if told > 0:
            part = min(1.0, bounds[kept - 1] / told)
            rate = max(0.0, self._told[0]) / self._bucket_seconds
            untold = part * rate * self._untold_seconds
            latest = min(now, self._at + self._untold_seconds)
            rows.append(Charge(latest, untold))
        return [row for row in rows if row.units > 0]


def _add_rows(
    buckets: list[float],
    rows: Iterable[Charge],
    end: float,
    bucket_seconds: float,
) -> None:
    for at, units in rows:
        index = max(0, int((end - at) / bucket_seconds))
        if index < len(buckets):
            buckets[index] += units
