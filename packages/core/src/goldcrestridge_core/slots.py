"""Slot client of an entry node: slot requests, grants, reports and local admission."""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Callable

import xxhash
from attrs import define, evolve, field, frozen

from goldcrestridge_core.call_types import Call
from goldcrestridge_core.choice import REST_CONFIRM_MS
from goldcrestridge_core.config import Upstream
from goldcrestridge_core.slot_messages import held_grant, release_of, same_grant, to_owner
from goldcrestridge_core.slot_notices import SlotNotices
from goldcrestridge_core.types import (
    LOAD_REPORT,
    GrantEnd,
    GrantReport,
    NodeId,
    NotOwner,
    RequestId,
    Send,
    ShardId,
    ShardSummary,
    SlotCancel,
    SlotGrant,
    SlotRefusal,
    SlotRequest,
    UpstreamId,
    UpstreamLeaving,
    UpstreamResting,
)

REPORT_INTERVAL_MS = 500.0
RESEND_CHECK_INTERVAL_MS = 250.0
# Slot requests are resent with exponential backoff, to stay within the control traffic budget.
FIRST_RESEND_MS = 250.0
MAX_RESEND_MS = 2_000.0
# The owner sends a summary in each report interval; it is unreachable after three without one.
OWNER_TIMEOUT_MS = 1_500.0
# Empty reports continue for this time, so that the owner reclaims grants whose release was lost.
REPORT_LINGER_MS = 30_000.0
CONNECT_FAILED_AVOID_MS = 10_000.0  # Local admission skips an upstream after a failed connect.
MIN_RETRY_AFTER_MS = 1_000.0
WAIT_EWMA_WEIGHT = 0.2

LOCAL_EPOCH = 0  # Epoch of local grants; fencing numbers of leases start at 1.


@define
class PendingRequest:
    """A request that waits for a slot; local admission is ordered by ``tier``."""

    request_id: RequestId
    attempt: int
    shard: ShardId
    call: Call
    tier: int
    arrived_ms: float
    requested_ms: float
    deadline_ms: float
    excluded: tuple[UpstreamId, ...]
    delivered_tokens: int
    version: str | None = None
    resend_at_ms: float = 0.0
    resend_interval_ms: float = FIRST_RESEND_MS


@define
class ActiveGrant:
    """A grant in use by a call."""

    grant: SlotGrant
    call: Call
    output_tokens: int = 0


@define
class ShardView:
    """State of one shard as known to this entry node."""

    shard: ShardId
    owner: NodeId | None = None
    epoch: int = 0
    last_contact_ms: float = 0.0
    last_active_ms: float = 0.0
    report_at_ms: float = math.inf  # Infinity while no reports are sent.
    summary: ShardSummary | None = None
    limits: tuple[tuple[UpstreamId, float], ...] = ()  # As of the last summary of any owner.
    mean_wait_ms: float = 0.0  # EWMA of the time from slot request to grant.

    def owner_reachable(self, now_ms: float) -> bool:
        """Return whether an owner is known and has sent a message recently."""
        return self.owner is not None and now_ms - self.last_contact_ms < OWNER_TIMEOUT_MS


@frozen
class Accepted:
    """A grant under which a call may start."""

    grant: SlotGrant


@frozen
class Refused:
    """The refusal of a waiting request."""

    refusal: SlotRefusal


