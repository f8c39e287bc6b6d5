"""Hypothesis state machines for the store, each with an oracle of a few lines.

Every step also passes the state through a snapshot in a second store and compares the two, so
that a replica that restarts or catches up cannot differ from the others.
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
    """Accept a document unless it begins with ``bad``; ``long`` doubles the retention."""
    reason = "The document is bad." if document.startswith(b"bad") else ""
    retention_ms = 2 * RETENTION_MS if document.startswith(b"long") else RETENTION_MS
    return ConfigCheck(reason, retention_ms)


def require(condition: bool, text: str) -> None:
    """Report a broken property."""
    if not condition:
        raise InvariantError(text)


class StoreMachine(RuleBasedStateMachine):
    """A store that is sometimes replaced by its own snapshot."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store(check_document)
        self.store.claims.retention_ms = RETENTION_MS
        self.stamp_ms = START_MS
        self.index = 0

    def apply(self, command: Any) -> Any:
        """Apply a command at the current stamp."""
        self.index += 1
        result = self.store.apply(codec.encode(command), self.index, self.stamp_ms)
        return codec.decode(result).unwrap()

    @rule()
    def restore(self) -> None:
        """Go on with a store restored from a snapshot."""
        copy = Store(check_document)
        copy.restore(self.store.snapshot())
        require(copy.snapshot() == self.store.snapshot(), "A restored store differs.")
        self.store = copy

    @rule(delta=st.sampled_from([-1e9, 1.0, 60_000.0, CLAIM_TIMEOUT_MS + 1, RETENTION_MS / 2]))
    def pass_time(self, delta: float) -> None:
        """Move the stamp, also backwards."""
        before = self.store.time_ms
        self.stamp_ms += delta
        self.apply(ReleaseLease("none", NodeId("n0"), 0))
        require(self.store.time_ms >= before, "Store time went back.")
        self.stamp_ms = max(self.stamp_ms, before)


class ClaimsMachine(StoreMachine):
    """At most one run for each key, whatever is sent again, finished, lost or forgotten."""

    def __init__(self) -> None:
        super().__init__()
        self.issued: dict[str, float] = {}
        self.granted: dict[str, set[str]] = {}  # Claimants of a key that may have run it.
        self.released: dict[str, set[str]] = {}
        self.fates: dict[str, int] = {}

    @rule(
        key=st.sampled_from(["a", "b", "c"]),
        claimant=st.sampled_from(["x", "y", "z"]),
        body=st.sampled_from(["1", "1", "1", "2"]),
        ahead=AHEAD_MS,
    )
    def begin(self, key: str, claimant: str, body: str, ahead: float) -> None:
        """Claim a key; its issue time belongs to the key and may lie ahead of store time."""
        issued_ms = self.issued.setdefault(key, self.store.time_ms + ahead)
        result: ClaimResult = self.apply(BeginClaim("w", "s", key, body, issued_ms, claimant))
        if result.state is ClaimState.GRANTED:
            require(
                claimant not in self.released.get(key, set()),
                f"{claimant} was granted {key} again after it gave it back.",
            )
            self.granted.setdefault(key, set()).add(claimant)
            require(len(self.granted[key]) == 1, f"Key {key} was granted twice.")
        if result.state is ClaimState.RECORDED:
            require(result.status == self.fates.get(key), f"Key {key} has another answer.")

    @rule(
        key=st.sampled_from(["a", "b", "c"]),
        claimant=st.sampled_from(["x", "y", "z"]),
        outcome=st.sampled_from([Outcome.COMPLETED, Outcome.NOT_RUN, Outcome.UNKNOWN]),
        status=st.integers(200, 204),
        ahead=AHEAD_MS,
    )
    def finish(self, key: str, claimant: str, outcome: Outcome, status: int, ahead: float) -> None:
        """Finish a key, perhaps before its claim arrives; the key has been issued by then."""
        self.issued.setdefault(key, self.store.time_ms + ahead)
        before = self.store.claims.records.get(("w", "s", key))
        self.apply(FinishClaim("w", "s", key, claimant, outcome, status))
        after = self.store.claims.records.get(("w", "s", key))
        if outcome is Outcome.NOT_RUN:
            self.released.setdefault(key, set()).add(claimant)
            if after is not None and after.phase.value == "free":
                self.granted.get(key, set()).discard(claimant)
        elif after is not None and before != after and after.status:
            require(key not in self.fates, f"The answer to {key} was replaced.")
            self.fates[key] = after.status

    @rule(retention=st.sampled_from([b"long", b"short"]))
    def change_retention(self, retention: bytes) -> None:
        """Make the retention longer or shorter."""
        version = self.store.changes.version
        self.apply(ApplyConfig(f"c{self.index}", version, "op", retention + b"%d" % self.index))

    @invariant()
    def horizon_covers_what_is_forgotten(self) -> None:
        """Check that a key that may have run is remembered or refused."""
        for key, claimants in self.granted.items():
            known = ("w", "s", key) in self.store.claims.records
            refused = self.issued[key] < self.store.claims.horizon_ms
            require(known or refused or not claimants, f"Key {key} was forgotten too early.")


