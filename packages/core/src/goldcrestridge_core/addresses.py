"""Selection of the entry node addresses that a caller should use."""

from __future__ import annotations

from typing import Any

from attrs import define, field, frozen

from goldcrestridge_core.member_types import (
    Member,
    MemberDown,
    MemberLeaving,
    MemberState,
    MemberUp,
)
from goldcrestridge_core.rendezvous import rank
from goldcrestridge_core.types import NodeId

# Two addresses in the caller's data centre cover the loss of a node, the third one that of the data
# centre. Callers keep an answer, and further addresses in it would only outlive their nodes.
ANSWER_LENGTH = 3
LOCAL_ADDRESSES = 2

ENTRY_ROLE = "entry"


@frozen
class AddressAnswer:
    """Addresses in order of preference, which the caller may keep for at most ``ttl_ms``."""

    addresses: tuple[str, ...]
    ttl_ms: float


@define
class Addresses:
    """Track the live entry nodes and select addresses for callers.

    ``own`` is this node's record; it is part of the answers until this node drains. Pass the
    effects MemberUp, MemberLeaving and MemberDown of the membership role to ``handle``.

    For m callers of one data centre with n entry nodes, each node is first in the answers of
    m/n callers on average; no node exceeds m/n by more than five times its square root.
    """

    own: Member
    _entries: dict[NodeId, Member] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Register this node alone."""
        self._entries = {}
        self.handle(MemberUp(self.own), 0.0)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply a membership event and return no effects."""
        del now_ms
        match event:
            case MemberUp(member=member):
                live = member.state in (MemberState.ALIVE, MemberState.SUSPECT)
                if live and ENTRY_ROLE in member.roles and member.caller_address:
                    self._entries[member.node] = member
                else:
                    self._entries.pop(member.node, None)
            case MemberLeaving(node=node) | MemberDown(node=node):
                self._entries.pop(node, None)
        return []

    def next_deadline_ms(self) -> float | None:
        """Return None, because answers depend on events alone."""
        return None

    def live(self) -> list[NodeId]:
        """Return the entry nodes that answers may contain, sorted."""
        return sorted(self._entries)

    def answer(self, caller: str, data_centre: str, ttl_ms: float) -> AddressAnswer:
        """Return the addresses for a caller; an unknown data centre means that of this node.

        ``caller`` is a stable identifier, for example workspace and site. The answer contains at
        least two nodes if two are live, and prefers the caller's data centre.
        """
        known = {member.data_centre for member in self._entries.values()}
        preferred = data_centre if data_centre in known else self.own.data_centre
        order = rank(caller, self._entries)
        local = [node for node in order if self._entries[node].data_centre == preferred]
        remote = [node for node in order if self._entries[node].data_centre != preferred]
        rest = [*remote[:1], *local[LOCAL_ADDRESSES:], *remote[1:]]
        chosen = [*local[:LOCAL_ADDRESSES], *rest][:ANSWER_LENGTH]
        return AddressAnswer(tuple(self._entries[n].caller_address for n in chosen), ttl_ms)