@define
class SlotClient:
    """Request slots from shard owners, and track waiting requests and grants in use.

    ``upstreams`` returns the upstreams of a shard, ``live_entries`` the number of live entry
    nodes including this one. ``first_report_sequence`` numbers the first grant report; it must be
    above all numbers used before a restart of the node, or owners ignore its reports as outdated.
    """

    node: NodeId
    rng: random.Random
    upstreams: Callable[[ShardId], tuple[Upstream, ...]]
    live_entries: Callable[[], int]
    first_report_sequence: int = 1
    _views: dict[ShardId, ShardView] = field(factory=dict)
    _waiting: dict[RequestId, PendingRequest] = field(factory=dict)
    _held: dict[RequestId, ActiveGrant] = field(factory=dict)
    _avoid_until_ms: dict[UpstreamId, float] = field(factory=dict)
    notices: SlotNotices = field(init=False)
    _local_ids: itertools.count[int] = field(factory=itertools.count)
    _next_resend_check_ms: float = math.inf
    _next_report_sequence: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Set the sequence number of the next grant report."""
        self._next_report_sequence = self.first_report_sequence
        self.notices = SlotNotices(str(self.node))

    def view(self, shard: ShardId) -> ShardView:
        """Return the view of a shard, creating it on first use."""
        if shard not in self._views:
            self._views[shard] = ShardView(shard)
        return self._views[shard]

    def pick_shard(self, shards: tuple[ShardId, ...], now_ms: float) -> ShardId:
        """Return the better of two random shards of a pool."""
        if len(shards) == 1:
            return shards[0]
        return max(self.rng.sample(shards, 2), key=lambda shard: self._shard_score(shard, now_ms))

    def _shard_score(self, shard: ShardId, now_ms: float) -> tuple[bool, int]:
        """Return a sort key: a reachable owner first, then free slots less waiting requests."""
        view = self.view(shard)
        summary = view.summary
        spare_slots = summary.free_slots - sum(summary.waiting) if summary is not None else 0
        return view.owner_reachable(now_ms), spare_slots

    def request_slot(self, waiting: PendingRequest, now_ms: float) -> list[Send]:
        """Add a waiting request and send a slot request to the owner."""
        view = self.view(waiting.shard)
        self._activate(view, now_ms)
        if not self._waiting:
            self._next_resend_check_ms = now_ms + RESEND_CHECK_INTERVAL_MS
        self._waiting[waiting.request_id] = waiting
        return self._send_request(view, waiting, now_ms)

    def cancel(self, request_id: RequestId, now_ms: float) -> list[Send]:
        """Cancel a request that waits for a slot."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return []
        view = self.view(waiting.shard)
        view.last_active_ms = now_ms
        cancel = SlotCancel(request_id, waiting.attempt, self.node, waiting.shard)
        return to_owner(view, cancel)

    def release(
        self,
        request_id: RequestId,
        end: GrantEnd,
        now_ms: float,
        first_token_ms: float = -1.0,
        inter_token_ms: float = -1.0,
    ) -> list[Send]:
        """Release the slot that a request holds; a negative time means that none was measured."""
        held = self._held.pop(request_id, None)
        if held is None:
            return []
        view = self.view(held.grant.shard)
        view.last_active_ms = now_ms
        upstream = held.grant.upstream
        if end is GrantEnd.LEAVING:
            self.mark_leaving(upstream)
        elif end is GrantEnd.CONNECT_FAILED:
            self._avoid_until_ms[upstream] = now_ms + CONNECT_FAILED_AVOID_MS
        release = evolve(
            release_of(held.grant, self.node, end),
            output_tokens=held.output_tokens,
            first_token_ms=first_token_ms,
            inter_token_ms=inter_token_ms,
        )
        leaving = UpstreamLeaving(upstream, str(self.node))
        notices = to_owner(view, leaving) if end is GrantEnd.LEAVING else []
        return [*to_owner(view, release), *notices]

    def record_progress(self, request_id: RequestId, output_tokens: int) -> None:
        """Record the output tokens of a running attempt for the next grant report."""
        held = self._held.get(request_id)
        if held is not None:
            held.output_tokens = output_tokens

    def retry_after_ms(self, shard: ShardId) -> float:
        """Return the mean wait for a slot of the shard, at least one second."""
        return max(MIN_RETRY_AFTER_MS, self.view(shard).mean_wait_ms)

    def hear_answer(
        self, shard: ShardId, upstream: UpstreamId, leaving: bool, rest_ms: float, now_ms: float
    ) -> list[Send]:
        """Apply what an upstream says of itself in an answer, and tell the owner of the shard."""
        view = self.view(shard)
        heard = self.notices.hear(upstream, leaving, rest_ms, now_ms)
        return [send for notice in heard for send in to_owner(view, notice)]

    def rest(self, message: UpstreamResting, now_ms: float) -> None:
        """Exclude an upstream from local admission until the rest that it asked for ends.

        If it asked this node, slots that were granted before are not used either.
        """
        upstream, left_ms = message.upstream, message.left_ms
        # The owner of the shard polls the upstream first and says if it has begun to leave.
        rest_end_ms = now_ms + left_ms + REST_CONFIRM_MS
        until_ms = max(self._avoid_until_ms.get(upstream, now_ms), rest_end_ms)
        self._avoid_until_ms[upstream] = until_ms
        if message.source == LOAD_REPORT:
            self.notices.hear(upstream, False, left_ms, now_ms)

    def mark_leaving(self, upstream: UpstreamId) -> None:
        """Exclude a leaving upstream from local admission until an owner grants a slot on it."""
        self._avoid_until_ms[upstream] = math.inf

    def handle_grant(
        self, sender: NodeId, grant: SlotGrant, now_ms: float
    ) -> tuple[list[Send], Accepted | None]:
        """Accept a grant for a waiting request; release any other grant unused."""
        sends = self._record_contact(grant.shard, sender, grant.epoch, now_ms)
        view = self.view(grant.shard)
        held = self._held.get(grant.request_id)
        if held is not None and same_grant(held.grant, grant):
            return sends, None  # A duplicate message.
        self._activate(view, now_ms)  # Send reports, in case the release is lost.
        waiting = self._waiting.get(grant.request_id)
        attempt_matches = waiting is not None and waiting.attempt == grant.attempt
        if waiting is None or not attempt_matches or waiting.shard != grant.shard:
            return [*sends, self._release_unused(sender, grant)], None
        if grant.epoch < view.epoch:
            return [*sends, self._release_unused(sender, grant)], None
        self._avoid_until_ms.pop(grant.upstream, None)
        wait_ms = now_ms - waiting.requested_ms
        view.mean_wait_ms += WAIT_EWMA_WEIGHT * (wait_ms - view.mean_wait_ms)
        return sends, self._accept(waiting, grant)

    def handle_refusal(
        self, sender: NodeId, refusal: SlotRefusal, now_ms: float
    ) -> tuple[list[Send], Refused | None]:
        """Apply the refusal of a waiting request unless an older owner sent it."""
        sends = self._record_contact(refusal.shard, sender, refusal.epoch, now_ms)
        waiting = self._waiting.get(refusal.request_id)
        is_current = refusal.epoch >= self.view(refusal.shard).epoch
        if waiting is None or waiting.attempt != refusal.attempt or not is_current:
            return sends, None
        if waiting.shard != refusal.shard:
            return sends, None
        del self._waiting[refusal.request_id]
        return sends, Refused(refusal)

    def handle_summary(self, sender: NodeId, summary: ShardSummary, now_ms: float) -> list[Send]:
        """Store the summary of a shard if its current owner sent it."""
        sends = self._record_contact(summary.shard, summary.owner, summary.epoch, now_ms)
        view = self.view(summary.shard)
        if summary.epoch == view.epoch and sender == view.owner:
            view.summary = summary
            view.limits = summary.limits
        return sends

    def handle_not_owner(self, sender: NodeId, answer: NotOwner, now_ms: float) -> list[Send]:
        """Switch to the newer owner that is named; drop an owner that gave up its lease."""
        view = self.view(answer.shard)
        if answer.owner == sender:
            return []
        if answer.owner is not None and answer.epoch > view.epoch:
            return self.set_owner(answer.shard, answer.owner, answer.epoch, now_ms)
        if sender == view.owner and answer.epoch >= view.epoch:
            view.owner = None
        return []

    def set_owner(
        self, shard: ShardId, owner: NodeId | None, epoch: int, now_ms: float
    ) -> list[Send]:
        """Set the owner of a shard; report held grants and resend waiting requests to it."""
        view = self.view(shard)
        if epoch < view.epoch or (epoch == view.epoch and owner == view.owner):
            return []
        if epoch == view.epoch and None not in (owner, view.owner):
            return []
        view.owner, view.epoch, view.summary = owner, epoch, None
        view.last_contact_ms = now_ms
        if owner is None:
            return []
        waiting = [item for item in self._waiting.values() if item.shard == shard]
        resent = [self._send_request(view, item, now_ms) for item in waiting]
        names = {upstream.name for upstream in self.upstreams(shard)}
        notices = [
            send
            for notice in self.notices.in_force(now_ms)
            if notice.upstream in names
            for send in to_owner(view, notice)
        ]
        reports = self._report(view, now_ms)
        return [*notices, *reports, *itertools.chain.from_iterable(resent)]

    def tick(self, now_ms: float) -> list[Send]:
        """Return the grant reports and resent slot requests that are due."""
        due_views = [view for view in self._views.values() if now_ms >= view.report_at_ms]
        reports = [self._report(view, now_ms) for view in due_views]
        if now_ms < self._next_resend_check_ms:
            return list(itertools.chain.from_iterable(reports))
        self._next_resend_check_ms = now_ms + RESEND_CHECK_INTERVAL_MS
        due_requests = [item for item in self._waiting.values() if now_ms >= item.resend_at_ms]
        resent = [self._send_request(self.view(item.shard), item, now_ms) for item in due_requests]
        return list(itertools.chain.from_iterable([*reports, *resent]))

    def next_deadline_ms(self) -> float:
        """Return when ``tick`` and ``admit_locally`` should run next, or infinity."""
        resend_check_ms = self._next_resend_check_ms if self._waiting else math.inf
        return min([resend_check_ms, *(view.report_at_ms for view in self._views.values())])

    def admit_locally(self, now_ms: float) -> list[Accepted]:
        """Admit waiting requests of shards without a reachable owner, up to the local share."""
        unreachable = [
            view.shard for view in self._views.values() if not view.owner_reachable(now_ms)
        ]
        return [item for shard in unreachable for item in self._admit_in_shard(shard, now_ms)]

    def _admit_in_shard(self, shard: ShardId, now_ms: float) -> list[Accepted]:
        """Admit by tier, then by arrival, up to the local share of the slots."""
        queue = [item for item in self._waiting.values() if item.shard == shard]
        if not queue:
            return []
        queue.sort(key=lambda item: (item.tier, item.arrived_ms, item.request_id))
        # Without the owner nobody counts the requests of all nodes against a limit.
        limited = {name for name, _ in self.view(shard).limits}
        upstreams = tuple(item for item in self.upstreams(shard) if item.name not in limited)
        slot_count = sum(upstream.slots for upstream in upstreams)
        local_share = max(1, slot_count // max(1, self.live_entries()))
        used_slots = {upstream.name: 0 for upstream in upstreams}
        held = [item.grant for item in self._held.values() if item.grant.shard == shard]
        for grant in held:
            used_slots[grant.upstream] = used_slots.get(grant.upstream, 0) + 1
        accepted: list[Accepted] = []
        for waiting in queue:
            if len(held) + len(accepted) >= local_share:
                break
            upstream = self._pick_upstream(upstreams, used_slots, waiting, now_ms)
            if upstream is None:
                continue
            used_slots[upstream] += 1
            accepted.append(self._accept(waiting, self._local_grant(waiting, upstream)))
        return accepted

    def _pick_upstream(
        self,
        upstreams: tuple[Upstream, ...],
        used_slots: dict[UpstreamId, int],
        waiting: PendingRequest,
        now_ms: float,
    ) -> UpstreamId | None:
        """Return the usable upstream with the smallest share of its slots in use here, or None."""
        usable = [
            upstream
            for upstream in upstreams
            if upstream.name not in waiting.excluded
            and self._avoid_until_ms.get(upstream.name, now_ms) <= now_ms
            and not self.notices.is_withheld(upstream.name, now_ms)
            and used_slots[upstream.name] < upstream.slots
        ]
        if not usable:
            return None
        self.rng.shuffle(usable)
        return min(usable, key=lambda item: used_slots[item.name] / item.slots).name

    def _local_grant(self, waiting: PendingRequest, upstream: UpstreamId) -> SlotGrant:
        """Return a local grant with an id that no other entry node uses."""
        prefix = xxhash.xxh32_intdigest(self.node.encode()) >> 1
        return SlotGrant(
            request_id=waiting.request_id,
            attempt=waiting.attempt,
            shard=waiting.shard,
            epoch=LOCAL_EPOCH,
            grant_id=(prefix << 32) | next(self._local_ids),
            upstream=upstream,
            priority=waiting.tier,
        )

    def _accept(self, waiting: PendingRequest, grant: SlotGrant) -> Accepted:
        """Move a request from the waiting ones to the grants in use."""
        del self._waiting[waiting.request_id]
        self._held[waiting.request_id] = ActiveGrant(grant, waiting.call)
        return Accepted(grant)

    def _record_contact(
        self, shard: ShardId, owner: NodeId, epoch: int, now_ms: float
    ) -> list[Send]:
        """Record a message from an owner, and switch to that owner if it is newer."""
        sends = self.set_owner(shard, owner, epoch, now_ms)
        view = self.view(shard)
        if epoch == view.epoch and owner == view.owner:
            view.last_contact_ms = now_ms
        return sends

    def _activate(self, view: ShardView, now_ms: float) -> None:
        """Start the owner timeout and the reports of a shard that was not in use."""
        if math.isinf(view.report_at_ms):
            view.last_contact_ms = now_ms
            view.report_at_ms = now_ms + REPORT_INTERVAL_MS
        view.last_active_ms = now_ms

    def _send_request(self, view: ShardView, waiting: PendingRequest, now_ms: float) -> list[Send]:
        """Return a slot request for the known owner, and schedule the next resend."""
        waiting.resend_at_ms = now_ms + waiting.resend_interval_ms
        waiting.resend_interval_ms = min(MAX_RESEND_MS, 2.0 * waiting.resend_interval_ms)
        call = waiting.call
        request = SlotRequest(
            request_id=waiting.request_id,
            attempt=waiting.attempt,
            entry=self.node,
            shard=waiting.shard,
            workspace=call.workspace,
            site=call.site,
            class_name=call.class_name,
            model=call.model,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens,
            prefix=call.prefix,
            waited_ms=now_ms - waiting.arrived_ms,
            deadline_in_ms=waiting.deadline_ms - now_ms,
            excluded=waiting.excluded,
            delivered_tokens=waiting.delivered_tokens,
            version=waiting.version,
        )
        return to_owner(view, request)

    def _report(self, view: ShardView, now_ms: float) -> list[Send]:
        """Return a report of the grants in use and the waiting requests of one shard."""
        view.report_at_ms = now_ms + REPORT_INTERVAL_MS
        held = tuple(
            held_grant(item) for item in self._held.values() if item.grant.shard == view.shard
        )
        waiting = tuple(
            (item.request_id, item.attempt)
            for item in self._waiting.values()
            if item.shard == view.shard
        )
        if held or waiting:
            view.last_active_ms = now_ms
        if now_ms - view.last_active_ms >= REPORT_LINGER_MS:
            view.report_at_ms = math.inf
        report = GrantReport(
            self.node, view.shard, held, waiting, self._next_report_sequence, view.limits
        )
        self._next_report_sequence += 1
        return to_owner(view, report)

    def _release_unused(self, sender: NodeId, grant: SlotGrant) -> Send:
        """Return the release of a stale or late grant."""
        return Send(sender, release_of(grant, self.node, GrantEnd.UNUSED))
