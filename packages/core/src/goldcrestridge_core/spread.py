"""Configuration distribution role: spreads new versions by hints and differences."""

from __future__ import annotations

import random
from collections import deque
from typing import Any

from attrs import define, field, frozen
from returns.result import Success

from goldcrestridge_core import differences
from goldcrestridge_core.differences import Tables
from goldcrestridge_core.member_types import (
    Ack,
    ConfigCommitted,
    ConfigConfirmed,
    ConfigDelta,
    ConfigHint,
    ConfigInForce,
    ConfigPull,
    MemberDown,
    MemberGossip,
    MemberUp,
    Ping,
    PingReq,
)
from goldcrestridge_core.types import Count, Emit, NodeId, Receive, Send, Tick

# Four round trips between regions. Nine attempts fit into the 4 s within which a change must be in
# force on every node.
PULL_TIMEOUT_MS = 400.0
HINT_FANOUT = 3
HINT_ROUNDS = 3
HINT_INTERVAL_MS = 250.0
MAX_OFFERS = 16
MAX_FAILURES = 4  # Consecutive unanswered pulls after which a peer's offer is dropped.
MAX_PAST_VERSIONS = 64  # Eight minutes of changes at 12,000 changes a day.
MAX_PAST_BYTES = 2_000_000  # Encoded size of the differences between the retained versions.
MAX_ENCODED_PATCHES = 16
CONFIRM_ATTEMPT_MS = 250.0

REPLICA_ROLE = "replica"


@frozen
class _Version:
    """A complete version; documents of successive versions share their unchanged parts."""

    version: int
    digest: str
    document: Tables
    change_bytes: int = 0


@define
class _Offer:
    """A version that a peer offers, and the consecutive pulls that it left unanswered."""

    version: int
    failures: int = 0


@define
class _Pull:
    """A pull in flight."""

    peer: NodeId
    sequence: int
    sent_ms: float
    due_ms: float


