"""Shard owner: admission, scheduling and placement of the requests of one pool shard."""

from __future__ import annotations

import math
import random
from typing import Any

from attrs import define, field

from goldcrestridge_core import member_types, types
from goldcrestridge_core.choice import LEAVING_HOLD_MS
from goldcrestridge_core.choosers import Chooser
from goldcrestridge_core.config import Configuration, Upstream
from goldcrestridge_core.flows import WaitingRequest
from goldcrestridge_core.grants import REPORT_INTERVAL_MS, AttemptKey, Grant, Grants
from goldcrestridge_core.lengths import LengthEstimator
from goldcrestridge_core.limits import Limits
from goldcrestridge_core.queue import MIN_RETRY_AFTER_MS, Queue

# One report interval for the entry nodes to report, and a margin for delivery.
REBUILD_MS = REPORT_INTERVAL_MS + 100.0
SWEEP_INTERVAL_MS = 250.0
ENTRY_TIMEOUT_MS = 10_000.0  # An entry node gets no summaries after this time without messages.
# Requests without a suitable upstream that are skipped in one scheduling pass.
MAX_UNPLACED = 4
FIRST_REESTIMATE_SHARE = 0.5  # Estimates hardly change below half of the expected output.
REESTIMATE_GROWTH = 1.25  # Re-estimate each time the output has grown by a quarter.
EXPECTED_TOKEN_MS = 20.0  # For the slot hold time without measurements.
UNKNOWN_CLASS_RETRY_MS = 1_000.0  # A configuration reaches all nodes within seconds.
RETRY_JITTER_SHARE = 0.1  # Spreads the retries of requests refused in one burst.


