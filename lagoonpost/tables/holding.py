"""What one client's connection makes a process hold."""

from typing import Literal

Stage = Literal["opening", "idle", "reading", "handled", "refused"]
"""Progress of a connection:

- opening: no whole head of a first request has arrived
- idle: kept open after a response
- reading: the body of a request arrives
- handled: a whole request is being answered
- refused: the response was sent, and what still arrives is discarded
"""


class Holding:
    """Row of one connection; changed by `Holdings` only.

    Attributes:
        stage: Progress of the connection.
        since: Time of its last progress, in seconds.
        arrived: Bytes that have arrived since then.
        body: Bytes kept of the request.
        ahead: Bytes received beyond the request.
        unsent: Bytes of the response that the client hasn't taken, as last
            measured.
        kept: Those among them that aren't in the connection's buffer yet.
        unsent_since: Time at which the client last took some of them.
    """

    __slots__ = (
        "ahead",
        "arrived",
        "body",
        "kept",
        "since",
        "stage",
        "unsent",
        "unsent_since",
    )

    def __init__(self, now: float) -> None:
        self.stage: Stage = "opening"
        self.since = now
        self.arrived = 0
        self.body = 0
        self.ahead = 0
        self.unsent = 0
        self.kept = 0
        self.unsent_since = now

    @property
    def size(self) -> int:
        """Bytes held beyond what each connection takes."""
        return self.body + self.ahead + self.unsent
