"""Lease of the duties towards the platform, which one control node has at a time (a role).

The control leader holds the lease. Its fencing number comes from the replicated log, rises with
each new holder and each restart of a holder, and goes with each call. The platform does not check
it, so the timing keeps calls of two holders apart:

- A holder counts its lease from the time at which it proposed the renewal, before the commit. The
  leader that expires the lease counts the same duration from when it first saw the renewal in the
  log, and `leases.EXPIRY_MARGIN_MS` more, on a clock that also advances while a VM is suspended.
- No call begins with less of the lease left than a call may be under way. A call that takes longer
  is given up, and its connection reset, so that no byte of it arrives later.
- The lease is never released early, so the former holder gets it back after a whole duration at the
  earliest, and not between two calls of the new one.
"""

from __future__ import annotations

import math
from typing import Any

from attrs import define

from goldcrestridge_core.store_types import AcquireLease, LeaseRecord, LeaseResult
from goldcrestridge_core.types import Emit, NodeId, ProposalDone, SubmitProposal

RESOURCE = "platform duties"
# At least as long as the platform's bound on calls of alternating holders.
MIN_LEASE_MS = 3_000.0
RENEWALS_PER_LEASE = 4
# Covers a connection and an answer within a region, with a lost packet.
CALL_TIMEOUT_MS = 700.0
# Time for the last bytes of a call that was given up to arrive.
IN_FLIGHT_MS = 200.0


@define
class DutyLease:
    """Acquire and renew the lease while this node leads.

    ``session`` identifies this process. ``fencing`` is the number that goes with calls, or 0
    without a lease, and ``valid_until_ms`` the time until which a call may begin.
    """

    node: NodeId
    session: str
    lease_ms: float = MIN_LEASE_MS
    fencing: int = 0
    valid_until_ms: float = -math.inf
    _proposal: str = ""  # The one that is not answered yet.
    _proposed_ms: float = -math.inf
    _count: int = 0

    def is_valid(self, now_ms: float) -> bool:
        """Return whether a call may begin now."""
        return self.fencing > 0 and now_ms < self.valid_until_ms

    def advance(self, leads: bool, record: LeaseRecord | None, now_ms: float) -> list[Any]:
        """Follow the lease in the log, and propose it or its renewal if that is due."""
        effects: list[Any] = []
        own = record is not None and (record.holder, record.session) == (self.node, self.session)
        if self.fencing and (record is None or not own or record.fencing != self.fencing):
            effects.append(Emit("duties_lost", detail=(("fencing", self.fencing),)))
            self.fencing, self.valid_until_ms = 0, -math.inf
        is_due = now_ms >= self._proposed_ms + self.lease_ms / RENEWALS_PER_LEASE
        if (
            leads
            and is_due
            and not self._proposal
            and (own or record is None or record.holder == self.node)
        ):
            effects.append(
                self._propose(record.fencing if record is not None and own else 0, now_ms)
            )
        return effects

    def _propose(self, fencing: int, now_ms: float) -> SubmitProposal:
        self._count += 1
        self._proposed_ms = now_ms
        self._proposal = f"{RESOURCE} {self.node} {self.session} {self._count}"
        command = AcquireLease(RESOURCE, self.node, self.lease_ms, fencing, self.session)
        return SubmitProposal(self._proposal, command, self.lease_ms / 2)

    def confirm(self, done: ProposalDone) -> list[Any]:
        """Apply the result of a proposal, which the log committed after it was made."""
        if done.proposal_id != self._proposal:
            return []
        self._proposal = ""
        result = done.result
        if not isinstance(result, LeaseResult) or not result.granted:
            return []
        gained = result.fencing != self.fencing
        self.fencing = result.fencing
        self.valid_until_ms = self._proposed_ms + self.lease_ms - CALL_TIMEOUT_MS - IN_FLIGHT_MS
        return [Emit("duties_gained", detail=(("fencing", self.fencing),))] if gained else []
