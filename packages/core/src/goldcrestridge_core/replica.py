"""Control replica role: the replicated log, the store applied from it, and lease expiry."""

from __future__ import annotations

from typing import Any

from attrs import Factory, define

from goldcrestridge_core import codec
from goldcrestridge_core.leases import LeaseTimer
from goldcrestridge_core.log import Log
from goldcrestridge_core.log_types import Propose, ProposeReply
from goldcrestridge_core.store import Store
from goldcrestridge_core.types import Receive, Send

# Interval at which overdue leases are proposed for expiry until the store no longer holds them.
EXPIRY_INTERVAL_MS = 100.0


@define
class ControlReplica:
    """Combine log, store and lease timer; ``store`` must be the state machine of ``log``."""

    log: Log
    store: Store
    lease_timer: LeaseTimer = Factory(LeaseTimer)
    expiry_checked_ms: float = 0.0

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Handle one event with the log, then propose the expiry of overdue leases."""
        effects = self.log.handle(event, now_ms) + self._propose_expirations(now_ms)
        node = self.log.state.own.node
        return [effect for effect in effects if not _is_own_reply(effect, node)]

    def _propose_expirations(self, now_ms: float) -> list[Any]:
        """Propose the expiry of leases that were not renewed in time, if this replica leads."""
        leads = self.log.leads
        if leads and now_ms < self.expiry_checked_ms + EXPIRY_INTERVAL_MS:
            return []
        self.expiry_checked_ms = now_ms
        effects: list[Any] = []
        for command in self.lease_timer.expirations_due(self.store.leases, leads, now_ms):
            proposal_id = f"expire {command.resource} {command.fencing} {command.renewals}"
            message = Propose(proposal_id, codec.encode(command))
            effects += self.log.handle(Receive(self.log.state.own.node, message), now_ms)
        return effects

    def next_deadline_ms(self) -> float | None:
        """Return the log's deadline; leader heartbeats are frequent enough to check the leases."""
        return self.log.next_deadline_ms()


def _is_own_reply(effect: Any, node: str) -> bool:
    """Return whether an effect replies to an expiry that this replica proposed."""
    return (
        isinstance(effect, Send)
        and effect.to == node
        and isinstance(effect.message, ProposeReply)
        and effect.message.proposal_id.startswith("expire ")
    )
