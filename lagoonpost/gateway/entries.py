"""Entry lists: the ranked gateways that each workspace's callers use."""

from lagoonpost.gateway.state import EntryMember, Gateway
from lagoonpost.http.message import Response, make_json_response
from lagoonpost.systems.entry import MIN_ENTRIES, assign_entries, rank_members

# Callers cache the list for this time. After a gateway dies, some callers
# still have it listed for as long; they fail over to the next entry.
TTL_SECONDS = 20


class EntryLists:
    """Entry lists of all workspaces, recomputed only if an input changes."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._inputs: tuple[tuple[EntryMember, ...], int] | None = None
        self._lists: dict[str, tuple[EntryMember, ...]] = {}

    def choose(self, workspace: str) -> tuple[EntryMember, ...]:
        """Return the entries of a workspace, or a default if unknown."""
        gateway = self._gateway
        members = tuple(sorted(gateway.members()))
        inputs = (members, gateway.declaration.revision)
        if inputs != self._inputs:
            weights = {
                declared.name: declared.weight
                for declared in gateway.declaration.workspaces
            }
            self._lists = assign_entries(members, weights)
            self._inputs = inputs
        assigned = self._lists.get(workspace)
        return assigned or tuple(
            rank_members(members, workspace)[:MIN_ENTRIES]
        )


def list_entries(gateway: Gateway, workspace: str) -> Response:
    """Return the workspace's ranked entries and their time to live."""
    entries = [
        {"address": entry.address, "failure_domain": entry.failure_domain}
        for entry in gateway.entries.choose(workspace)
    ]
    return make_json_response(
        200,
        {"entries": entries, "ttl": TTL_SECONDS},
        (("cache-control", f"max-age={TTL_SECONDS}"),),
    )
