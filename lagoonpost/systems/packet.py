"""What members send each other, and the events and actions of gossip."""

from typing import Literal, NamedTuple

from lagoonpost.tables.fact import Fact
from lagoonpost.tables.peer import Member


class Packet(NamedTuple):
    """One gossip request.

    Attributes:
        sender: Name of the member that sends it.
        members: Rows the receiver may not have.
        facts: Facts the receiver may not have.
        root: Digest of the sender's tables, or 0 for none.
        buckets: Digests of the buckets of the sender's tables, or empty;
            the answer brings the rows of those that differ.
        probe: Name of a member the receiver is asked to probe, or empty.
        reached: Name of a member that the sender probed for the receiver
            and that answered, or empty.
    """

    sender: str
    members: tuple[Member, ...] = ()
    facts: tuple[Fact, ...] = ()
    root: int = 0
    buckets: tuple[int, ...] = ()
    probe: str = ""
    reached: str = ""


class Reply(NamedTuple):
    """The answer to a packet.

    Attributes:
        sender: Name of the member that answers.
        current: Whether its facts are current.
        differs: Whether its digest is another than the packet's root.
        members: Rows of the buckets that differ.
        facts: Facts of the buckets that differ.
        wanted: Numbers of the buckets that differ.
    """

    sender: str
    current: bool
    differs: bool = False
    members: tuple[Member, ...] = ()
    facts: tuple[Fact, ...] = ()
    wanted: tuple[int, ...] = ()


Purpose = Literal["probe", "push", "sync", "heal", "ask", "relay", "leave"]


class Call(NamedTuple):
    """Send a packet and report the outcome as Answered or Failed.

    Attributes:
        target: Name of the receiver, or empty for a seed not yet known.
        address: Its address, ``IP:PORT``.
        packet: What to send.
        purpose: What the outcome is for.
        started: Time at which the call was made.
        behalf: For ``relay``: the member that asked for the probe.
    """

    target: str
    address: str
    packet: Packet
    purpose: Purpose
    started: float
    on_behalf_of: str = ""


class ChangedRows(NamedTuple):
    """Rows that are new in the own tables, also own ones."""

    members: tuple[Member, ...]
    facts: tuple[Fact, ...]


class Tick(NamedTuple):
    """A second passed."""


class Flush(NamedTuple):
    """News was gathered for a moment and is now to be pushed."""


class Publish(NamedTuple):
    """A fact came up in this process."""

    fact: Fact


class Leave(NamedTuple):
    """This process is about to end."""


class Received(NamedTuple):
    """A packet came; exactly one Reply is among the actions."""

    packet: Packet


class Answered(NamedTuple):
    """A call was answered."""

    call: Call
    reply: Reply


class Failed(NamedTuple):
    """A call was refused, cut or not answered in time."""

    call: Call


Event = Tick | Flush | Publish | Leave | Received | Answered | Failed
Action = Call | Reply | ChangedRows
