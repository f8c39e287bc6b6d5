"""Hypothesis state machines of the store, each with a small model as its oracle.

The rule ``restore`` replaces the store by one restored from its snapshot, and compares the two
snapshots, so that a replica that restarts or catches up cannot differ from the others.
"""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from goldcrestridge_core import codec
from goldcrestridge_core.changes import ConfigCheck
from goldcrestridge_core.claims import CLAIM_TIMEOUT_MS, MAX_ISSUE_AHEAD_MS
from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.store import Store
from goldcrestridge_core.store_types import (
    AcquireLease,
    ApplyConfig,
    ApplyResult,
    ApplyStatus,
    BeginClaim,
    ClaimResult,
    ClaimState,
    ExpireLease,
    FinishClaim,
    LeaseResult,
    ReleaseLease,
)
from goldcrestridge_core.types import NodeId, Outcome

START_MS = 1e12
RETENTION_MS = 3_600_000.0
AHEAD_MS = st.sampled_from([0.0, MAX_ISSUE_AHEAD_MS])


def check_document(document: bytes) -> ConfigCheck:
    """Reject documents that begin with ``bad``; those with ``long`` double the retention."""
    reason = "The document is bad." if document.startswith(b"bad") else ""
    retention_ms = 2 * RETENTION_MS if document.startswith(b"long") else RETENTION_MS
    return ConfigCheck(reason, retention_ms)


def require(condition: bool, text: str) -> None:
    """Raise InvariantError with ``text`` unless the condition holds."""
    if not condition:
        raise InvariantError(text)


