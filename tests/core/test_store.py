"""Store: rules of configuration, claims and leases."""

from __future__ import annotations

from typing import Any

import pytest

from goldcrestridge_core import changes, claims, codec
from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.leases import LeaseTimer
from goldcrestridge_core.store import Store
from goldcrestridge_core.store_types import (
    AcquireLease,
    ApplyConfig,
    ApplyStatus,
    BeginClaim,
    ClaimState,
    CommandRefused,
    ConfigAnswer,
    ExpireLease,
    FinishClaim,
    LeaseResult,
    QueryConfig,
    QueryLease,
    ReleaseLease,
)
from goldcrestridge_core.types import NodeId, Outcome
from goldcrestridge_lab.store_machine import RETENTION_MS, START_MS, check_document

HOLDER = NodeId("n1")


class StoreDriver:
    """Store that is called with decoded commands; ``stamp_ms`` is the time of the next entry."""

    def __init__(self) -> None:
        self.store = Store(check_document)
        self.store.claims.retention_ms = RETENTION_MS
        self.stamp_ms = START_MS
        self.index = 0

    def __call__(self, command: Any) -> Any:
        self.index += 1
        result = self.store.apply(codec.encode(command), self.index, self.stamp_ms)
        return codec.decode(result).unwrap()

    def query(self, request: Any) -> Any:
        return codec.decode(self.store.query(codec.encode(request))).unwrap()


def begin(claimant: str, key: str = "k", issued_ms: float = START_MS) -> BeginClaim:
    return BeginClaim("w", "s", key, "digest", issued_ms, claimant)


def finish(claimant: str, outcome: Outcome, key: str = "k") -> FinishClaim:
    return FinishClaim("w", "s", key, claimant, outcome, 200, (), b"answer")


def test_a_conflict_reports_the_current_version_and_the_changes_in_between() -> None:
    # Guards against a conflict that does not name the change that was accepted instead.
    apply = StoreDriver()
    apply(ApplyConfig("c1", 0, "ada", b"one"))
    apply(ApplyConfig("c2", 1, "bo", b"two"))
    result = apply(ApplyConfig("c3", 0, "eve", b"three"))
    assert (result.status, result.version) == (ApplyStatus.CONFLICT, 2)
    assert "1 by ada (change c1), 2 by bo (change c2)" in result.detail
    ahead = apply(ApplyConfig("c4", 9, "eve", b"three"))
    assert "does not exist" in ahead.detail


def test_a_change_retried_much_later_gets_its_first_result() -> None:
    # Guards against a retried change that overwrites a newer configuration.
    apply = StoreDriver()
    first = apply(ApplyConfig("c0", 0, "ada", b"0"))
    for version in range(1, 3000):
        apply(ApplyConfig(f"c{version}", version, "ada", b"%d" % version))
    assert apply(ApplyConfig("c0", 0, "ada", b"0")) == first
    assert apply.store.changes.version == 3000


def test_a_change_id_cannot_be_reused_for_another_change() -> None:
    # Guards against a result that reports a change as accepted although another one was.
    apply = StoreDriver()
    apply(ApplyConfig("c", 0, "ada", b"one"))
    for other in (
        ApplyConfig("c", 0, "ada", b"two"),
        ApplyConfig("c", 1, "ada", b"one"),
        ApplyConfig("c", 0, "bo", b"one"),
    ):
        assert apply(other).status is ApplyStatus.INVALID
    assert apply.store.changes.document == b"one"


def test_store_time_never_decreases() -> None:
    # Guards against a leader with an earlier clock that undoes a timeout or moves the horizon back.
    apply = StoreDriver()
    apply(begin("x"))
    apply.stamp_ms += claims.CLAIM_TIMEOUT_MS + 1
    assert apply(begin("y")).state is ClaimState.UNKNOWN
    apply.stamp_ms = START_MS
    assert apply(begin("y")).state is ClaimState.UNKNOWN


def test_a_renewal_committed_before_an_expiry_takes_precedence() -> None:
    # Guards against two simultaneous holders after a race between renewal and expiry.
    apply = StoreDriver()
    first = apply(AcquireLease("p/0", HOLDER, 1000.0))
    apply(AcquireLease("p/0", HOLDER, 1000.0, first.fencing))
    apply(ExpireLease("p/0", first.fencing, 0))
    assert not apply(AcquireLease("p/0", NodeId("n2"), 1000.0)).granted


