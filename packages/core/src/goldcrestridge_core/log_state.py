"""State of one log replica, shared by election, replication, snapshots and membership changes.

Records are written with group commit: while one batch is being synced, new records collect in the
next batch, so that one sync covers many entries. A message that depends on a record is sent only
after the batch of that record is synced.
"""

from __future__ import annotations

import enum
import math
from random import Random
from typing import Any, Protocol

from attrs import Factory, define, field, frozen

from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.log_records import Entries, Record, membership_of
from goldcrestridge_core.log_types import (
    HardState,
    LogEntry,
    LogMembership,
    LogReset,
    LogRoute,
    Replica,
    Snapshot,
    WriteLog,
    WriteSnapshot,
)
from goldcrestridge_core.types import Emit, NodeId, Send

NO_MEMBERSHIP = LogMembership("", ())


class StateMachine(Protocol):
    """Deterministic state machine driven by the log, which treats commands and results as bytes."""

    def refuse(self, command: bytes) -> bytes | None:
        """Return the encoded refusal of a command that must not enter the log, or None."""
        ...

    def apply(self, command: bytes, index: int, stamp_ms: float) -> bytes:
        """Apply a committed command and return its encoded result."""
        ...

    def query(self, request: bytes) -> bytes:
        """Return the encoded result of a read."""
        ...

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the state with one returned by ``snapshot``."""
        ...


@frozen
class LogOptions:
    """Timeouts and size limits of the log.

    A leader lease expires ``lease_share`` of an election timeout after the acknowledged heartbeat
    was sent; the remainder is the margin for clock drift. With a randomized election timeout of
    500 to 1,000 ms, a failed leader is replaced within 1.5 s.
    """

    heartbeat_ms: float = 100.0
    election_timeout_ms: float = 500.0
    lease_share: float = 0.9
    lease_reads: bool = True
    resend_ms: float = 200.0
    promotion_heartbeats: int = (
        10  # A learner delays commits in at most one of this many heartbeats.
    )
    announcement_interval_ms: float = 500.0
    announcement_ttl_ms: float = 2000.0  # Older announcements do not count when a log is formed.
    snapshot_entries: int = 4096
    snapshot_bytes: int = 8 << 20  # Lower bound; the limit is twice the last snapshot if larger.
    retained_entries: int = 1024
    retained_bytes: int = 16 << 20
    append_entries: int = 1024
    append_bytes: int = 1 << 20
    chunk_bytes: int = 256 << 10
    max_pending_proposals: int = 10_000
    # Number of voters that the leader maintains automatically; 0 disables automatic changes.
    target_voters: int = 0
    # A voter silent for this long is replaced if a spare replica is ready.
    replace_after_ms: float = 1_500.0
    # A learner silent for this long is removed.
    remove_after_ms: float = 3_000.0


class Position(enum.Enum):
    """Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@define
class Progress:
    """Replication progress of one follower or learner, as tracked by the leader.

    ``heard_ms`` is when the replica was last known to run before it acknowledged an append.
    """

    next_index: int
    heard_ms: float
    match: int = 0
    acked_ms: float = -math.inf  # When the leader sent the newest append that was acknowledged.
    unacked_last: int = 0  # Last index of the append in flight; 0 if none.
    unacked_ms: float = -math.inf  # When the append or snapshot chunk in flight was sent.
    snapshot_index: int = 0  # Index of the snapshot being sent; 0 if none.
    snapshot_data: bytes = b""
    offset: int = 0
    wall_offset_ms: float | None = None  # Peer wall time minus local monotonic time.
    # Learners only: whether it should become a voter, the commit index at the last heartbeat, the
    # number of heartbeats since commits last waited for this learner, and whether they do now.
    promotion_due: bool = False
    catch_up_target: int = 1 << 62
    heartbeats_since_hold: int = 0
    holds_commit: bool = False


