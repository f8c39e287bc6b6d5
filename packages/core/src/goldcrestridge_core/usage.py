"""Usage by window: summed by the control leader from the counts of entry nodes, reported once.

Windows are intervals of true time, but some wall clocks are minutes off. The leader takes the
median of the wall clocks of all entry nodes, relative to its own monotonic clock, and entry nodes
take over its time with each reply; the error is that of the median clock plus half of a round trip.

The counts of a window are committed to the log before they are sent to the platform, so that every
repetition has the same counts, whichever node sends it. They are stored as the outcome of a claim
with a fixed claimant: the first counts that the log holds for a window stand.
"""

from __future__ import annotations

import math
import statistics
from collections import Counter
from typing import Any

import msgspec
from attrs import define, field, frozen

from goldcrestridge_core.claims import ClaimKey, Claims
from goldcrestridge_core.store import Store
from goldcrestridge_core.store_types import (
    BeginClaim,
    ClaimPhase,
    ClaimRecord,
    FinishClaim,
)
from goldcrestridge_core.types import Outcome, SubmitProposal
from goldcrestridge_core.usage_types import (
    UsageReply,
    UsageReport,
    WindowUsage,
)

# Entry nodes report at every poll, and in a large fleet poll each 1.5 s.
COLLECT_MS = 2_500.0
# A new leader first gets the reports of all entry nodes.
GATHER_MS = 2_500.0
# A new leader reports up to this many windows that were missed, and sends the last ones again.
MAX_MISSED_WINDOWS = 20
RESENT_WINDOWS = 3
# Longer than the intervals at which entry nodes report.
CLOCK_VALID_MS = 10_000.0
# The counts of a window stay in the store for this time of the store's clock, which may jump ahead.
KEPT_MS = 3_600_000.0
PROPOSAL_TIMEOUT_MS = 1_000.0
# Names of the claims in the store.
SERVICE = "platform usage"
CLAIMANT = "platform usage"


@define
class TrueTime:
    """Median of the wall clocks of the nodes that reported lately."""

    _offsets_ms: dict[str, tuple[float, float]] = field(factory=dict)

    def observe(self, node: str, wall_ms: float, now_ms: float) -> None:
        """Record the wall clock of a node."""
        if wall_ms:
            self._offsets_ms[node] = wall_ms - now_ms, now_ms

    def at_ms(self, now_ms: float) -> float:
        """Return the true time at a monotonic time, or 0 if no clock is known."""
        recent = [
            offset_ms
            for offset_ms, seen_ms in self._offsets_ms.values()
            if now_ms - seen_ms < CLOCK_VALID_MS
        ]
        return now_ms + statistics.median_low(recent) if recent else 0.0


@frozen
class UsageDue:
    """The committed counts of a window, to be sent to the platform."""

    window: int
    counts: dict[str, int]


@define
class UsageLedger:
    """Sum the reports of entry nodes, and commit the counts of each window once (leader only)."""

    window_ms: float
    time: TrueTime = field(factory=TrueTime)
    # By window and life of an entry node.
    _reported: dict[int, dict[str, WindowUsage]] = field(factory=dict)
    _leads_since_ms: float = math.inf
    _first: int | None = None  # The first window that may be due.
    _closed: int = 0
    _proposed_ms: dict[tuple[int, str], float] = field(factory=dict)
    _proposals: int = 0

    def add(self, node: str, report: UsageReport, now_ms: float) -> None:
        """Replace the counts of one life of an entry node by newer ones."""
        if not report.life:
            return
        self.time.observe(node, report.wall_ms, now_ms)
        for usage in report.windows:
            if usage.window > self._closed:
                self._reported.setdefault(usage.window, {})[report.life] = usage

    def reply(self, now_ms: float) -> UsageReply:
        """Return what entry nodes get with each reply."""
        return UsageReply(self.time.at_ms(now_ms), self._closed)

    def stop_leading(self) -> None:
        """Forget the state of the term; the next leader gets all counts anew."""
        self.time = TrueTime()
        self._reported.clear()
        self._proposed_ms.clear()
        self._leads_since_ms, self._first, self._closed = math.inf, None, 0

    def advance(self, store: Store, node: str, now_ms: float) -> list[SubmitProposal]:
        """Return the proposals of this leader for the windows that have ended."""
        claims = store.claims
        self._leads_since_ms = min(self._leads_since_ms, now_ms)
        true_ms = self.time.at_ms(now_ms)
        if not true_ms or now_ms - self._leads_since_ms < GATHER_MS:
            return []
        if self._first is None:
            self._first = self._find_first(claims, int(true_ms // self.window_ms))
            self._closed = self._first - 1
        ended = int((true_ms - COLLECT_MS) // self.window_ms)
        proposals: list[SubmitProposal] = []
        for window in range(self._closed + 1, ended):
            record = claims.records.get(_claim_key(window))
            if record is None or record.phase is not ClaimPhase.RECORDED:
                proposals += self._propose(window, record, store, node, now_ms)
            elif window == self._closed + 1:
                self._closed = window
                self._reported.pop(window, None)
        return proposals

    def due(self, claims: Claims) -> list[UsageDue]:
        """Return the committed counts of this term and of the last windows before it."""
        if self._first is None:
            return []
        first = max(self._first, self._closed + 1 - MAX_MISSED_WINDOWS)
        records = (
            (window, claims.records.get(_claim_key(window)))
            for window in range(first, self._closed + 1)
        )
        return [
            UsageDue(window, msgspec.json.decode(record.body, type=dict[str, int]))
            for window, record in records
            if record is not None
        ]

    def _find_first(self, claims: Claims, current: int) -> int:
        """Return the first window to report: again the last ones, or at the first start this one.

        The node that recorded the last windows may not have sent them.
        """
        reported = [int(key) for _, service, key in claims.records if service == SERVICE]
        if not reported:
            return current
        return max(max(reported) + 1 - RESENT_WINDOWS, current - MAX_MISSED_WINDOWS)

    def _propose(
        self,
        window: int,
        record: ClaimRecord | None,
        store: Store,
        node: str,
        now_ms: float,
    ) -> list[SubmitProposal]:
        """Begin the claim of a window, or finish it with the counts that are known now."""
        step = "begin" if record is None else "finish"
        if now_ms - self._proposed_ms.get((window, step), -math.inf) < PROPOSAL_TIMEOUT_MS:
            return []
        self._proposed_ms[window, step] = now_ms
        self._proposals += 1
        key = str(window)
        claims = store.claims
        issued_ms = max(claims.horizon_ms, store.time_ms - claims.retention_ms + KEPT_MS)
        command: Any = BeginClaim("", SERVICE, key, SERVICE, issued_ms, CLAIMANT)
        if record is not None:
            body = msgspec.json.encode(self.counts(window), order="deterministic")
            command = FinishClaim(
                "", SERVICE, key, CLAIMANT, Outcome.COMPLETED, status=200, body=body
            )
        name = f"{SERVICE} {node} {self._proposals}"
        return [SubmitProposal(name, command, PROPOSAL_TIMEOUT_MS)]

    def counts(self, window: int) -> dict[str, int]:
        """Return the sum of all reports of a window by workspace."""
        total: Counter[str] = Counter()
        for usage in self._reported.get(window, {}).values():
            for item in usage.workspaces:
                total[item.workspace] += item.requests
        return dict(total)


def _claim_key(window: int) -> ClaimKey:
    return "", SERVICE, str(window)
