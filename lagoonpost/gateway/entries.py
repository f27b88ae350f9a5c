"""The entry list: which gateways a caller is told to use."""

import xxhash

from lagoonpost.gateway.state import EntryMember, Gateway
from lagoonpost.http.message import Response, make_json_response

# A caller keeps the list this long. A gateway that dies stays listed with
# some callers for as long, and they turn to the next entry by themselves.
TTL_SECONDS = 20
ENTRIES = 3


def rank_entries(
    members: tuple[EntryMember, ...], workspace: str
) -> tuple[EntryMember, ...]:
    """Return the members by rendezvous hash, one domain after another.

    A workspace keeps its few gateways while others come and go, and its
    first entries lie in different failure domains, so that losing one
    domain leaves its callers an entry that they already know.
    """

    def weigh(member: EntryMember) -> int:
        return xxhash.xxh3_64_intdigest(f"{workspace}/{member.name}".encode())

    ranked = sorted(members, key=weigh, reverse=True)
    seen: dict[str, int] = {}
    rounds = []
    for member in ranked:
        rounds.append(seen.get(member.failure_domain, 0))
        seen[member.failure_domain] = rounds[-1] + 1
    order = sorted(range(len(ranked)), key=lambda place: rounds[place])
    return tuple(ranked[place] for place in order)


def list_entries(gateway: Gateway, workspace: str) -> Response:
    """Return the ranked entry addresses with their time to live."""
    ranked = rank_entries(gateway.members(), workspace)[:ENTRIES]
    entries = [
        {"address": entry.address, "failure_domain": entry.failure_domain}
        for entry in ranked
    ]
    return make_json_response(
        200,
        {"entries": entries, "ttl": TTL_SECONDS},
        (("cache-control", f"max-age={TTL_SECONDS}"),),
    )