@define
class IncomingSnapshot:
    """Snapshot being received in chunks."""

    source: Replica
    index: int
    total: int
    data: bytearray = Factory(bytearray)


@define
class Batch:
    """Records covered by one sync, and the messages to send after it."""

    records: list[Record] = Factory(list)
    sends: list[Send] = Factory(list)
    last_index: int = 0  # Index up to which entries are durable after the sync; 0 if none.
    has_hard_state: bool = False


@define
class LogState:
    """Durable and volatile state of one replica; functions in other modules operate on it."""

    own: Replica
    machine: StateMachine
    rng: Random
    options: LogOptions
    initial: tuple[NodeId, ...] = ()
    contacts: tuple[NodeId, ...] = ()  # Further nodes to announce to while there is no leader.
    term: int = 0
    voted_for: Replica | None = None
    entries: Entries = Factory(Entries)
    snapshot: Snapshot | None = None
    # Memberships by the index of their entry, oldest first; the last one is in effect.
    memberships: list[tuple[int, LogMembership]] = Factory(list)
    commit: int = 0  # Highest index known to be committed.
    applied: int = 0  # Highest index applied to the state machine.
    synced: int = 0  # Highest index durable on this replica.
    stamp_ms: float = 0.0
    position: Position = Position.FOLLOWER
    leader: Replica | None = None
    last_contact_ms: float = -math.inf  # Arrival of the last message of a leader, or the start.
    election_at_ms: float = math.inf
    heartbeat_at_ms: float = math.inf
    join_at_ms: float = math.inf
    votes: set[Replica] = Factory(set)
    peers: dict[Replica, Progress] = Factory(dict)
    # Replicas whose nodes stop, this one included, as far as it is known.
    leaving: set[Replica] = Factory(set)
    # Removed replicas that still get entries, so that they learn of it, with the index of the
    # entry that removed them.
    removed: dict[Replica, int] = Factory(dict)
    last_leader: Replica | None = None  # The leader that ``last_contact_ms`` is about.
    term_start: int = 0  # Index of the barrier entry of this leader's term.
    leader_since_ms: float = 0.0
    verified: int = 0  # Highest index known to match the log of this term's leader.
    ack_pending: bool = False  # An acknowledgement is due to the leader.
    leader_sent_ms: float = -math.inf  # Newest ``sent_ms`` of this leader, echoed in replies.
    wall_offset_ms: float | None = None  # Wall time minus monotonic time; None until known.
    # Fresh replicas by node, with the time of their last announcement.
    join_announcements: dict[NodeId, tuple[Replica, float]] = Factory(dict)
    # Proposal ids and senders to reply to, by log index.
    waiters: dict[int, list[tuple[str, NodeId]]] = Factory(dict)
    # Log index by proposal id, for proposals that are not applied yet.
    proposal_indexes: dict[str, int] = Factory(dict)
    # Pending reads: sender, query id, request, read index and time of arrival.
    queries: list[tuple[NodeId, str, bytes, int, float]] = Factory(list)
    incoming_snapshot: IncomingSnapshot | None = None
    # Received and local snapshots being written, by write token.
    pending_installs: dict[int, Snapshot] = Factory(dict)
    pending_snapshots: dict[int, Snapshot] = Factory(dict)
    applied_bytes: int = 0  # Size of the commands applied since the last snapshot.
    batch: Batch = Factory(Batch)
    in_flight: Batch | None = None
    next_token: int = 1
    in_flight_token: int = 0
    failed: bool = False
    effects: list[Any] = field(factory=list)

    @property
    def membership(self) -> LogMembership:
        """Return the latest membership in the log, whether or not it is committed."""
        return self.memberships[-1][1] if self.memberships else NO_MEMBERSHIP

    @property
    def is_voter(self) -> bool:
        """Return whether this incarnation is a voter."""
        return self.own in self.membership.voters

    @property
    def hard_state_pending(self) -> bool:
        """Return whether the current term or vote is not durable yet."""
        return self.batch.has_hard_state or (
            self.in_flight is not None and self.in_flight.has_hard_state
        )

    def route(self, target: Replica) -> LogRoute:
        """Return the route header of a message to another replica."""
        return LogRoute(self.membership.group, self.own, target)

    def send(self, target: Replica, message: object) -> None:
        """Send a message at once; it must not depend on records that are not durable."""
        self.effects.append(Send(target.node, message))

    def send_durable(self, target: Replica, message: object) -> None:
        """Send a message once the current term and vote are durable."""
        send = Send(target.node, message)
        if self.batch.has_hard_state:
            self.batch.sends.append(send)
        elif self.in_flight is not None and self.in_flight.has_hard_state:
            self.in_flight.sends.append(send)
        else:
            self.effects.append(send)

    def emit(self, kind: str, **detail: str | int | float) -> None:
        """Emit a timeline event."""
        self.effects.append(Emit(kind, detail=tuple(sorted(detail.items()))))

    def token(self) -> int:
        """Return a new token that identifies a write."""
        self.next_token += 1
        return self.next_token - 1

    def save_hard_state(self, term: int, voted_for: Replica | None) -> None:
        """Set term and vote, and add them to the next batch."""
        self.term = term
        self.voted_for = voted_for
        self.batch.records.append(HardState(term, voted_for))
        self.batch.has_hard_state = True

    def append(self, entry: LogEntry) -> None:
        """Append an entry to the log and the next batch, truncating conflicting entries.

        Raise InvariantError if the entry would replace a committed one.
        """
        if entry.index <= self.commit:
            raise InvariantError(
                f"Entry {entry.index} would replace a committed entry;"
                f" the commit index is {self.commit}."
            )
        if entry.index <= self.entries.last_index:
            self._truncate_from(entry.index)
        self.entries.append(entry)
        self.batch.records.append(entry)
        self.batch.last_index = entry.index
        self.stamp_ms = max(self.stamp_ms, entry.stamp_ms)
        membership = membership_of(entry)
        if membership is not None:
            self.memberships.append((entry.index, membership))

    def _truncate_from(self, index: int) -> None:
        """Undo the effects of the entries from ``index`` on, which a new leader replaces."""
        self.memberships = [pair for pair in self.memberships if pair[0] < index]
        self.synced = min(self.synced, index - 1)
        self.batch.last_index = min(self.batch.last_index, index - 1)
        if self.in_flight is not None:
            self.in_flight.last_index = min(self.in_flight.last_index, index - 1)

    def reset(self, snapshot: Snapshot) -> None:
        """Discard all entries and continue after a snapshot that they do not match."""
        self.entries.reset(snapshot.index, snapshot.term)
        self.batch.records.append(LogReset(snapshot.index, snapshot.term))
        self.memberships = [(snapshot.index, snapshot.membership)]
        self.synced = snapshot.index
        self.batch.last_index = min(self.batch.last_index, snapshot.index)
        if self.in_flight is not None:
            self.in_flight.last_index = min(self.in_flight.last_index, snapshot.index)

    def write_snapshot(self, snapshot: Snapshot) -> int:
        """Start to write a snapshot and return the token of the write."""
        token = self.token()
        self.effects.append(WriteSnapshot(snapshot, token))
        return token

    def start_batch(self) -> None:
        """Write the collected records unless another batch is in flight."""
        if self.in_flight is not None or not self.batch.records:
            return
        self.in_flight = self.batch
        self.batch = Batch()
        self.in_flight_token = self.token()
        self.effects.append(WriteLog(tuple(self.in_flight.records), self.in_flight_token))

    def batch_synced(self) -> None:
        """Complete the batch in flight and send the messages that waited for it."""
        batch = self.in_flight
        if batch is None:
            raise InvariantError("A sync completed although no batch is in flight.")
        self.in_flight = None
        self.synced = max(self.synced, batch.last_index)
        self.effects.extend(batch.sends)
