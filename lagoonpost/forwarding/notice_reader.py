"""Records what runners say of themselves in the heads of their answers.

Only answers to requests are heard, as they repeat the request's id. Answers to
the calls that move runs have none; they come from runners that are known to
leave.
"""

import time
from collections.abc import Callable

from lagoonpost.forwarding.cluster_state import ClusterState
from lagoonpost.forwarding.news_fact import MS_PER_SECOND
from lagoonpost.forwarding.permits import Permits
from lagoonpost.forwarding.request_log import (
    log_brittle_refusal,
    log_notice,
    log_stated_limits,
)
from lagoonpost.http.message import Headers
from lagoonpost.platform.headers import MISDIRECTED, read_head, read_notice
from lagoonpost.store.clock import read_clock
from lagoonpost.systems.answer_head import HeadVerdict, judge_head
from lagoonpost.tables.endpoint import Endpoint
from lagoonpost.tables.runner_notice import Departure, RunnerNotice
from lagoonpost.tables.stated_limits import NO_LIMITS


class NoticeReader:
    """Reads the head of each answer of a runner, whatever its body becomes.

    Args:
        view: Local view of the runners.
        permits: Records the limits that runners name.
        count_open: Returns a runner's open requests, as far as is known.

    Attributes:
        publish: Tells the other gateways of a runner that leaves.
    """

    publish: Callable[[Departure], None]

    def __init__(
        self,
        view: ClusterState,
        permits: Permits,
        count_open: Callable[[str], int],
    ) -> None:
        self._view = view
        self._permits = permits
        self._count_open = count_open

    def note_head(
        self,
        endpoint: Endpoint,
        status: int,
        headers: Headers,
        sent_at: float,
    ) -> None:
        """Record the head of an answer to a request.

        Args:
            endpoint: The runner as it was when the request was sent.
            status: HTTP status of the answer.
            headers: Headers of the answer.
            sent_at: Time in seconds at which the request was sent.
        """
        if status == MISDIRECTED:  # another runner has the address
            return
        notice = read_notice(status, headers)
        self._note(endpoint, notice)
        self._note_limits(endpoint, notice, sent_at)

    def note_passing_head(
        self,
        endpoint: Endpoint,
        status: int,
        headers: Headers,
        request_id: str,
    ) -> None:
        """Record the head of what comes back to another gateway's request.

        Args:
            endpoint: The runner.
            status: HTTP status of the answer.
            headers: Headers of the answer.
            request_id: Id of the request; empty if nothing can show whose
                answer it is.
        """
        if not request_id or status == MISDIRECTED:
            return
        ruling = judge_head(read_head(status, headers), request_id)
        if ruling.verdict is not HeadVerdict.FOREIGN:
            self._note(endpoint, read_notice(status, headers))

    def merge(self, departure: Departure, source: str = "peer") -> None:
        """Record another gateway's news of a runner that leaves."""
        self._view.note_leaving(departure.runner, departure.born, source)

    def _note(self, endpoint: Endpoint, notice: RunnerNotice) -> None:
        if notice.rest is not None:
            rest = self._view.notices.note_rest(
                endpoint,
                notice.rest,
                self._count_open(endpoint.id),
                read_clock(),
                time.time() * MS_PER_SECOND,
            )
            log_notice(endpoint, notice.leaving, rest)
        if notice.leaving and self._view.note_leaving(
            endpoint.id, endpoint.born, "answer"
        ):
            log_notice(endpoint, notice.leaving, None)
            self.publish(Departure(endpoint.id, endpoint.born))

    def _note_limits(
        self, endpoint: Endpoint, notice: RunnerNotice, sent_at: float
    ) -> None:
        limits = notice.limits
        # A refusal need not name limits that still hold.
        if notice.refused and limits == NO_LIMITS:
            return
        if self._permits.note_answer(endpoint, limits, sent_at):
            log_stated_limits(endpoint, limits)
        if notice.refused and limits.refusals is not None:
            self._permits.note_refused(endpoint)
            log_brittle_refusal(endpoint, limits.refusals)
