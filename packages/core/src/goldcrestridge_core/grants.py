"""Table of the held grants of a shard and of the answers sent to requests."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

from attrs import Factory, define

from goldcrestridge_core import types

REPORT_INTERVAL_MS = 500.0
# A report that arrives within this time may have been sent before the grant reached its entry node.
GRANT_IN_FLIGHT_MS = 2 * REPORT_INTERVAL_MS
GRANT_TIMEOUT_MS = 2_000.0
MISSED_REPORTS_FOR_LOSS = 2
# About 30 s of answers at 280 requests per second and shard.
MAX_ANSWERS = 8_192

GrantKey = tuple[types.NodeId, int, int]  # Entry node, epoch, grant id.
AttemptKey = tuple[types.RequestId, int]


@define(eq=False)
class Grant:
    """A held grant; ``charged_tokens`` is charged to the limits and the fair queue so far."""

    held: types.HeldGrant
    entry: types.NodeId
    granted_ms: float
    charged_tokens: float
    answer: types.SlotGrant | None = None
    output_tokens: int = 0
    reestimate_at_tokens: float = 0.0  # Output at which the estimate is renewed.
    missed_reports: int = 0
    lost_ms: float | None = None

    @property
    def key(self) -> GrantKey:
        """Return the key of the grant; ids of other epochs are unique per entry node only."""
        return (self.entry, self.held.epoch, self.held.grant_id)

    @property
    def attempt(self) -> AttemptKey:
        """Return the request and attempt that hold the grant."""
        return (self.held.request_id, self.held.attempt)


@define
class Grants:
    """Held grants by key, attempt and entry node, and a bounded record of past answers."""

    _by_key: dict[GrantKey, Grant] = Factory(dict)
    _by_attempt: dict[AttemptKey, Grant] = Factory(dict)
    _by_entry: dict[types.NodeId, dict[GrantKey, Grant]] = Factory(dict)
    _lost: dict[GrantKey, Grant] = Factory(dict)
    _ended: OrderedDict[GrantKey, None] = Factory(OrderedDict)
    _answers: OrderedDict[AttemptKey, types.SlotRefusal | None] = Factory(OrderedDict)

    def __len__(self) -> int:
        return len(self._by_key)

    def __iter__(self) -> Iterator[Grant]:
        return iter(self._by_key.values())

    def add(self, grant: Grant) -> None:
        """Add a held grant."""
        self._by_key[grant.key] = grant
        self._by_attempt[grant.attempt] = grant
        self._by_entry.setdefault(grant.entry, {})[grant.key] = grant

    def find(self, key: GrantKey) -> Grant | None:
        """Return the held grant with this key, or None."""
        return self._by_key.get(key)

    def find_by_attempt(self, attempt: AttemptKey) -> Grant | None:
        """Return the grant that an attempt holds, or None."""
        return self._by_attempt.get(attempt)

    def remove(self, grant: Grant) -> None:
        """Remove a held grant and record that it ended."""
        del self._by_key[grant.key]
        if self._by_attempt.get(grant.attempt) is grant:
            del self._by_attempt[grant.attempt]
        entries = self._by_entry[grant.entry]
        del entries[grant.key]
        if not entries:
            del self._by_entry[grant.entry]
        self._lost.pop(grant.key, None)
        self.mark_ended(grant.key)
        self.record_answer(grant.attempt, None)

    def mark_ended(self, key: GrantKey) -> None:
        """Record that a grant ended, so that a late report does not add it again."""
        self._ended[key] = None
        while len(self._ended) > MAX_ANSWERS:
            self._ended.popitem(last=False)

    def has_ended(self, key: GrantKey) -> bool:
        """Return whether a grant is recorded as ended."""
        return key in self._ended

    def record_answer(self, attempt: AttemptKey, refusal: types.SlotRefusal | None) -> None:
        """Record the final answer of an attempt; None stands for an end without refusal."""
        self._answers[attempt] = refusal
        self._answers.move_to_end(attempt)
        while len(self._answers) > MAX_ANSWERS:
            self._answers.popitem(last=False)

    def has_answer(self, attempt: AttemptKey) -> bool:
        """Return whether the final answer of an attempt is recorded."""
        return attempt in self._answers

    def find_refusal(self, attempt: AttemptKey) -> types.SlotRefusal | None:
        """Return the refusal that was sent to an attempt, or None."""
        return self._answers.get(attempt)

    def apply_report(self, report: types.GrantReport, now_ms: float) -> list[types.SlotGrant]:
        """Compare a report with the held grants and return the grant messages to resend.

        A grant missing from ``MISSED_REPORTS_FOR_LOSS`` successive reports is marked as lost. If
        its attempt is still waiting, the grant message did not arrive and must be resent.
        """
        present = {(report.entry, g.epoch, g.grant_id) for g in report.held}
        waiting = set(report.waiting)
        resend: list[types.SlotGrant] = []
        for key, grant in self._by_entry.get(report.entry, {}).items():
            if key in present:
                self._mark_present(grant)
            elif grant.attempt in waiting and grant.answer is not None:
                self._mark_present(grant)
                resend.append(grant.answer)
            elif now_ms - grant.granted_ms >= GRANT_IN_FLIGHT_MS:
                self._mark_missing(grant, now_ms)
        return resend

    def mark_entry_lost(self, entry: types.NodeId, now_ms: float) -> None:
        """Mark all grants of an entry node as lost."""
        for grant in self._by_entry.get(entry, {}).values():
            self._mark_lost(grant, now_ms)

    def reclaimable(self, now_ms: float) -> list[Grant]:
        """Return the grants that have been marked as lost for the grant timeout."""
        return [
            grant
            for grant in self._lost.values()
            if grant.lost_ms is not None and now_ms - grant.lost_ms >= GRANT_TIMEOUT_MS
        ]

    def next_reclaim_ms(self) -> float | None:
        """Return when the first lost grant can be reclaimed, or None."""
        times = [g.lost_ms + GRANT_TIMEOUT_MS for g in self._lost.values() if g.lost_ms is not None]
        return min(times, default=None)

    def _mark_present(self, grant: Grant) -> None:
        grant.missed_reports = 0
        grant.lost_ms = None
        self._lost.pop(grant.key, None)

    def _mark_missing(self, grant: Grant, now_ms: float) -> None:
        grant.missed_reports += 1
        if grant.missed_reports >= MISSED_REPORTS_FOR_LOSS:
            self._mark_lost(grant, now_ms)

    def _mark_lost(self, grant: Grant, now_ms: float) -> None:
        if grant.lost_ms is None:
            grant.lost_ms = now_ms
            self._lost[grant.key] = grant
