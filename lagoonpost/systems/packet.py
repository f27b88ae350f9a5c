"""Messages, events and actions of the gossip protocol."""

from typing import Literal, NamedTuple

from lagoonpost.tables.fact import Fact, RecentFact
from lagoonpost.tables.peer import Member


class Packet(NamedTuple):
    """One gossip request.

    Attributes:
        sender: Name of the sending member.
        members: Member rows that the receiver may not have.
        facts: Facts that the receiver may not have.
        root: Digest of the sender's tables; 0 if not sent.
        buckets: Digests of the buckets of the sender's tables, or empty.
            The reply contains the rows of all buckets that differ.
        probe: Name of a member for the receiver to probe, or empty.
        reached: Name of a member that answered a probe the sender made on
            behalf of the receiver, or empty.
    """

    sender: str
    members: tuple[Member, ...] = ()
    facts: tuple[Fact, ...] = ()
    root: int = 0
    buckets: tuple[int, ...] = ()
    probe: str = ""
    reached: str = ""


class Reply(NamedTuple):
    """Reply to a gossip request.

    Attributes:
        sender: Name of the replying member.
        current: Whether the facts of the replying member are up to date.
        differs: Whether its digest differs from ``root`` of the request.
        members: Member rows in the buckets that differ.
        facts: Facts in the buckets that differ.
        wanted: Indexes of the buckets that differ, whose rows the replying
            member requests.
    """

    sender: str
    current: bool
    differs: bool = False
    members: tuple[Member, ...] = ()
    facts: tuple[Fact, ...] = ()
    wanted: tuple[int, ...] = ()


Purpose = Literal["probe", "push", "sync", "heal", "ask", "relay", "leave"]


class Call(NamedTuple):
    """Send a packet and report the result as Answered or Failed.

    Attributes:
        target: Name of the receiver; empty for a seed of unknown name.
        address: Address of the receiver, ``IP:PORT``.
        packet: The packet to send.
        purpose: Why the call is made; selects how its result is handled.
        started: Time of the call, in seconds since the epoch.
        behalf: For ``relay``: the member that asked for the probe.
    """

    target: str
    address: str
    packet: Packet
    purpose: Purpose
    started: float
    on_behalf_of: str = ""


class ChangedRows(NamedTuple):
    """Rows that changed in the local tables, including this member's own."""

    members: tuple[Member, ...]
    facts: tuple[Fact, ...]


class Tick(NamedTuple):
    """The periodic timer fired, once per second."""


class Flush(NamedTuple):
    """The batching delay is over; pending rows are to be pushed."""


class Publish(NamedTuple):
    """This process publishes a fact."""

    fact: Fact


class Leave(NamedTuple):
    """This process is about to shut down."""


class Received(NamedTuple):
    """A packet was received; the actions contain exactly one Reply."""

    packet: Packet


class Answered(NamedTuple):
    """A call was answered."""

    call: Call
    reply: Reply


class Unanswered(NamedTuple):
    """A call has no answer yet, later than usual."""

    call: Call


class Failed(NamedTuple):
    """A call was refused, was interrupted or timed out.

    Attributes:
        call: The call.
        delayed: Whether ``Unanswered`` was reported for it before.
    """

    call: Call
    delayed: bool = False


class Compared(NamedTuple):
    """Another member named facts that it received recently.

    Attributes:
        member: Name of the other member.
        recent: The facts that it named.
    """

    member: str
    recent: tuple[RecentFact, ...]


Event = (
    Tick
    | Flush
    | Publish
    | Leave
    | Received
    | Answered
    | Unanswered
    | Failed
    | Compared
)
Action = Call | Reply | ChangedRows