def test_a_change_id_that_is_no_longer_stored_gives_a_conflict(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a change that is applied again after its stored result was evicted.
    monkeypatch.setattr(changes, "MAX_ACCEPTED", 10)
    apply = StoreDriver()
    for version in range(30):
        apply(ApplyConfig(f"c{version}", version, "ada", b"%d" % version))
    assert apply(ApplyConfig("c0", 0, "ada", b"0")).status is ApplyStatus.CONFLICT
    assert len(apply.store.changes.accepted) == 10


def test_refused_changes_do_not_evict_accepted_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against many invalid changes that evict the results of accepted ones.
    monkeypatch.setattr(changes, "MAX_REFUSED", 10)
    apply = StoreDriver()
    first = apply(ApplyConfig("good", 0, "ada", b"one"))
    for number in range(100):
        apply(ApplyConfig(f"bad{number}", 1, "ada", b"bad"))
    assert apply(ApplyConfig("good", 0, "ada", b"one")) == first
    assert len(apply.store.changes.refused) == 10


def test_a_retried_claim_is_granted_again_to_the_same_claimant_only() -> None:
    # Guards against two runs, and against a lost reply that blocks the only claimant.
    apply = StoreDriver()
    assert apply(begin("x")).state is ClaimState.GRANTED
    assert apply(begin("x")).state is ClaimState.GRANTED
    assert apply(begin("y")).state is ClaimState.IN_PROGRESS
    other_body = BeginClaim("w", "s", "k", "other", START_MS, "x")
    assert apply(other_body).state is ClaimState.CONFLICT
    apply(finish("x", Outcome.COMPLETED))
    answer = apply(begin("y"))
    assert (answer.state, answer.status, answer.body) == (ClaimState.RECORDED, 200, b"answer")


def test_a_claim_whose_claimant_was_lost_stays_unknown() -> None:
    # Guards against a second run after a timeout, even if the claimant reappears and frees the key.
    apply = StoreDriver()
    apply(begin("x"))
    apply.stamp_ms += claims.CLAIM_TIMEOUT_MS + 1
    assert apply(begin("y")).state is ClaimState.UNKNOWN
    assert apply(begin("x")).state is ClaimState.UNKNOWN
    assert apply(finish("x", Outcome.NOT_RUN)).state is ClaimState.UNKNOWN
    assert apply(begin("y")).state is ClaimState.UNKNOWN
    assert apply(finish("x", Outcome.COMPLETED)).state is ClaimState.RECORDED


def test_a_late_duplicate_of_a_claim_is_not_granted_after_its_release() -> None:
    # Guards against a delayed message that blocks a key although the call will not run.
    for before in (True, False):
        apply = StoreDriver()
        if before:
            apply(begin("x"))
        apply(finish("x", Outcome.NOT_RUN))
        assert apply(begin("x")).state is ClaimState.EXPIRED
        assert apply(begin("y")).state is ClaimState.GRANTED


def test_a_claim_released_before_it_arrives_is_stored_as_long_as_its_key() -> None:
    # Guards against a very late duplicate of a claim whose key was issued ahead of store time.
    apply = StoreDriver()
    apply(begin("x", "other"))
    issued_ms = START_MS + claims.MAX_ISSUE_AHEAD_MS
    apply(finish("x", Outcome.NOT_RUN))
    apply.stamp_ms += RETENTION_MS + 1
    assert apply(begin("x", issued_ms=issued_ms)).state is ClaimState.EXPIRED
    assert apply(begin("y", issued_ms=issued_ms)).state is ClaimState.GRANTED


def test_an_evicted_claim_cannot_run_again() -> None:
    # Guards against an old key that is presented again after its record was evicted.
    apply = StoreDriver()
    apply(begin("x"))
    apply(finish("x", Outcome.COMPLETED))
    apply.stamp_ms += RETENTION_MS + 1
    assert apply(begin("y")).state is ClaimState.EXPIRED
    assert not apply.store.claims.records


def test_a_longer_retention_does_not_readmit_evicted_keys() -> None:
    # Guards against a key that was evicted with the old retention and is accepted with the new one.
    apply = StoreDriver()
    apply(begin("x"))
    apply.stamp_ms += RETENTION_MS + 1
    apply(begin("x", "other", apply.stamp_ms))
    apply(ApplyConfig("c", 0, "ada", b"long"))
    assert apply(begin("y")).state is ClaimState.EXPIRED


def test_a_record_is_retained_for_the_latest_issue_time_of_its_key() -> None:
    # Guards against a second run of a key that was presented with a later issue time.
    apply = StoreDriver()
    apply(begin("x"))
    apply.stamp_ms += RETENTION_MS - 1
    later_ms = apply.stamp_ms
    assert apply(begin("y", issued_ms=later_ms)).state is ClaimState.UNKNOWN
    apply.stamp_ms += 2
    assert apply(begin("y", issued_ms=later_ms)).state is ClaimState.UNKNOWN
    far_ms = apply.stamp_ms + claims.MAX_ISSUE_AHEAD_MS + 1
    assert apply(begin("y", "new", far_ms)).state is ClaimState.EXPIRED


def test_a_new_session_of_a_holder_gets_a_new_fencing_number() -> None:
    # Guards against a restarted owner that continues with the number of its previous process.
    apply = StoreDriver()
    first = apply(AcquireLease("p/0", HOLDER, 1000.0, 0, "s1"))
    assert apply(AcquireLease("p/0", HOLDER, 1000.0, 0, "s1")) == first
    second = apply(AcquireLease("p/0", HOLDER, 1000.0, 0, "s2"))
    assert second.granted
    assert second.fencing > first.fencing
    assert not apply(AcquireLease("p/0", HOLDER, 1000.0, first.fencing, "s1")).granted


def test_fencing_numbers_are_not_reused_after_release_and_restore() -> None:
    # Guards against a counter that restarts after the record of a lease was deleted.
    apply = StoreDriver()
    first = apply(AcquireLease("p/0", HOLDER, 1000.0))
    apply(ReleaseLease("p/0", HOLDER, first.fencing))
    restored = Store(check_document)
    restored.restore(apply.store.snapshot())
    apply.store = restored
    second = apply(AcquireLease("p/0", HOLDER, 1000.0))
    assert second.fencing > first.fencing


def test_only_leases_that_were_not_renewed_expire_and_a_new_leader_restarts_the_timer() -> None:
    # Guards against an expiry that depends on times measured by another process.
    apply = StoreDriver()
    apply(AcquireLease("p/0", HOLDER, 1000.0))
    timer = LeaseTimer(margin_ms=100.0)
    leases = apply.store.leases
    assert timer.expirations_due(leases, True, 0.0) == []
    fencing = leases.records["p/0"].fencing
    apply(AcquireLease("p/0", HOLDER, 1000.0, fencing))
    assert timer.expirations_due(leases, True, 900.0) == []
    assert timer.expirations_due(leases, True, 1999.0) == []
    assert timer.expirations_due(leases, False, 2000.0) == []
    assert timer.expirations_due(leases, True, 2100.0) == []
    (command,) = timer.expirations_due(leases, True, 3200.0)
    assert command == ExpireLease("p/0", fencing, 1)
    assert apply(command) == LeaseResult(False, None, 0)


def test_queries_are_answered_and_unknown_commands_are_refused() -> None:
    # Guards against malformed commands in the log, which no replica could apply.
    apply = StoreDriver()
    apply(ApplyConfig("c", 0, "ada", b"one"))
    digest = apply.store.changes.digest
    assert apply.query(QueryConfig()) == ConfigAnswer(1, digest, b"one")
    assert apply.query(QueryConfig(1)) == ConfigAnswer(1, digest, b"")
    assert apply.query(QueryLease("p/0")) == LeaseResult(False, None, 0)
    assert isinstance(apply.query(ReleaseLease("p/0", HOLDER, 1)), CommandRefused)
    assert apply.store.refuse(b"rubbish") is not None
    assert apply.store.refuse(codec.encode(QueryConfig())) is not None
    assert apply.store.refuse(codec.encode(ReleaseLease("p/0", HOLDER, 1))) is None
    with pytest.raises(InvariantError):
        apply.store.apply(b"rubbish", 1, 0.0)
