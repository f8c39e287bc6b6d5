"""Membership table: merge by incarnation, digest, pending updates and removal of old records."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator
from typing import Any

import xxhash
from attrs import Factory, define, evolve

from goldcrestridge_core.member_types import (
    Member,
    MemberDown,
    MemberLeaving,
    MemberState,
    MemberUp,
)
from goldcrestridge_core.types import NodeId

# Regions are partitioned for minutes, and a single VM may be cut off for hours. A day covers both,
# and at 471 failures and replacements a day it bounds the table to about 2.4 times its live size.
FORGET_AFTER_MS = 86_400_000.0

# A suspect needs a few dissemination rounds to learn of the suspicion and refute it.
SUSPICION_BASE_MS = 4_000.0

# Probes of a suspect by each member that suspects it. Without them, one of 12 nodes was seen to
# drop a live member after a partition because no transmission of the refutation reached it.
PROBES_PER_SUSPICION = 3

# Transmissions of one update by one node, per decade of the number of members. With three
# receivers a round, three rounds per decade leave a share below e^-9 of the members uninformed.
RETRANSMIT_FACTOR = 3

RANKS = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
    MemberState.LEFT: 4,
}
DOWN_STATES = (MemberState.DEAD, MemberState.LEFT)


def precedence(member: Member) -> tuple[int, int]:
    """Return the key by which one record of a member overrides another."""
    return member.incarnation, RANKS[member.state]


def _fingerprint(member: Member) -> int:
    """Return the contribution of a member to the view's digest; 0 for a dead or left one."""
    if member.state in DOWN_STATES:
        return 0
    text = f"{member.node}|{member.incarnation}|{RANKS[member.state]}"
    return xxhash.xxh3_64_intdigest(text.encode())


@define
class MemberEntry:
    """A member with the monotonic times in milliseconds at which this node learned about it.

    ``suspect_until_ms`` is the end of a suspicion, or None if the member is not suspected.
    """

    member: Member
    known_since_ms: float
    state_since_ms: float
    suspect_until_ms: float | None = None
    next_probe_ms: float = 0.0