class StoreMachine(RuleBasedStateMachine):
    """Base of the state machines: a store that may be restored from its snapshot at any step."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store(check_document)
        self.store.claims.retention_ms = RETENTION_MS
        self.stamp_ms = START_MS
        self.index = 0

    def apply(self, command: Any) -> Any:
        """Apply a command at the current stamp and return its result."""
        self.index += 1
        result = self.store.apply(codec.encode(command), self.index, self.stamp_ms)
        return codec.decode(result).unwrap()

    @rule()
    def restore(self) -> None:
        """Replace the store by one restored from its snapshot."""
        copy = Store(check_document)
        copy.restore(self.store.snapshot())
        require(
            copy.snapshot() == self.store.snapshot(), "The snapshot of the restored store differs."
        )
        self.store = copy

    @rule(delta_ms=st.sampled_from([-1e9, 1.0, 60_000.0, CLAIM_TIMEOUT_MS + 1, RETENTION_MS / 2]))
    def pass_time(self, delta_ms: float) -> None:
        """Move the stamp forwards or backwards; store time must not decrease."""
        before_ms = self.store.time_ms
        self.stamp_ms += delta_ms
        self.apply(ReleaseLease("none", NodeId("n0"), 0))
        require(
            self.store.time_ms >= before_ms,
            f"Store time went back from {before_ms} ms to {self.store.time_ms} ms.",
        )
        self.stamp_ms = max(self.stamp_ms, before_ms)


class ClaimsMachine(StoreMachine):
    """Each idempotency key runs at most once, even after repeats, losses and evictions."""

    def __init__(self) -> None:
        super().__init__()
        self.issued: dict[str, float] = {}
        self.granted: dict[str, set[str]] = {}  # Claimants that may have run the key.
        self.released: dict[str, set[str]] = {}
        self.recorded_statuses: dict[str, int] = {}

    @rule(
        key=st.sampled_from(["a", "b", "c"]),
        claimant=st.sampled_from(["x", "y", "z"]),
        body=st.sampled_from(["1", "1", "1", "2"]),
        ahead_ms=AHEAD_MS,
    )
    def begin(self, key: str, claimant: str, body: str, ahead_ms: float) -> None:
        """Claim a key; its issue time is fixed per key and may be ahead of store time."""
        issued_ms = self.issued.setdefault(key, self.store.time_ms + ahead_ms)
        result: ClaimResult = self.apply(BeginClaim("w", "s", key, body, issued_ms, claimant))
        if result.state is ClaimState.GRANTED:
            require(
                claimant not in self.released.get(key, set()),
                f"{claimant} was granted key {key} again after it released it.",
            )
            self.granted.setdefault(key, set()).add(claimant)
            require(
                len(self.granted[key]) == 1,
                f"Key {key} was granted to {len(self.granted[key])} claimants.",
            )
        if result.state is ClaimState.RECORDED:
            require(
                result.status == self.recorded_statuses.get(key),
                f"Key {key} returned the status {result.status}, which is not the recorded one.",
            )

    @rule(
        key=st.sampled_from(["a", "b", "c"]),
        claimant=st.sampled_from(["x", "y", "z"]),
        outcome=st.sampled_from([Outcome.COMPLETED, Outcome.NOT_RUN, Outcome.UNKNOWN]),
        status=st.integers(200, 204),
        ahead_ms=AHEAD_MS,
    )
    def finish(
        self, key: str, claimant: str, outcome: Outcome, status: int, ahead_ms: float
    ) -> None:
        """Finish a key, perhaps before its claim arrives; the key is issued by then."""
        self.issued.setdefault(key, self.store.time_ms + ahead_ms)
        before = self.store.claims.records.get(("w", "s", key))
        self.apply(FinishClaim("w", "s", key, claimant, outcome, status))
        after = self.store.claims.records.get(("w", "s", key))
        if outcome is Outcome.NOT_RUN:
            self.released.setdefault(key, set()).add(claimant)
            if after is not None and after.phase.value == "free":
                self.granted.get(key, set()).discard(claimant)
        elif after is not None and before != after and after.status:
            require(
                key not in self.recorded_statuses,
                f"The recorded response of key {key} was replaced.",
            )
            self.recorded_statuses[key] = after.status

    @rule(retention=st.sampled_from([b"long", b"short"]))
    def change_retention(self, retention: bytes) -> None:
        """Change the retention to the longer or the shorter one."""
        version = self.store.changes.version
        self.apply(ApplyConfig(f"c{self.index}", version, "op", retention + b"%d" % self.index))

    @invariant()
    def evicted_keys_are_before_the_horizon(self) -> None:
        """Check that a key that may have run has a record or is before the horizon."""
        for key, claimants in self.granted.items():
            recorded = ("w", "s", key) in self.store.claims.records
            refused = self.issued[key] < self.store.claims.horizon_ms
            require(
                recorded or refused or not claimants,
                f"The record of key {key} was evicted before the horizon passed it.",
            )


class ConfigMachine(StoreMachine):
    """Each accepted change adds one version; a repeated change gets its first result."""

    def __init__(self) -> None:
        super().__init__()
        self.results: dict[tuple[str, int, bytes], ApplyResult] = {}
        self.documents: list[bytes] = [b""]

    @rule(
        number=st.integers(0, 30),
        behind=st.integers(-1, 3),
        document=st.sampled_from([b"one", b"two", b"bad"]),
    )
    def change(self, number: int, behind: int, document: bytes) -> None:
        """Apply a change, perhaps with a used id, to the current or an older version."""
        base = max(0, self.store.changes.version - behind)
        self.send(ApplyConfig(f"c{number}", base, "op", document))

    @rule(back=st.integers(0, 20))
    def repeat_change(self, back: int) -> None:
        """Repeat an earlier change unchanged."""
        if back < len(self.results):
            change_id, base, document = list(self.results)[-1 - back]
            self.send(ApplyConfig(change_id, base, "op", document))

    def send(self, command: ApplyConfig) -> None:
        """Apply a change and compare its result with the results of earlier changes."""
        version = self.store.changes.version
        result: ApplyResult = self.apply(command)
        change_key = (command.change_id, command.base_version, command.document)
        id_used = any(change_id == command.change_id for change_id, _, _ in self.results)
        if change_key in self.results:
            require(
                result == self.results[change_key],
                f"{command.change_id} got {result}, not its first result.",
            )
        elif id_used:
            require(
                result.status is ApplyStatus.INVALID,
                f"{command.change_id} was reused for another change.",
            )
            return
        elif result.status is ApplyStatus.ACCEPTED:
            require(
                command.base_version == version,
                f"A change based on version {command.base_version} was accepted at {version}.",
            )
            require(
                result.version == version + 1,
                f"Version {version} was followed by version {result.version}.",
            )
            self.documents.append(command.document)
        self.results[change_key] = result

    @invariant()
    def current_document_is_the_last_accepted(self) -> None:
        """Check that the current configuration is the last accepted one."""
        require(
            self.store.changes.version == len(self.documents) - 1,
            "The version is not that of the last accepted document.",
        )
        require(
            self.store.changes.document == self.documents[-1],
            "The document is not the last accepted one.",
        )


class LeasesMachine(StoreMachine):
    """A lease has one holder at a time; each new holder gets a higher, unused fencing number."""

    def __init__(self) -> None:
        super().__init__()
        self.holders: dict[int, tuple[str, str, str]] = {}
        self.last_fencing: dict[str, int] = {}

    @rule(
        resource=st.sampled_from(["p/0", "p/1"]),
        holder=st.sampled_from(["n0", "n1"]),
        session=st.sampled_from(["s0", "s1"]),
        renew=st.booleans(),
    )
    def acquire(self, resource: str, holder: str, session: str, renew: bool) -> None:
        """Acquire a lease, or renew it with the last fencing number."""
        fencing = self.last_fencing.get(resource, 0) if renew else 0
        command = AcquireLease(resource, NodeId(holder), 1000.0, fencing, session)
        result: LeaseResult = self.apply(command)
        if not result.granted:
            return
        lease_holder = (resource, holder, session)
        require(
            self.holders.setdefault(result.fencing, lease_holder) == lease_holder,
            f"Fencing number {result.fencing} was reused.",
        )
        require(
            result.fencing >= self.last_fencing.get(resource, 0),
            f"The fencing number of {resource} fell to {result.fencing}.",
        )
        self.last_fencing[resource] = result.fencing

    @rule(resource=st.sampled_from(["p/0", "p/1"]), holder=st.sampled_from(["n0", "n1"]))
    def release(self, resource: str, holder: str) -> None:
        """Release with the last fencing number; only the holder can release a lease."""
        before = self.store.leases.records.get(resource)
        self.apply(ReleaseLease(resource, NodeId(holder), self.last_fencing.get(resource, 0)))
        after = self.store.leases.records.get(resource)
        if before is not None and before.holder != holder:
            require(after == before, f"{holder}, which is not the holder, released {resource}.")

    @rule(resource=st.sampled_from(["p/0", "p/1"]), renewed=st.booleans())
    def expire(self, resource: str, renewed: bool) -> None:
        """Expire a lease that the leader has seen; a renewal committed in the meantime wins."""
        before = self.store.leases.records.get(resource)
        if before is None:
            return
        if renewed:
            self.apply(
                AcquireLease(resource, before.holder, 1000.0, before.fencing, before.session)
            )
        self.apply(ExpireLease(resource, before.fencing, before.renewals))
        held = resource in self.store.leases.records
        require(
            held == renewed,
            f"After the expiry of {resource}: held is {held}, but renewed was {renewed}.",
        )