class ConfigMachine(StoreMachine):
    """Versions only grow, one change wins each, and a change sent again gets its first answer."""

    def __init__(self) -> None:
        super().__init__()
        self.answers: dict[tuple[str, int, bytes], ApplyResult] = {}
        self.documents: list[bytes] = [b""]

    @rule(
        change=st.integers(0, 30),
        behind=st.integers(-1, 3),
        document=st.sampled_from([b"one", b"two", b"bad"]),
    )
    def change(self, change: int, behind: int, document: bytes) -> None:
        """Send a change, possibly one sent before, from a current or older version."""
        base = max(0, self.store.changes.version - behind)
        self.send(ApplyConfig(f"c{change}", base, "op", document))

    @rule(back=st.integers(0, 20))
    def again(self, back: int) -> None:
        """Send an earlier change again, unchanged."""
        if back < len(self.answers):
            change_id, base, document = list(self.answers)[-1 - back]
            self.send(ApplyConfig(change_id, base, "op", document))

    def send(self, command: ApplyConfig) -> None:
        """Apply a change and compare with what was answered before."""
        version = self.store.changes.version
        result: ApplyResult = self.apply(command)
        asked = (command.change_id, command.base_version, command.document)
        used = any(change_id == command.change_id for change_id, _, _ in self.answers)
        if asked in self.answers:
            require(result == self.answers[asked], f"{command.change_id} got another answer.")
        elif used:
            require(result.status is ApplyStatus.INVALID, "A change id was used twice.")
            return
        elif result.status is ApplyStatus.ACCEPTED:
            require(command.base_version == version, "A change from an old version was accepted.")
            require(result.version == version + 1, "A version was left out.")
            self.documents.append(command.document)
        self.answers[asked] = result

    @invariant()
    def current_document_is_the_last_accepted(self) -> None:
        """Check that the configuration never reverts."""
        require(self.store.changes.version == len(self.documents) - 1, "The version is wrong.")
        require(self.store.changes.document == self.documents[-1], "The document is wrong.")


class LeasesMachine(StoreMachine):
    """One holder at a time; fencing numbers grow with each change and are never reused."""

    def __init__(self) -> None:
        super().__init__()
        self.holders: dict[int, tuple[str, str, str]] = {}
        self.last: dict[str, int] = {}

    @rule(
        resource=st.sampled_from(["p/0", "p/1"]),
        holder=st.sampled_from(["n0", "n1"]),
        session=st.sampled_from(["s0", "s1"]),
        renew=st.booleans(),
    )
    def acquire(self, resource: str, holder: str, session: str, renew: bool) -> None:
        """Acquire or renew."""
        fencing = self.last.get(resource, 0) if renew else 0
        command = AcquireLease(resource, NodeId(holder), 1000.0, fencing, session)
        result: LeaseResult = self.apply(command)
        if not result.granted:
            return
        owner = (resource, holder, session)
        require(self.holders.setdefault(result.fencing, owner) == owner, "A number was reused.")
        require(result.fencing >= self.last.get(resource, 0), "A fencing number fell.")
        self.last[resource] = result.fencing

    @rule(resource=st.sampled_from(["p/0", "p/1"]), holder=st.sampled_from(["n0", "n1"]))
    def release(self, resource: str, holder: str) -> None:
        """Release with the last number; only the holder's own release counts."""
        before = self.store.leases.records.get(resource)
        self.apply(ReleaseLease(resource, NodeId(holder), self.last.get(resource, 0)))
        after = self.store.leases.records.get(resource)
        if before is not None and before.holder != holder:
            require(after == before, "Another node released a lease.")

    @rule(resource=st.sampled_from(["p/0", "p/1"]), late=st.booleans())
    def expire(self, resource: str, late: bool) -> None:
        """Expire what the leader saw; a renewal committed since then wins."""
        before = self.store.leases.records.get(resource)
        if before is None:
            return
        if late:
            self.apply(
                AcquireLease(resource, before.holder, 1000.0, before.fencing, before.session)
            )
        self.apply(ExpireLease(resource, before.fencing, before.renewals))
        held = resource in self.store.leases.records
        require(held == late, "An expiry ignored a renewal, or did nothing.")
