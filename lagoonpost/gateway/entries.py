"""The entry list: which gateways a caller is told to use."""

from lagoonpost.gateway.state import EntryMember, Gateway
from lagoonpost.http.message import Response, make_json_response
from lagoonpost.systems.entry import MIN_ENTRIES, assign_entries, rank_members

# A caller keeps the list this long. A gateway that dies stays listed with
# some callers for as long, and they turn to the next entry by themselves.
TTL_SECONDS = 20


class EntryLists:
    """All workspaces' lists, worked out anew only when something changed."""

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._inputs: tuple[tuple[EntryMember, ...], int] | None = None
        self._lists: dict[str, tuple[EntryMember, ...]] = {}

    def choose(self, workspace: str) -> tuple[EntryMember, ...]:
        """Return the entries of a workspace, or some if it has none."""
        gateway = self._gateway
        members = tuple(sorted(gateway.members()))
        made_of = (members, gateway.declaration.revision)
        if made_of != self._inputs:
            weights = {
                declared.name: declared.weight
                for declared in gateway.declaration.workspaces
            }
            self._lists = assign_entries(members, weights)
            self._inputs = made_of
        known = self._lists.get(workspace)
        return known or tuple(rank_members(members, workspace)[:MIN_ENTRIES])


def list_entries(gateway: Gateway, workspace: str) -> Response:
    """Return the ranked entry addresses with their time to live."""
    entries = [
        {"address": entry.address, "failure_domain": entry.failure_domain}
        for entry in gateway.entries.choose(workspace)
    ]
    return make_json_response(
        200,
        {"entries": entries, "ttl": TTL_SECONDS},
        (("cache-control", f"max-age={TTL_SECONDS}"),),
    )
