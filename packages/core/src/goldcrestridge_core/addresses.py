"""Answers to the question which addresses a caller should use."""

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

# Two addresses near the caller let it survive the loss of a node, the third that of the data
# centre. A longer answer would only be cached longer than the nodes in it live.
ANSWER_LENGTH = 3
LOCAL_ADDRESSES = 2

ENTRY_ROLE = "entry"


@frozen
class AddressAnswer:
    """Addresses in order of preference, to be kept for at most ``ttl_ms``."""

    addresses: tuple[str, ...]
    ttl_ms: float


@define
class Addresses:
    """Know the live entry nodes and answer callers.

    ``own`` is this node's record; it is part of the answers until this node drains. Feed the
    effects MemberUp, MemberLeaving and MemberDown of the membership role to ``handle``.

    For m callers of one data centre with n entry nodes, each node is first in the answers of
    m/n callers on average; no node exceeds m/n by more than five times its square root.
    """

    own: Member
    _entries: dict[NodeId, Member] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with this node alone."""
        self._entries = {}
        self.handle(MemberUp(self.own), 0.0)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply a membership event; returns no effect."""
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
        """Return None; answers depend on events alone."""
        return None

    def live(self) -> list[NodeId]:
        """Return the entry nodes that may be named, sorted."""
        return sorted(self._entries)

    def answer(self, caller: str, data_centre: str, ttl_ms: float) -> AddressAnswer:
        """Return the addresses for a caller; an unknown data centre means this node's own.

        ``caller`` identifies the caller stably, for example by workspace and site. The answer
        names at least two nodes if two are live, and prefers the caller's data centre.
        """
        known = {member.data_centre for member in self._entries.values()}
        preferred = data_centre if data_centre in known else self.own.data_centre
        order = rank(caller, self._entries)
        local = [node for node in order if self._entries[node].data_centre == preferred]
        remote = [node for node in order if self._entries[node].data_centre != preferred]
        rest = [*remote[:1], *local[LOCAL_ADDRESSES:], *remote[1:]]
        chosen = [*local[:LOCAL_ADDRESSES], *rest][:ANSWER_LENGTH]
        return AddressAnswer(tuple(self._entries[n].caller_address for n in chosen), ttl_ms)