@define
class View:
    """Table of all members as one node sees them, itself included.

    A record of an unknown member that is dead or left is not added. Otherwise two nodes that
    remove it at different times would keep sending it back to each other.
    """

    own: Member
    entries: dict[NodeId, MemberEntry] = Factory(dict)
    digest: int = 0
    pending: dict[NodeId, int] = Factory(dict)

    def members(self) -> Iterator[Member]:
        """Iterate over all other members, in the order in which they became known."""
        return (e.member for e in self.entries.values() if e.member.node != self.own.node)

    def reachable(self) -> list[NodeId]:
        """Return the other members that are neither dead nor left."""
        return [member.node for member in self.members() if member.state not in DOWN_STATES]

    def dead(self) -> list[NodeId]:
        """Return the members in state DEAD, which may be behind a partition."""
        return [member.node for member in self.members() if member.state is MemberState.DEAD]

    def get(self, node: NodeId) -> Member | None:
        """Return the record of a member, or None if it is unknown."""
        entry = self.entries.get(node)
        return entry.member if entry else None

    def suspicion_ms(self) -> float:
        """Return the duration in milliseconds after which a suspect is declared dead."""
        return SUSPICION_BASE_MS * max(1.0, math.log10(len(self.entries) + 1))

    def set_own(self, member: Member, now_ms: float) -> None:
        """Replace this node's own record and queue it for dissemination."""
        self.own = member
        self._store(member, now_ms)

    def merge(self, record: Member, now_ms: float) -> list[Any]:
        """Apply a record of another member and return MemberUp, MemberLeaving or MemberDown."""
        entry = self.entries.get(record.node)
        if entry is None:
            return [] if record.state in DOWN_STATES else self._apply_record(record, now_ms)
        if precedence(record) <= precedence(entry.member):
            return []
        if record.state is MemberState.DEAD and entry.member.state not in DOWN_STATES:
            return self._mark_suspect(entry, record, now_ms)
        return self._apply_record(record, now_ms)

    def suspect(self, node: NodeId, now_ms: float) -> list[Any]:
        """Suspect a member after a failed probe."""
        entry = self.entries.get(node)
        if entry is None or entry.member.state not in (MemberState.ALIVE, MemberState.LEAVING):
            return []
        return self._mark_suspect(entry, entry.member, now_ms)

    def _mark_suspect(self, entry: MemberEntry, record: Member, now_ms: float) -> list[Any]:
        """Start a suspicion, also for a DEAD record, so that a live member can refute it.

        After a partition each side considers the other dead. Without this step the first exchange
        would make every node drop all members of its own side. A leaving member stays leaving.
        """
        leaving = entry.member.state is MemberState.LEAVING
        state = MemberState.LEAVING if leaving else MemberState.SUSPECT
        suspected = evolve(record, state=state)
        if precedence(suspected) > precedence(entry.member):
            entry = self._store(suspected, now_ms)
        if entry.suspect_until_ms is None:
            self._start_suspicion(entry, now_ms)
        return []

    def _start_suspicion(self, entry: MemberEntry, now_ms: float) -> None:
        """Set the end of a suspicion and the time of the first probe."""
        entry.suspect_until_ms = now_ms + self.suspicion_ms()
        entry.next_probe_ms = now_ms + self.suspicion_ms() / (PROBES_PER_SUSPICION + 1)

    def due_probes(self, now_ms: float) -> list[Member]:
        """Return the suspects whose probe is due, and set the time of their next probe."""
        due = [
            entry
            for entry in self.entries.values()
            if entry.suspect_until_ms is not None and entry.next_probe_ms <= now_ms
        ]
        for entry in due:
            entry.next_probe_ms = now_ms + self.suspicion_ms() / (PROBES_PER_SUSPICION + 1)
        return [entry.member for entry in due]

    def clear_leaving_suspicion(self, node: NodeId) -> None:
        """End the suspicion of a leaving member that answered; others refute it themselves."""
        entry = self.entries.get(node)
        if entry and entry.member.state is MemberState.LEAVING:
            entry.suspect_until_ms = None

    def expire_members(self, now_ms: float) -> list[Any]:
        """Declare expired suspects dead, and remove members down for FORGET_AFTER_MS."""
        expired = [
            entry.member
            for entry in self.entries.values()
            if entry.suspect_until_ms is not None and entry.suspect_until_ms <= now_ms
        ]
        effects = [
            effect
            for member in expired
            for effect in self._apply_record(evolve(member, state=MemberState.DEAD), now_ms)
        ]
        forgotten = [
            node
            for node, entry in self.entries.items()
            if entry.member.state in DOWN_STATES
            and now_ms - entry.state_since_ms >= FORGET_AFTER_MS
        ]
        for node in forgotten:
            del self.entries[node]
            self.pending.pop(node, None)
        return effects

    def next_suspicion_ms(self) -> float | None:
        """Return the end of the next suspicion or the next probe, whichever is first."""
        times = [
            min(entry.suspect_until_ms, entry.next_probe_ms)
            for entry in self.entries.values()
            if entry.suspect_until_ms is not None
        ]
        return min(times, default=None)

    def _apply_record(self, record: Member, now_ms: float) -> list[Any]:
        """Store a record and return the effects for the other roles."""
        before = self.get(record.node)
        was_down = before is None or before.state in DOWN_STATES
        self._store(record, now_ms)
        if record.state in DOWN_STATES:
            return [] if was_down else [MemberDown(record.node)]
        if record.state is MemberState.LEAVING:
            effects: list[Any] = [MemberUp(record)] if was_down else []
            left_before = before is not None and before.state is MemberState.LEAVING
            return effects if left_before else [*effects, MemberLeaving(record.node)]
        newer = before is None or record.incarnation > before.incarnation
        return [MemberUp(record)] if was_down or newer else []

    def _store(self, record: Member, now_ms: float) -> MemberEntry:
        """Update the table, the digest and the pending updates with a record."""
        old = self.entries.get(record.node)
        if old:
            self.digest ^= _fingerprint(old.member)
        known = old is not None and old.member.incarnation == record.incarnation
        entry = MemberEntry(record, old.known_since_ms if old and known else now_ms, now_ms)
        if record.state is MemberState.SUSPECT:
            self._start_suspicion(entry, now_ms)
        self.entries[record.node] = entry
        self.digest ^= _fingerprint(record)
        self.pending[record.node] = 0
        return entry

    def take_updates(self, limit: int) -> tuple[Member, ...]:
        """Return the least transmitted pending updates, and drop those sent often enough."""
        bound = RETRANSMIT_FACTOR * math.ceil(math.log10(len(self.entries) + 1))
        chosen = sorted(self.pending, key=lambda node: self.pending[node])[:limit]
        for node in chosen:
            self.pending[node] += 1
            if self.pending[node] >= bound:
                del self.pending[node]
        return tuple(self.entries[node].member for node in chosen)

    def summary(self) -> tuple[tuple[NodeId, int, int], ...]:
        """Return (node, incarnation, state rank) of every member, sorted by node."""
        return tuple(
            (node, *precedence(self.entries[node].member)) for node in sorted(self.entries)
        )

    def compare(
        self, entries: Iterable[tuple[NodeId, int, int]]
    ) -> tuple[tuple[Member, ...], tuple[NodeId, ...]]:
        """Return the records newer than a peer's summary, and the nodes to request records of."""
        peer_keys = {node: (incarnation, rank) for node, incarnation, rank in entries}
        absent = (-1, -1)
        newer = tuple(
            entry.member
            for node, entry in self.entries.items()
            if precedence(entry.member) > peer_keys.get(node, absent)
            and (node in peer_keys or entry.member.state not in DOWN_STATES)
        )
        wanted = tuple(
            node
            for node, key in peer_keys.items()
            if node in self.entries and key > precedence(self.entries[node].member)
        )
        unknown = tuple(
            node
            for node, (_, rank) in peer_keys.items()
            if node not in self.entries and rank < RANKS[MemberState.DEAD]
        )
        return newer, wanted + unknown

    def sample(self, rng: random.Random, count: int, exclude: tuple[NodeId, ...]) -> list[NodeId]:
        """Return up to ``count`` random members that are neither down nor in ``exclude``."""
        others = [node for node in self.reachable() if node not in exclude]
        return rng.sample(others, min(count, len(others)))
