"""Entry node that forwards by route: its follower and the roles that serve requests."""

from __future__ import annotations

from typing import Any

from attrs import define

from goldcrestridge_core.engine_slots import EngineAdmission
from goldcrestridge_core.engine_types import ENGINE_EVENTS, ENGINE_MESSAGES, EntriesChanged
from goldcrestridge_core.follow_types import (
    EntriesReceived,
    ReportDue,
    StreamVersionsReceived,
)
from goldcrestridge_core.follower import Follower
from goldcrestridge_core.permits import PERMIT_MESSAGES, Permits, SeekPermit
from goldcrestridge_core.stream_origins import (
    ORIGIN_EVENTS,
    ORIGIN_MESSAGES,
    SeekStreamVersions,
    StreamOrigins,
)
from goldcrestridge_core.types import Receive, Tick

# Events and messages of the roles that serve requests.
ADMISSION_INPUTS = (*ENGINE_EVENTS, *ENGINE_MESSAGES)
PERMIT_INPUTS = (SeekPermit, *PERMIT_MESSAGES)
ORIGIN_INPUTS = (*ORIGIN_EVENTS, *ORIGIN_MESSAGES)


@define
class EntryNode:
    """Compose the roles of an entry node (a role itself)."""

    follower: Follower
    admission: EngineAdmission
    permits: Permits
    origins: StreamOrigins

    def next_deadline_ms(self) -> float | None:
        """Return the earliest deadline of all roles, or None."""
        # Asked after each event, so the roles are not collected first.
        earliest = self.follower.next_deadline_ms()
        for role in self._request_roles:
            deadline = role.next_deadline_ms()
            if deadline is not None and (earliest is None or deadline < earliest):
                earliest = deadline
        return earliest

    @property
    def _request_roles(self) -> tuple[EngineAdmission, Permits, StreamOrigins]:
        """Return the roles that serve the requests of callers."""
        return (self.admission, self.permits, self.origins)

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event, and the events between the roles that it causes."""
        effects = []
        for effect in self._run_roles(event, now_ms):
            if isinstance(effect, SeekStreamVersions):
                effects += self.follower.handle(ReportDue(), now_ms)
            elif isinstance(effect, StreamVersionsReceived):
                effects += self.origins.handle(effect, now_ms)
            else:
                effects.append(effect)
        return effects

    def _run_roles(self, event: Any, now_ms: float) -> list[Any]:
        """Apply one event to the role that handles it; a Tick goes to all."""
        content = event.message if isinstance(event, Receive) else event
        if isinstance(content, ADMISSION_INPUTS):
            return self.admission.handle(event, now_ms)
        if isinstance(content, PERMIT_INPUTS):
            return self.permits.handle(event, now_ms)
        if isinstance(content, ORIGIN_INPUTS):
            return self.origins.handle(event, now_ms)
        effects = self.follower.handle(event, now_ms)
        for effect in list(effects):
            if isinstance(effect, EntriesReceived):
                changed = EntriesChanged(tuple(entry.node for entry in effect.entries))
                for role in self._request_roles:
                    effects += role.handle(changed, now_ms)
        if isinstance(event, Tick):
            for role in self._request_roles:
                effects += role.handle(event, now_ms)
        return effects
