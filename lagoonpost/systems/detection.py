"""Failure detector: unresponsive and suspect members and their timeouts.

Load pattern: the loss of a rack or failure domain causes many failed calls
within a second. Each member is judged separately from a few messages.
Avoided and suspect members are tracked for seconds only, so the tables stay
small.
"""

from typing import NamedTuple

from lagoonpost.systems.membership import (
    AVOID_SECONDS,
    PROBE_SECONDS,
    SUSPICION_SECONDS,
    mark_dead,
    mark_suspect,
)
from lagoonpost.tables.peer import Member


class IndirectProbe(NamedTuple):
    """Pending indirect probes of a member that did not answer.

    Attributes:
        incarnation: Incarnation of the member that did not answer.
        until: Time at which the member becomes suspect, in seconds.
    """

    incarnation: int
    until: float


class FailureDetector:
    """Failure detector of one member; it judges only its own region.

    Regions that cannot reach each other cannot distinguish a partition from
    a failure. If they judged each other, after an hour each would have marked
    all members of the other dead, and all would refute this at once when the
    partition heals.
    """

    def __init__(self) -> None:
        self._avoided: dict[str, float] = {}
        self._inquiries: dict[str, IndirectProbe] = {}
        self._suspects: dict[str, float] = {}

    def avoided(self, now: float) -> frozenset[str]:
        """Return the names to skip when choosing neighbours."""
        ends = self._avoided
        return frozenset(name for name, end in ends.items() if end > now)

    def avoid(self, name: str, now: float) -> None:
        """Skip a member as neighbour for ``AVOID_SECONDS``."""
        self._avoided[name] = now + AVOID_SECONDS

    def start_indirect_probe(self, row: Member, now: float) -> bool:
        """Start indirect probes of a member.

        Returns:
            False if probes are already pending or the member is not alive.
        """
        if row.name in self._inquiries or row.state != "alive":
            return False
        # The indirect probe takes two hops, with one timeout per hop.
        until = now + 2 * PROBE_SECONDS
        self._inquiries[row.name] = IndirectProbe(row.incarnation, until)
        return True

    def clear(self, name: str) -> None:
        """Stop avoiding and probing a member that answered."""
        self._avoided.pop(name, None)
        self._inquiries.pop(name, None)

    def record_state(self, row: Member, now: float) -> None:
        """Start or stop the suspicion timeout after a row changed."""
        if row.state == "suspect":
            self._suspects[row.name] = now + SUSPICION_SECONDS
        else:
            self._suspects.pop(row.name, None)

    def update_states(
        self, rows: dict[str, Member], now: float
    ) -> list[Member]:
        """Return the rows that become suspect or dead at ``now``."""
        return [
            *self._find_suspects(rows, now),
            *self._find_dead(rows, now),
        ]

    def _find_suspects(
        self, rows: dict[str, Member], now: float
    ) -> list[Member]:
        found = []
        for name, inquiry in list(self._inquiries.items()):
            if inquiry.until > now:
                continue
            del self._inquiries[name]
            row = rows.get(name)
            if row and row.incarnation == inquiry.incarnation:
                found.append(mark_suspect(row, now))
        return [row for row in found if rows[row.name].state == "alive"]

    def _find_dead(self, rows: dict[str, Member], now: float) -> list[Member]:
        due = [name for name, end in self._suspects.items() if end <= now]
        for name in due:
            del self._suspects[name]
        found = [rows[name] for name in due if name in rows]
        return [mark_dead(row) for row in found if row.state == "suspect"]

    def drop_indirect_probes(self) -> None:
        """Drop pending probes whose answers may wait unread.

        Called when this member itself was too slow to read them in time.
        """
        self._inquiries.clear()

    def reset(self) -> None:
        """Drop pending probes and avoided members after a process pause.

        After a pause all pending probes are overdue while their answers wait
        unread in sockets. Without the reset, the resumed process would
        suspect healthy members.
        """
        self._inquiries.clear()
        self._avoided.clear()