@define
class Owner:
    """Manage the queue and the slots of one shard under one lease.

    ``epoch`` is the fencing number of the lease, ``lease_until_ms`` the monotonic time at which
    it expires unless ``LeaseExtended`` postpones it. No slot is granted until ``REBUILD_MS`` after
    ``started_ms``; in this time the entry nodes report the grants of earlier owners.
    """

    cfg: Configuration
    shard: types.ShardId
    node: types.NodeId
    upstreams: tuple[Upstream, ...]
    epoch: int
    chooser: Chooser
    rng: random.Random
    started_ms: float = 0.0
    lease_until_ms: float = math.inf
    lengths: LengthEstimator = field(factory=LengthEstimator)
    grants: Grants = field(factory=Grants)
    limits: Limits = field(init=False)
    queue: Queue = field(init=False)
    _waiting: dict[AttemptKey, WaitingRequest] = field(factory=dict)
    _entry_last_contact_ms: dict[types.NodeId, float] = field(factory=dict)
    _last_reports: dict[types.NodeId, int] = field(factory=dict)
    _incarnations: dict[types.NodeId, int] = field(factory=dict)
    _leaving_since_ms: dict[types.UpstreamId, float] = field(factory=dict)
    _next_grant: int = 0
    _next_summary_ms: float = field(init=False)
    _next_sweep_ms: float = 0.0
    _shed_due: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the limits and the queue from the configuration."""
        self.limits = Limits(self.cfg)
        self.queue = Queue(self.cfg, self.limits, sum(u.slots for u in self.upstreams))
        self.chooser.set_upstreams(self.upstreams)
        self._next_summary_ms = self.started_ms + REPORT_INTERVAL_MS

    def handle(self, event: Any, now_ms: float) -> list[Any]:
        """Apply an event and return messages to send, counters and timeline events."""
        effects: list[Any] = []
        if isinstance(event, types.Receive):
            effects += self._receive(event.sender, event.message, now_ms)
        elif isinstance(event, member_types.MemberDown):
            self._handle_member_down(event.node, now_ms)
        elif isinstance(event, member_types.MemberUp):
            effects += self._handle_member_up(event.member, now_ms)
        elif isinstance(event, types.LeaseExtended) and event.epoch == self.epoch:
            self.lease_until_ms = max(self.lease_until_ms, event.until_ms)
        effects += self._apply_decisions(now_ms)
        return effects

    def next_deadline_ms(self) -> float | None:
        """Return when ``handle`` must run next without an event, or None."""
        times = [self.queue.next_deadline_ms(), self.grants.next_reclaim_ms()]
        if self._entry_last_contact_ms:
            times.append(self._next_summary_ms)
        if self._waiting:
            times.append(self._next_sweep_ms)
        return min((time for time in times if time is not None), default=None)

    def reconfigure(
        self, cfg: Configuration, upstreams: tuple[Upstream, ...], now_ms: float
    ) -> list[Any]:
        """Apply a new configuration; keep waiting requests, held grants and measurements.

        Waiting requests of a class that no longer exists are refused.
        """
        old_queue = self.queue
        self.cfg = cfg
        self.upstreams = upstreams
        self._leaving_since_ms = {
            u.name: self._leaving_since_ms[u.name]
            for u in upstreams
            if u.name in self._leaving_since_ms
        }
        self.chooser.set_upstreams(upstreams)
        self.limits = self.limits.with_configuration(cfg, now_ms)
        self.queue = Queue(cfg, self.limits, sum(u.slots for u in upstreams))
        self.queue.copy_rates_from(old_queue)
        for grant in self.grants:
            self.limits.count_running(grant.held.workspace, grant.held.site, now_ms)
        effects: list[Any] = []
        for attempt, waiting in list(self._waiting.items()):
            if waiting.cls.name in cfg.classes:
                waiting.cls = cfg.classes[waiting.cls.name]
                self.queue.restore(waiting)
            else:
                del self._waiting[attempt]
                reason = types.Reason.OVERLOADED
                effects.append(self._refuse(waiting.request, reason, UNKNOWN_CLASS_RETRY_MS))
        return effects + self._apply_decisions(now_ms)

    def _receive(self, sender: types.NodeId, message: Any, now_ms: float) -> list[Any]:
        match message:
            case types.SlotRequest():
                return self._handle_request(message, now_ms)
            case types.SlotCancel():
                self._handle_cancel(message, now_ms)
            case types.SlotRelease():
                return self._handle_release(message, now_ms)
            case types.GrantReport():
                return self._handle_report(message, now_ms)
            case types.LoadReport():
                self.chooser.apply_load_report(message, now_ms)
                if message.leaving:
                    return self._mark_leaving(message.upstream, types.LOAD_REPORT, now_ms)
                leaving_since_ms = self._leaving_since_ms.get(message.upstream, math.inf)
                if now_ms - message.age_ms > leaving_since_ms + LEAVING_HOLD_MS:
                    del self._leaving_since_ms[message.upstream]
            case types.CacheEvents():
                self.chooser.apply_cache_events(message, now_ms)
            case types.UpstreamLeaving():
                return self._mark_leaving(message.upstream, message.source, now_ms)
            case types.UpstreamResting():
                return self._start_rest(message, now_ms)
        return []

    def _handle_request(self, request: types.SlotRequest, now_ms: float) -> list[Any]:
        """Queue a request, or resend the answer that it already got."""
        self._entry_last_contact_ms[request.entry] = now_ms
        attempt = (request.request_id, request.attempt)
        grant = self.grants.find_by_attempt(attempt)
        if grant is not None:
            return [types.Send(grant.entry, grant.answer)] if grant.answer is not None else []
        if self.grants.has_answer(attempt):
            refusal = self.grants.find_refusal(attempt)
            return [types.Send(request.entry, refusal)] if refusal is not None else []
        if attempt in self._waiting:
            return []
        if request.class_name not in self.cfg.classes:
            # The entry node uses another version of the configuration.
            return [self._refuse(request, types.Reason.OVERLOADED, UNKNOWN_CLASS_RETRY_MS)]
        waiting = self.queue.create_entry(request, self._expected_tokens(request), now_ms)
        return self._admit(waiting, now_ms)

    def _admit(self, waiting: WaitingRequest, now_ms: float) -> list[Any]:
        """Queue a new request, or refuse it if it cannot get a slot in time."""
        if len(self._leaving_since_ms) == len(self.upstreams):
            return [self._refuse_waiting(waiting, types.Reason.NO_UPSTREAM, now_ms)]
        rest_ms = self.chooser.rest_left_ms(now_ms)
        if rest_ms is not None:
            return [self._refuse_waiting(waiting, types.Reason.NO_UPSTREAM, now_ms, rest_ms)]
        version = waiting.request.version
        if version is not None and not self.chooser.serves_version(version):
            return [self._refuse_waiting(waiting, types.Reason.NO_UPSTREAM, now_ms)]
        if waiting.deadline_ms <= now_ms:
            return [self._refuse_waiting(waiting, types.Reason.DEADLINE, now_ms)]
        limit_wait_ms = self.queue.limit_wait_ms(waiting, now_ms)
        if now_ms + limit_wait_ms > waiting.deadline_ms:
            return [self._refuse_waiting(waiting, types.Reason.LIMIT, now_ms, limit_wait_ms)]
        if not self._waiting:
            self._next_sweep_ms = now_ms + SWEEP_INTERVAL_MS
        # Queue bounds are checked after each arrival and in each sweep, not on each release.
        self._shed_due = True
        self._waiting[(waiting.request.request_id, waiting.request.attempt)] = waiting
        self.queue.push(waiting, now_ms)
        return []

    def _handle_cancel(self, cancel: types.SlotCancel, now_ms: float) -> None:
        """Cancel a request, also one that has not arrived yet."""
        attempt = (cancel.request_id, cancel.attempt)
        waiting = self._waiting.pop(attempt, None)
        grant = self.grants.find_by_attempt(attempt)
        if waiting is not None:
            self.queue.remove(waiting)
        if grant is not None:
            self._end_grant(grant, _unused_release(grant, self.shard), now_ms)
        else:
            # Also after a refusal: a late duplicate of the request must not be answered again.
            self.grants.record_answer(attempt, None)

    def _handle_release(self, release: types.SlotRelease, now_ms: float) -> list[Any]:
        """Free the slot of a grant and record its measurements."""
        key = (release.entry, release.epoch, release.grant_id)
        grant = self.grants.find(key)
        if grant is None:
            self.grants.mark_ended(key)
            return []
        self._end_grant(grant, release, now_ms)
        if release.end is types.GrantEnd.LEAVING:
            return self._mark_leaving(release.upstream, "refusal", now_ms)
        return []

    def _handle_report(self, report: types.GrantReport, now_ms: float) -> list[Any]:
        """Compare the held grants with a report and resend lost grant messages."""
        if report.sequence and report.sequence <= self._last_reports.get(report.entry, 0):
            return []
        self._last_reports[report.entry] = report.sequence
        self._entry_last_contact_ms[report.entry] = now_ms
        for upstream, per_second in report.limits:
            self.chooser.adopt_limit(upstream, per_second, now_ms)
        for held in report.held:
            key = (report.entry, held.epoch, held.grant_id)
            grant = self.grants.find(key)
            if grant is not None:
                self.chooser.record_progress(held, now_ms)
                self._update_charge(grant, held.output_tokens, now_ms)
            elif held.epoch != self.epoch and not self.grants.has_ended(key):
                self._adopt_grant(report.entry, held, now_ms)
        resend = self.grants.apply_report(report, now_ms)
        return [types.Send(report.entry, answer) for answer in resend]

    def _adopt_grant(self, entry: types.NodeId, held: types.HeldGrant, now_ms: float) -> None:
        """Add a grant that was issued by an earlier owner or by the entry node itself."""
        attempt = (held.request_id, held.attempt)
        waiting = self._waiting.pop(attempt, None)
        if waiting is not None:
            self.queue.remove(waiting)
        expected = self.lengths.mean(
            held.class_name, held.model, held.workspace, produced=held.output_tokens
        )
        charged = held.prompt_tokens + expected
        grant = Grant(held, entry, now_ms, charged, output_tokens=held.output_tokens)
        self.grants.add(grant)
        self.limits.record_start(held.workspace, held.site, grant.charged_tokens, now_ms)
        self.chooser.record_grant(held, (), round(expected), now_ms)

    def _update_charge(self, grant: Grant, output_tokens: int, now_ms: float) -> None:
        """Raise the charge of a running request to the total tokens now expected."""
        held = grant.held
        grant.output_tokens = max(grant.output_tokens, output_tokens)
        first_at_tokens = FIRST_REESTIMATE_SHARE * (grant.charged_tokens - held.prompt_tokens)
        if output_tokens < max(grant.reestimate_at_tokens, first_at_tokens):
            return
        grant.reestimate_at_tokens = REESTIMATE_GROWTH * output_tokens
        expected = held.prompt_tokens + self.lengths.mean(
            held.class_name, held.model, held.workspace, produced=output_tokens
        )
        if expected > grant.charged_tokens:
            additional = expected - grant.charged_tokens
            grant.charged_tokens = expected
            self.limits.charge(held.workspace, held.site, additional, now_ms)
            self.queue.adjust_charge(held.class_name, held.workspace, additional)

    def _mark_leaving(self, upstream: types.UpstreamId, source: str, now_ms: float) -> list[Any]:
        """Stop choosing an upstream and notify the entry nodes."""
        if upstream in self._leaving_since_ms or upstream not in {u.name for u in self.upstreams}:
            return []
        self._leaving_since_ms[upstream] = now_ms
        self.chooser.mark_leaving(upstream, now_ms)
        notice = types.UpstreamLeaving(upstream, source)
        sends = [types.Send(entry, notice) for entry in self._entry_last_contact_ms]
        return [*sends, types.Emit("upstream_leaving", upstream=upstream)]

    def _start_rest(self, message: types.UpstreamResting, now_ms: float) -> list[Any]:
        """Stop choosing an upstream for a time, and notify the entry nodes.

        If all upstreams rest now, the waiting requests are refused rather than held.
        """
        upstream = message.upstream
        if upstream not in {u.name for u in self.upstreams}:
            return []
        started = not self.chooser.is_resting(upstream, now_ms)
        self.chooser.rest(upstream, now_ms + message.left_ms, now_ms)
        if not started:
            return []
        notice = types.UpstreamResting(upstream, message.left_ms, self.node)
        sends = [types.Send(entry, notice) for entry in self._entry_last_contact_ms]
        rest_ms = self.chooser.rest_left_ms(now_ms)
        held = [] if rest_ms is None else list(self._waiting.values())
        reason = types.Reason.NO_UPSTREAM
        refusals = [self._remove_and_refuse(item, reason, now_ms, rest_ms) for item in held]
        detail = (("left_ms", message.left_ms),)
        return [*sends, *refusals, types.Emit("upstream_rests", upstream=upstream, detail=detail)]

    def _handle_member_down(self, node: types.NodeId, now_ms: float) -> None:
        """Remove the waiting requests of a node; its grants are reclaimed after a timeout."""
        self._entry_last_contact_ms.pop(node, None)
        self._last_reports.pop(node, None)
        self._incarnations.pop(node, None)
        self.grants.mark_entry_lost(node, now_ms)
        for attempt, waiting in list(self._waiting.items()):
            if waiting.request.entry == node:
                del self._waiting[attempt]
                self.queue.remove(waiting)

    def _handle_member_up(self, member: member_types.Member, now_ms: float) -> list[Any]:
        """Mark the grants of a node as lost if it may have restarted, and notify it.

        A restarted node sends no reports until it has new requests, so its old grants would not
        be missing from the two successive reports that mark them as lost. A node that did not
        restart reports its grants before the grant timeout, which clears the mark. A node that was
        down when an upstream began to leave must know of it before it admits requests locally.
        """
        if member.incarnation <= self._incarnations.get(member.node, -1):
            return []
        self._incarnations[member.node] = member.incarnation
        self.grants.mark_entry_lost(member.node, now_ms)
        return [
            types.Send(member.node, types.UpstreamLeaving(upstream, self.node))
            for upstream in self._leaving_since_ms
        ]

    def _apply_decisions(self, now_ms: float) -> list[Any]:
        """Reclaim lost grants, refuse requests, grant free slots and send due summaries."""
        for grant in self.grants.reclaimable(now_ms):
            self._end_grant(grant, _unused_release(grant, self.shard), now_ms)
        self.queue.wake(now_ms)
        effects = [
            self._remove_and_refuse(w, types.Reason.DEADLINE, now_ms) for w in self._expired(now_ms)
        ]
        effects += self._grant_free(now_ms)
        self._update_saturation(now_ms)
        if self._shed_due or now_ms >= self._next_sweep_ms:
            effects += self._shed_excess(now_ms)
        if now_ms >= self._next_summary_ms:
            effects += self._send_summaries(now_ms)
        if now_ms >= self._next_sweep_ms:
            self._next_sweep_ms = now_ms + SWEEP_INTERVAL_MS
        return effects

    def _expired(self, now_ms: float) -> list[WaitingRequest]:
        return list(self.queue.iter_expired(now_ms))

    def _grants_allowed(self, now_ms: float) -> bool:
        return self.started_ms + REBUILD_MS <= now_ms < self.lease_until_ms

    def _grant_free(self, now_ms: float) -> list[Any]:
        """Grant free slots in queue order."""
        if not self._waiting or not self._grants_allowed(now_ms):
            return []
        effects: list[Any] = []
        unplaced: list[WaitingRequest] = []
        while len(unplaced) < MAX_UNPLACED:
            free = self.chooser.free_slots(now_ms)
            waiting = self.queue.pop(free, now_ms) if free > 0 else None
            if waiting is None:
                break
            expected = round(max(1.0, waiting.cost - waiting.request.prompt_tokens))
            upstream = self.chooser.choose(waiting.request, expected, now_ms)
            if upstream is None:
                unplaced.append(waiting)
                continue
            effects += self._grant(waiting, upstream, expected, now_ms)
        for waiting in reversed(unplaced):
            self.queue.put_back(waiting)
        return effects

    def _grant(
        self, waiting: WaitingRequest, upstream: types.UpstreamId, expected: int, now_ms: float
    ) -> list[Any]:
        request = waiting.request
        self._next_grant += 1
        held = types.HeldGrant(
            request.request_id,
            request.attempt,
            self.epoch,
            self._next_grant,
            upstream,
            request.workspace,
            request.site,
            request.class_name,
            request.model,
            request.prompt_tokens,
            0,
        )
        answer = types.SlotGrant(
            request.request_id,
            request.attempt,
            self.shard,
            self.epoch,
            self._next_grant,
            upstream,
            waiting.cls.tier,
            expected,
        )
        waiting.active = False
        del self._waiting[(request.request_id, request.attempt)]
        self.grants.add(Grant(held, request.entry, now_ms, waiting.cost, answer))
        self.queue.record_grant(waiting, now_ms)
        self.limits.record_start(request.workspace, request.site, waiting.cost, now_ms)
        self.chooser.record_grant(held, request.prefix, expected, now_ms)
        labels = (("class", request.class_name), ("floor", str(int(waiting.granted_by_floor))))
        waited_ms = now_ms - waiting.arrived_ms
        return [
            types.Send(request.entry, answer),
            types.Emit(
                "slot_granted",
                request.request_id,
                request.workspace,
                upstream,
                detail=(("class", request.class_name), ("floor", int(waiting.granted_by_floor))),
            ),
            types.Count("slot_grants", 1.0, labels),
            types.Count("slot_wait_ms", waited_ms, labels[:1]),
        ]

    def _update_saturation(self, now_ms: float) -> None:
        saturated = bool(self._waiting) and self.chooser.free_slots(now_ms) <= 0
        if saturated == self.queue.is_saturated:
            return
        hold_ms = EXPECTED_TOKEN_MS * self.lengths.mean("", "", "")
        self.queue.set_saturated(saturated, hold_ms, now_ms)

    def _shed_excess(self, now_ms: float) -> list[Any]:
        """Refuse the requests that cannot get a slot in time."""
        self._shed_due = False
        if not self._waiting or not self._grants_allowed(now_ms):
            return []
        return [
            self._remove_and_refuse(waiting, types.Reason.OVERLOADED, now_ms)
            for waiting in self.queue.requests_to_shed(now_ms)
        ]

    def _remove_and_refuse(
        self,
        waiting: WaitingRequest,
        reason: types.Reason,
        now_ms: float,
        wait_ms: float | None = None,
    ) -> types.Send:
        """Remove a waiting request from the queue and refuse it."""
        del self._waiting[(waiting.request.request_id, waiting.request.attempt)]
        self.queue.remove(waiting)
        return self._refuse_waiting(waiting, reason, now_ms, wait_ms)

    def _refuse_waiting(
        self,
        waiting: WaitingRequest,
        reason: types.Reason,
        now_ms: float,
        wait_ms: float | None = None,
    ) -> types.Send:
        """Return a refusal; by default its retry time is that to serve the backlog."""
        if wait_ms is None:
            wait_ms = self.queue.retry_after_ms(waiting.cls.name, now_ms)
        return self._refuse(waiting.request, reason, wait_ms)

    def _refuse(
        self, request: types.SlotRequest, reason: types.Reason, wait_ms: float
    ) -> types.Send:
        """Return a refusal and record it, so that a duplicate request gets the same one."""
        jitter = 1.0 + RETRY_JITTER_SHARE * self.rng.random()
        refusal = types.SlotRefusal(
            request.request_id,
            request.attempt,
            self.shard,
            self.epoch,
            reason,
            max(MIN_RETRY_AFTER_MS, wait_ms) * jitter,
        )
        self.grants.record_answer((request.request_id, request.attempt), refusal)
        return types.Send(request.entry, refusal)

    def _end_grant(self, grant: Grant, release: types.SlotRelease, now_ms: float) -> None:
        """Free the slot of a grant and correct the charges by the tokens actually used."""
        held = grant.held
        unused = release.end in _ENDS_BEFORE_START and not grant.output_tokens
        output = max(grant.output_tokens, release.output_tokens)
        used = 0.0 if unused else float(held.prompt_tokens + output)
        if release.end is types.GrantEnd.COMPLETED:
            self.lengths.observe(held.class_name, held.model, held.workspace, release.output_tokens)
        if release.first_token_ms >= 0.0:
            self.queue.record_first_token(held.class_name, release.first_token_ms)
        self.grants.remove(grant)
        limit_keys = self.limits.record_end(
            held.workspace, held.site, grant.charged_tokens, used, now_ms
        )
        self.queue.adjust_charge(held.class_name, held.workspace, used - grant.charged_tokens)
        if unused:
            self.queue.refund(held.class_name, now_ms)
        else:
            self.queue.record_release(now_ms - grant.granted_ms, now_ms)
        self.queue.unpark(limit_keys)
        self.chooser.record_end(release, now_ms)

    def _send_summaries(self, now_ms: float) -> list[Any]:
        """Return a summary of the shard for each entry node, and drop silent entry nodes."""
        self._next_summary_ms = now_ms + REPORT_INTERVAL_MS
        oldest_ms = now_ms - ENTRY_TIMEOUT_MS
        self._entry_last_contact_ms = {
            entry: contact_ms
            for entry, contact_ms in self._entry_last_contact_ms.items()
            if contact_ms >= oldest_ms
        }
        summary = types.ShardSummary(
            self.shard,
            self.node,
            self.epoch,
            max(0, self.chooser.free_slots(now_ms)),
            self.queue.waiting_by_tier(),
            self.chooser.limits(),
        )
        return [types.Send(entry, summary) for entry in self._entry_last_contact_ms]

    def _expected_tokens(self, request: types.SlotRequest) -> float:
        """Return the expected number of prompt and output tokens."""
        return request.prompt_tokens + self.lengths.mean(
            request.class_name, request.model, request.workspace, request.max_tokens
        )


_ENDS_BEFORE_START = (types.GrantEnd.UNUSED, types.GrantEnd.CONNECT_FAILED, types.GrantEnd.LEAVING)


def _unused_release(grant: Grant, shard: types.ShardId) -> types.SlotRelease:
    """Return a release of a grant that was withdrawn or lost."""
    held = grant.held
    return types.SlotRelease(
        held.request_id,
        held.attempt,
        grant.entry,
        shard,
        held.epoch,
        held.grant_id,
        held.upstream,
        types.GrantEnd.UNUSED,
    )