@define
class ConfigDistributor:
    """Bring the current configuration version into force on this node and distribute it.

    ``own`` is this node's id, ``replicas`` are the nodes that hold the log by the settings.
    ``rng`` must be seeded differently at every start: it numbers the pulls, and an answer to a
    pull from before a restart must not match a pull after it.

    Events: Tick; Receive of ConfigHint, ConfigPull, ConfigDelta, and of the membership messages
    that carry a hint; MemberUp and MemberDown; ConfigCommitted from the store of a local replica;
    ConfigConfirmed from a quorum-backed source (on a replica after each contact with the leader,
    elsewhere after the answer to a Query). Effects: ConfigInForce, Send, Emit, Count.

    After a start no version is in force until this node holds a version that was current at some
    time after the start. A version that this node had in force before a restart was committed
    before the start, so the first version in force is never older than it, and no file is needed
    to remember it. The age of the first version is bounded by the time since the start. After
    that, only newer versions come into force.
    """

    own: NodeId
    replicas: tuple[NodeId, ...]
    rng: random.Random
    _held: _Version | None = None
    _in_force: int = 0
    _past: deque[_Version] = field(factory=deque)
    _patches: dict[int, bytes] = field(factory=dict)
    _peers: dict[NodeId, bool] = field(factory=dict)
    _offers: dict[NodeId, _Offer] = field(factory=dict)
    _pull: _Pull | None = None
    _started_ms: float | None = None
    _min_version: int | None = None
    _last_confirmed: tuple[float, int] | None = None  # Latest confirmed time and its version.
    _next_confirm_ms: float = 0.0
    _hint_rounds: int = 0
    _next_hint_ms: float = 0.0

    def hint(self) -> ConfigHint:
        """Return the hint to piggyback on gossip; its version is 0 if none is in force."""
        if self._held is None or self._in_force == 0:
            return ConfigHint(0, "")
        return ConfigHint(self._held.version, self._held.digest)

    @property
    def serving(self) -> bool:
        """Return whether a version is in force, so that this node may serve."""
        return self._in_force > 0

    def next_deadline_ms(self) -> float | None:
        """Return when a pull times out, or a hint or a pull of the current version is due."""
        times = [self._pull.due_ms] if self._pull else []
        if self._hint_rounds and self._peers:
            times.append(self._next_hint_ms)
        if not self.serving and self._pull is None:
            times.append(self._next_confirm_ms)
        return min(times, default=None)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event at monotonic time ``now_ms`` in milliseconds."""
        if self._started_ms is None:
            self._started_ms = now_ms
        match event:
            case Tick():
                return self._tick(now_ms)
            case Receive(sender=sender, message=ConfigPull() as pull):
                return self._answer_pull(sender, pull, now_ms)
            case Receive(sender=sender, message=ConfigDelta() as delta):
                return self._handle_delta(sender, delta, now_ms)
            case Receive(sender=sender, message=ConfigHint() as hint):
                return self._handle_hint(sender, hint, now_ms)
            case Receive(sender=sender, message=Ping() | PingReq() | Ack() | MemberGossip() as msg):
                return self._handle_hint(sender, msg.hint, now_ms)
            case ConfigCommitted(version=version, document=document):
                return self._store_version(version, differences.digest(document), document, now_ms)
            case ConfigConfirmed(version=version, age_ms=age_ms):
                return self._confirm(version, now_ms - age_ms, now_ms)
            case MemberUp(member=member):
                if member.node != self.own:
                    self._peers[member.node] = REPLICA_ROLE in member.roles
            case MemberDown(node=node):
                self._peers.pop(node, None)
                self._offers.pop(node, None)
        return []

    # Timers and hints.

    def _tick(self, now_ms: float) -> list[Any]:
        """Retry an unanswered pull, send hints, and pull the current version after a start."""
        effects: list[Any] = []
        if self._pull and now_ms >= self._pull.due_ms:
            self._count_unanswered(self._pull.peer)
            self._pull = None
            effects += self._next_pull(now_ms)
        if self._hint_rounds and now_ms >= self._next_hint_ms:
            effects += self._send_hints(now_ms)
        if not self.serving and self._pull is None and now_ms >= self._next_confirm_ms:
            self._next_confirm_ms = now_ms + CONFIRM_ATTEMPT_MS
            sources = self._pull_sources()
            if sources:
                effects += self._send_pull(self.rng.choice(sources), now_ms)
        return effects

    def _pull_sources(self) -> list[NodeId]:
        """Return the nodes to pull the current version from: replicas, or else any peer."""
        known = [node for node, replica in self._peers.items() if replica]
        listed = [node for node in self.replicas if node != self.own and node not in known]
        return known + listed or list(self._peers)

    def _send_hints(self, now_ms: float) -> list[Any]:
        """Send hints to a few random peers, so that a new version does not wait for a probe."""
        self._hint_rounds -= 1
        self._next_hint_ms = now_ms + HINT_INTERVAL_MS
        peers = self.rng.sample(list(self._peers), min(HINT_FANOUT, len(self._peers)))
        return [Send(peer, self.hint()) for peer in peers]

    # Pulling newer versions from peers.

    def _handle_hint(self, sender: NodeId, hint: ConfigHint, now_ms: float) -> list[Any]:
        """Record the sender's offer and start a pull if it is newer."""
        have = self._held.version if self._held else 0
        if hint.version <= have:
            return []
        if sender in self._offers or len(self._offers) < MAX_OFFERS:
            self._offers[sender] = _Offer(hint.version)
        return self._next_pull(now_ms)

    def _next_pull(self, now_ms: float) -> list[Any]:
        """Start a pull from a peer that offers a newer version, unless one is in flight."""
        have = self._held.version if self._held else 0
        self._offers = {n: offer for n, offer in self._offers.items() if offer.version > have}
        if self._pull or not self._offers:
            return []
        fewest = min(offer.failures for offer in self._offers.values())
        peers = [node for node, offer in self._offers.items() if offer.failures == fewest]
        return self._send_pull(self.rng.choice(peers), now_ms)

    def _send_pull(self, peer: NodeId, now_ms: float) -> list[Any]:
        """Send a pull to ``peer`` and record it as in flight."""
        sequence = self.rng.getrandbits(32)
        self._pull = _Pull(peer, sequence, now_ms, now_ms + PULL_TIMEOUT_MS)
        version, digest = (self._held.version, self._held.digest) if self._held else (0, "")
        return [Send(peer, ConfigPull(version, digest, sequence))]

    def _count_unanswered(self, peer: NodeId) -> None:
        """Count an unanswered pull and drop the peer's offer after MAX_FAILURES in a row."""
        offer = self._offers.get(peer)
        if offer is None:
            return
        offer.failures += 1
        if offer.failures >= MAX_FAILURES:
            del self._offers[peer]

    def _handle_delta(self, sender: NodeId, delta: ConfigDelta, now_ms: float) -> list[Any]:
        """Store a version that verifies, and confirm it if the sender knows its age."""
        answered_pull = self._pull
        if answered_pull and (answered_pull.peer, answered_pull.sequence) == (
            sender,
            delta.sequence,
        ):
            self._pull = None
        else:
            answered_pull = None
        if sender in self._offers:
            self._offers[sender].version = min(delta.version, self._offers[sender].version)
        effects = self._decode(sender, delta, now_ms)
        if answered_pull and delta.age_ms >= 0.0:
            # The answer was sent after the pull, so the version was current at least until
            # ``age_ms`` before the pull.
            effects += self._confirm(delta.version, answered_pull.sent_ms - delta.age_ms, now_ms)
        return effects + self._next_pull(now_ms)

    def _decode(self, sender: NodeId, delta: ConfigDelta, now_ms: float) -> list[Any]:
        """Apply a difference or a full document if it is newer and its digest matches."""
        held = self._held
        if held and delta.version <= held.version:
            return []
        if delta.base_version == 0:
            result = differences.decode_tables(delta.patch).bind(
                lambda document: differences.verify(document, delta.digest)
            )
        elif held and delta.base_version == held.version:
            result = differences.apply_verified(held.document, delta.patch, delta.digest)
        else:
            return []
        match result:
            case Success(document):
                return self._store_version(delta.version, delta.digest, document, now_ms)
        self._offers.pop(sender, None)
        return [Count("config_deltas_rejected")]

    # Versions held and in force.

    def _store_version(
        self, version: int, digest: str, document: Tables, now_ms: float
    ) -> list[Any]:
        """Store a verified version if it is newer than the held one."""
        if self._held and version <= self._held.version:
            return []
        change_bytes = 0
        if self._held:
            # A document from the log shares no objects with the past ones. Applying the difference
            # to the held document makes both share their unchanged parts.
            patch = differences.compare(self._held.document, document)
            document = differences.apply(self._held.document, patch).value_or(document)
            change_bytes = len(differences.encode_patch(patch))
            self._past.append(self._held)
        self._held = _Version(version, digest, document, change_bytes)
        self._patches.clear()
        self._trim()
        return self._activate(now_ms)

    def _trim(self) -> None:
        """Drop the oldest versions beyond the bounds; peers that hold them get full documents."""
        versions = (*self._past, self._held) if self._held else ()
        retained_bytes = sum(version.change_bytes for version in versions)
        while self._past and (
            len(self._past) > MAX_PAST_VERSIONS or retained_bytes > MAX_PAST_BYTES
        ):
            retained_bytes -= self._past.popleft().change_bytes

    def _confirm(self, version: int, current_ms: float, now_ms: float) -> list[Any]:
        """Record that ``version`` was current at ``current_ms``."""
        if self._last_confirmed is None or current_ms > self._last_confirmed[0]:
            self._last_confirmed = (current_ms, version)
        if self._started_ms is not None and current_ms >= self._started_ms:
            self._min_version = max(version, self._min_version or 0)
        return self._activate(now_ms)

    def _activate(self, now_ms: float) -> list[Any]:
        """Put the held version into force unless a newer one may have been in force before."""
        held = self._held
        if held is None or self._min_version is None or held.version < self._min_version:
            return []
        if held.version <= self._in_force:
            return []
        self._in_force = held.version
        self._hint_rounds = HINT_ROUNDS
        self._next_hint_ms = now_ms
        detail = (("version", held.version), ("digest", held.digest))
        return [
            ConfigInForce(held.version, held.document),
            Emit("config_in_force", detail=detail),
            *(self._send_hints(now_ms) if self._peers else []),
        ]

    # Answering the pulls of peers.

    def _answer_pull(self, sender: NodeId, pull: ConfigPull, now_ms: float) -> list[Any]:
        """Answer with a difference, the full document, or only the age of the version."""
        held = self._held
        if held is None or not self.serving:
            return []
        version, digest, sequence = held.version, held.digest, pull.sequence
        age_ms = self._age_ms(now_ms)
        if pull.have_version >= version:
            delta = ConfigDelta(version, version, digest, b"", age_ms, sequence)
        elif (patch := self._patch_from(pull)) is not None:
            delta = ConfigDelta(pull.have_version, version, digest, patch, age_ms, sequence)
        else:
            document = differences.encode_tables(held.document)
            delta = ConfigDelta(0, version, digest, document, age_ms, sequence)
        return [Send(sender, delta)]

    def _age_ms(self, now_ms: float) -> float:
        """Return the time in milliseconds since the held version was last known to be current.

        A negative value means that no such time is known, or that the version is outdated.
        """
        if (
            self._held is None
            or self._last_confirmed is None
            or self._held.version < self._last_confirmed[1]
        ):
            return -1.0
        return max(0.0, now_ms - self._last_confirmed[0])

    def _patch_from(self, pull: ConfigPull) -> bytes | None:
        """Return the difference from a past version, or None if it is not retained."""
        base = next((past for past in self._past if past.version == pull.have_version), None)
        held = self._held
        if base is None or held is None or base.digest != pull.have_digest:
            return None
        if base.version not in self._patches:
            if len(self._patches) >= MAX_ENCODED_PATCHES:
                self._patches.clear()
            patch = differences.compare(base.document, held.document)
            self._patches[base.version] = differences.encode_patch(patch)
        return self._patches[base.version]
