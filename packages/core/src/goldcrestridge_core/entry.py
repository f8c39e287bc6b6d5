"""Entry node that forwards by route: its follower, engine admission and permit roles."""

from __future__ import annotations

from typing import Any

from attrs import define

from goldcrestridge_core.engine_slots import EngineAdmission
from goldcrestridge_core.engine_types import ENGINE_EVENTS, ENGINE_MESSAGES, EntriesChanged
from goldcrestridge_core.follow_types import EntriesReceived
from goldcrestridge_core.follower import Follower
from goldcrestridge_core.permits import PERMIT_MESSAGES, Permits, SeekPermit
from goldcrestridge_core.types import Receive, Tick


@define
class EntryNode:
    """Compose the roles of an entry node (a role itself)."""

    follower: Follower
    admission: EngineAdmission
    permits: Permits

    def next_deadline_ms(self) -> float | None:
        """Return the earliest deadline of all roles, or None."""
        roles = (self.follower, self.admission, self.permits)
        deadlines = (role.next_deadline_ms() for role in roles)
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event to the role that handles it; a Tick goes to all."""
        if isinstance(event, SeekPermit):
            return self.permits.handle(event, now_ms)
        if isinstance(event, Receive) and isinstance(event.message, PERMIT_MESSAGES):
            return self.permits.handle(event, now_ms)
        if isinstance(event, ENGINE_EVENTS):
            return self.admission.handle(event, now_ms)
        if isinstance(event, Receive) and isinstance(event.message, ENGINE_MESSAGES):
            return self.admission.handle(event, now_ms)
        effects = self.follower.handle(event, now_ms)
        for effect in list(effects):
            if isinstance(effect, EntriesReceived):
                changed = EntriesChanged(tuple(entry.node for entry in effect.entries))
                effects += self.admission.handle(changed, now_ms)
                effects += self.permits.handle(changed, now_ms)
        if isinstance(event, Tick):
            effects += self.admission.handle(event, now_ms)
            effects += self.permits.handle(event, now_ms)
        return effects
