"""Keeps who does not answer, who is suspect, and until when.

Pattern of load: a rack or failure domain lost at once gives many failed
calls within a second. Each is judged by itself from few messages; what is
avoided or suspect is kept for seconds only, so the tables stay small.
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
    """A member that did not answer and is being probed on other ways."""

    incarnation: int
    until: float


class FailureDetector:
    """The failure detector of one member; it judges its own region only.

    When regions lose each other, neither can tell a cut from a loss. If
    they judged each other, all members of both would be dead on the other
    side after an hour and would all refute when the cut heals.
    """

    def __init__(self) -> None:
        self._avoided: dict[str, float] = {}
        self._inquiries: dict[str, IndirectProbe] = {}
        self._suspects: dict[str, float] = {}

    def avoided(self, now: float) -> frozenset[str]:
        """Return the names to pass over when choosing neighbours."""
        held = self._avoided
        return frozenset(name for name, end in held.items() if end > now)

    def avoid(self, name: str, now: float) -> None:
        """Pass a member over for a while."""
        self._avoided[name] = now + AVOID_SECONDS

    def start_indirect_probe(self, row: Member, now: float) -> bool:
        """Begin to ask others about a member; False if already at it."""
        if row.name in self._inquiries or row.state != "alive":
            return False
        # A direct and an indirect probe, the latter over two hops.
        until = now + 2 * PROBE_SECONDS
        self._inquiries[row.name] = IndirectProbe(row.incarnation, until)
        return True

    def clear(self, name: str) -> None:
        """Note that a member answered."""
        self._avoided.pop(name, None)
        self._inquiries.pop(name, None)

    def record_state(self, row: Member, now: float) -> None:
        """Note a row that changed, to time its suspicion."""
        if row.state == "suspect":
            self._suspects[row.name] = now + SUSPICION_SECONDS
        else:
            self._suspects.pop(row.name, None)

    def update_states(
        self, rows: dict[str, Member], now: float
    ) -> list[Member]:
        """Return the rows of all verdicts that are due."""
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
        held = [rows[name] for name in due if name in rows]
        return [mark_dead(row) for row in held if row.state == "suspect"]

    def drop_indirect_probes(self) -> None:
        """Begin no verdict by what this member was too slow to hear."""
        self._inquiries.clear()

    def reset(self) -> None:
        """Drop what was found out before a freeze.

        After a freeze all inquiries are overdue, while the answers to them
        wait unread in sockets. Without this a thawed process would suspect
        healthy members.
        """
        self._inquiries.clear()
        self._avoided.clear()
