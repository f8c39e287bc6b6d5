"""Several entry nodes with fake shard owners, upstreams, claim store and network."""

from __future__ import annotations

import itertools
import random
from typing import Any

from attrs import define, field

from goldcrestridge_core.call_types import (
    AttemptChunk,
    AttemptEnd,
    AttemptFailed,
    AttemptHead,
    Call,
    CallerGone,
    CallerRequest,
    CallKind,
    CancelAttempt,
    CutRequests,
    OwnerChanged,
    RequestsCut,
    RespondChunk,
    RespondEnd,
    RespondFailure,
    RespondHead,
    StartAttempt,
)
from goldcrestridge_core.config import (
    Configuration,
    LatencyTarget,
    Pool,
    PoolKind,
    RequestClass,
    Upstream,
)
from goldcrestridge_core.member_types import StartDrain
from goldcrestridge_core.requests import Requests
from goldcrestridge_core.store_types import BeginClaim, ClaimResult, ClaimState, FinishClaim
from goldcrestridge_core.types import (
    GrantReport,
    NodeId,
    NotOwner,
    Outcome,
    ProposalDone,
    Reason,
    Receive,
    RequestId,
    Send,
    ShardId,
    ShardSummary,
    SlotCancel,
    SlotGrant,
    SlotRefusal,
    SlotRelease,
    SlotRequest,
    SubmitProposal,
    Tick,
    UpstreamId,
)
from goldcrestridge_lab import keys

SHARD = ShardId("pool/0")
TOKENS = 3
WALL_MS = 1_800_000_000_000.0
RETRY_SHARE = 4.0
UPSTREAMS = tuple(Upstream(UpstreamId(f"u{n}"), f"127.0.0.1:{n}", "dc", 2) for n in range(3))
CONFIG = Configuration(
    name="test",
    classes={"fast": RequestClass("fast", 0, 1.0, 0.1, LatencyTarget(500.0, 50.0), 4_000.0)},
    pools={"pool": Pool("pool", PoolKind.ENGINE, UPSTREAMS)},
    retry_share=RETRY_SHARE,
)


def uuid7(number: int, issued_ms: float = WALL_MS) -> str:
    """Return an idempotency key that is issued at the wall time of the fleet by default."""
    return keys.uuid7(number, issued_ms)


def make_call(
    *,
    stream: bool = True,
    plain: bool = False,
    repeatable: bool = True,
    key: str = "",
    ws: str = "a",
) -> Call:
    """Return a call of the only class and pool in the configuration."""
    return Call(
        kind=CallKind.PLAIN if plain else CallKind.COMPLETION,
        workspace=ws,
        site="s",
        class_name="fast",
        pool="pool",
        method="POST",
        path="/p",
        query=b"",
        headers=(),
        body=b"body",
        service="service" if plain else "",
        stream=stream and not plain,
        prompt_tokens=10,
        repeatable=repeatable,
        continuable=stream and not plain,
        key=key,
    )


@define
class Caller:
    """A caller with its request and the responses that it received."""

    request_id: RequestId
    call: Call
    entry: NodeId
    head_count: int = 0
    chunks: list[bytes] = field(factory=list)
    final_responses: list[RespondEnd | RespondFailure] = field(factory=list)
    disconnected: bool = False

    def expected(self) -> bytes:
        """Return the complete response body of this request."""
        if self.call.kind is CallKind.PLAIN:
            return f"{self.call.workspace}:{self.call.key.lower() or self.request_id}".encode()
        return b"R" + b"".join(text.encode() for text in self.token_texts()) + b"F"

    def token_texts(self) -> list[str]:
        """Return the text of each token of the response."""
        return [f"{self.request_id}.{number} " for number in range(TOKENS)]


@define
class Run:
    """An attempt at its upstream; ``received`` is None until the upstream has acted on it."""

    start: StartAttempt
    caller: Caller
    entry: NodeId
    script: list[Any]
    received: bool | None = None
    active: bool = True  # The entry node has neither ended nor cancelled the attempt.
    sent: list[Any] = field(factory=list)

    def may_have_received(self) -> bool:
        """Return whether the upstream received, or may have received, a byte of the call."""
        return self.received is not False


@define
class FakeOwner:
    """Grant slots in arrival order; reclaim grants that three successive reports do not list."""

    node: NodeId
    epoch: int
    queue: dict[tuple[RequestId, int], SlotRequest] = field(factory=dict)
    granted: dict[tuple[RequestId, int], SlotGrant] = field(factory=dict)
    holder: dict[tuple[RequestId, int], NodeId] = field(factory=dict)
    missed_reports: dict[tuple[RequestId, int], int] = field(factory=dict)
    closed: set[tuple[RequestId, int]] = field(factory=set)
    grant_ids: itertools.count[int] = field(factory=itertools.count)

    def receive(self, message: Any) -> list[Send]:
        """Handle a message from an entry node."""
        match message:
            case SlotRequest():
                key = (message.request_id, message.attempt)
                if key in self.granted:
                    return [Send(message.entry, self.granted[key])]
                if key not in self.closed:
                    self.queue[key] = message
            case SlotCancel() | SlotRelease():
                key = (message.request_id, message.attempt)
                self.closed.add(key)
                self.queue.pop(key, None)
                grant = self.granted.get(key)
                if isinstance(message, SlotRelease) and grant:
                    grant = grant if grant.grant_id == message.grant_id else None
                if grant is not None:
                    del self.granted[key]
            case GrantReport():
                return [*self._handle_report(message), *self._grant_free_slots()]
        return self._grant_free_slots()

    def _handle_report(self, report: GrantReport) -> list[Send]:
        reported = {(item.request_id, item.attempt) for item in report.held}
        for key in [key for key in self.granted if self.holder[key] == report.entry]:
            self.missed_reports[key] = 0 if key in reported else self.missed_reports.get(key, 0) + 1
            if self.missed_reports[key] > 2:
                del self.granted[key]
        free = 6 - len(self.granted)
        return [Send(report.entry, ShardSummary(SHARD, self.node, self.epoch, free, ()))]

    def _grant_free_slots(self) -> list[Send]:
        sends = []
        used = [grant.upstream for grant in self.granted.values()]
        for key, request in list(self.queue.items()):
            free = [
                item.name
                for item in UPSTREAMS
                if item.name not in request.excluded and used.count(item.name) < item.slots
            ]
            if not free:
                continue
            del self.queue[key]
            used.append(free[0])
            grant = SlotGrant(*key, SHARD, self.epoch, next(self.grant_ids), free[0])
            self.granted[key], self.holder[key], self.missed_reports[key] = grant, request.entry, 0
            sends.append(Send(request.entry, grant))
        return sends

    def resend_grants(self) -> list[Send]:
        """Resend all grants, as an owner does with grants that no report has listed."""
        return [Send(self.holder[key], grant) for key, grant in self.granted.items()]

    def refuse_first(self) -> list[Send]:
        """Refuse the request at the head of the queue."""
        if not self.queue:
            return []
        key, request = next(iter(self.queue.items()))
        del self.queue[key]
        self.closed.add(key)
        refusal = SlotRefusal(*key, SHARD, self.epoch, Reason.OVERLOADED, 1500.0)
        return [Send(request.entry, refusal)]


@define
class FakeClaimStore:
    """Claims with the results that the replicated store would return."""

    claims: dict[tuple[str, str, str], tuple[str, str, ClaimResult]] = field(factory=dict)

    def apply(self, command: Any) -> ClaimResult:
        """Apply a command and return its result."""
        name = (command.workspace, command.service, command.key)
        claim = self.claims.get(name)
        if isinstance(command, FinishClaim):
            if claim is None or claim[0] != command.claimant:
                return ClaimResult(ClaimState.CONFLICT)
            if claim[2].state is not ClaimState.GRANTED:
                return claim[2]
            if command.outcome is Outcome.NOT_RUN:
                del self.claims[name]
                return ClaimResult(ClaimState.GRANTED)
            done = command.outcome is Outcome.COMPLETED
            state = ClaimState.RECORDED if done else ClaimState.UNKNOWN
            result = ClaimResult(state, command.status, command.headers, command.body)
            self.claims[name] = (claim[0], claim[1], result)
            return result
        assert isinstance(command, BeginClaim)
        if claim is None:
            granted = ClaimResult(ClaimState.GRANTED)
            self.claims[name] = (command.claimant, command.body_digest, granted)
            return granted
        if claim[1] != command.body_digest:
            return ClaimResult(ClaimState.CONFLICT)
        held = claim[2].state is ClaimState.GRANTED and claim[0] != command.claimant
        return ClaimResult(ClaimState.IN_PROGRESS) if held else claim[2]


@define
class Fleet:
    """Entry nodes and fakes on one virtual clock, with a network that the test controls."""

    now_ms: float = 0.0
    entries: dict[NodeId, Requests] = field(factory=dict)
    owner: FakeOwner | None = None
    former_owners: list[FakeOwner] = field(factory=list)
    epoch: int = 0
    network: list[tuple[NodeId, NodeId, Any]] = field(factory=list)
    callers: dict[RequestId, Caller] = field(factory=dict)
    runs: list[Run] = field(factory=list)
    proposals: list[tuple[NodeId, SubmitProposal]] = field(factory=list)
    delayed_commands: list[Any] = field(factory=list)
    store: FakeClaimStore = field(factory=FakeClaimStore)
    ended_drains: list[RequestsCut] = field(factory=list)
    completed: int = 0
    retries: int = 0
    restarts: int = 0

    def start_entries(self, names: tuple[str, ...] = ("e0", "e1", "e2")) -> None:
        """Start the entry nodes and the first shard owner."""
        for number, name in enumerate(names):
            rng = random.Random(number)
            self.entries[NodeId(name)] = Requests(NodeId(name), CONFIG, rng, lambda: len(names))
        self.replace_owner()

    # Actions of the test.

    def event(self, entry: NodeId, event: Any) -> list[Any]:
        """Pass one event to an entry node and apply and check the effects."""
        effects = self.entries[entry].handle(event, self.now_ms)
        for effect in effects:
            self._handle_effect(entry, effect)
        self._check_no_work_after_end(entry)
        return effects

    def request(self, entry: NodeId, call: Call, wall_ms: float = WALL_MS) -> Caller:
        """Send a request from a new caller."""
        request_id = RequestId(f"r{len(self.callers)}")
        caller = Caller(request_id, call, entry)
        self.callers[request_id] = caller
        self.event(entry, CallerRequest(request_id, call, wall_ms))
        return caller

    def disconnect(self, caller: Caller) -> None:
        """Close the connection of a caller; its running attempt must be cancelled at once."""
        if caller.disconnected or caller.final_responses:
            return
        caller.disconnected = True
        self.event(caller.entry, CallerGone(caller.request_id))

    def advance(self, delta_ms: float) -> None:
        """Advance the time and deliver all ticks that fall due."""
        until = self.now_ms + delta_ms
        while True:
            due = [
                (deadline, name)
                for name, role in self.entries.items()
                if (deadline := role.next_deadline_ms()) is not None and deadline <= until
            ]
            if not due:
                break
            deadline, name = min(due)
            self.now_ms = max(self.now_ms, deadline)
            self.event(name, Tick())
        self.now_ms = until

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver the message at an index; with ``keep`` a duplicate stays in the network."""
        sender, to, message = self.network[index % len(self.network)]
        if not keep:
            del self.network[index % len(self.network)]
        if to in self.entries:
            self.event(to, Receive(sender, message))
            return
        owner = next((item for item in self._all_owners() if item.node == to), None)
        if owner is None or sender not in self.entries:
            return  # Messages of a crashed entry node are ignored.
        if owner is not self.owner and self.owner is not None:
            answer = NotOwner(SHARD, self.owner.node, self.owner.epoch)
            if isinstance(message, SlotRequest):
                self.network.append((to, sender, answer))
            return
        self._send_all(owner.node, owner.receive(message))

    def refuse_first_request(self) -> None:
        """Let the current owner refuse the request at the head of its queue."""
        if self.owner is not None:
            self._send_all(self.owner.node, self.owner.refuse_first())

    def replace_owner(self, *, announce: bool = True) -> None:
        """Start an owner with a higher epoch, and announce it to the entry nodes on request."""
        if self.owner is not None:
            self.former_owners.append(self.owner)
        self.epoch += 1
        self.owner = FakeOwner(NodeId(f"o{self.epoch}"), self.epoch)
        for entry in self.entries if announce else ():
            self.event(entry, OwnerChanged(SHARD, self.owner.node, self.epoch))

    def grant_by_former_owner(self) -> None:
        """Let the last former owner grant slots after the end of its lease."""
        for owner in self.former_owners[-1:]:
            self._send_all(owner.node, owner._grant_free_slots())

    def crash(self, entry: NodeId) -> None:
        """Restart an entry node without its state; the connections of its callers break."""
        self.restarts += 1
        name = NodeId(f"{entry.split('+')[0]}+{self.restarts}")
        del self.entries[entry]
        for caller in self.callers.values():
            caller.disconnected = caller.disconnected or (
                caller.entry == entry and not caller.final_responses
            )
        for run in self.runs:
            run.active = run.active and run.entry != entry
        self.proposals = [item for item in self.proposals if item[0] != entry]
        for owner in self._all_owners():
            lost = [key for key, holder in owner.holder.items() if holder == entry]
            for key in lost:
                owner.granted.pop(key, None)
            owner.queue = {key: r for key, r in owner.queue.items() if r.entry != entry}
            owner.closed.update(lost)
        self.entries[name] = Requests(name, CONFIG, random.Random(self.restarts), lambda: 3)
        if self.owner is not None:
            self.event(name, OwnerChanged(SHARD, self.owner.node, self.epoch))

    def drain(self, entry: NodeId) -> None:
        """Start the drain of an entry node, which must not end any request in flight."""
        response_count = sum(len(caller.final_responses) for caller in self.callers.values())
        self.event(entry, StartDrain())
        assert response_count == sum(
            len(caller.final_responses) for caller in self.callers.values()
        )

    def end_drain(self, entry: NodeId) -> None:
        """End the drain of an entry node; it must list exactly the open requests as cut."""
        open_ids = {
            caller.request_id
            for caller in self.callers.values()
            if caller.entry == entry and not caller.final_responses and not caller.disconnected
        }
        self.event(entry, CutRequests())
        assert set(self.ended_drains[-1].cut) == open_ids

    def step(self, run: Run, action: str) -> None:
        """Perform an action of the upstream: the next scripted event, or a fault."""
        ids = (run.start.request_id, run.start.attempt)
        if not run.active:
            # Send stale events of an attempt that ended or was cancelled.
            stale_events = [AttemptChunk(*ids, b"late", "late", 1), AttemptEnd(*ids)]
            for event in [*stale_events, AttemptFailed(*ids, sent=False, reason="late")]:
                if run.entry in self.entries:
                    self.event(run.entry, event)
            return
        untouched = run.received is None
        if action in ("connect", "leaving") and untouched:
            run.received = run.active = False
            leaving = action == "leaving"
            self.event(run.entry, AttemptFailed(*ids, leaving, action, leaving))
            return
        run.received = True
        if action == "headless" and not run.sent:
            run.active = False
            self.event(run.entry, AttemptEnd(*ids))
            return
        if action == "leaving":
            run.active = False
            self.event(run.entry, AttemptFailed(*ids, sent=True, reason=action, leaving=True))
            return
        if action != "next":
            run.active = False
            self.event(run.entry, AttemptFailed(*ids, sent=True, reason=action))
            return
        event = run.script.pop(0)
        run.active = bool(run.script)
        run.sent.append(event)
        self.event(run.entry, event)

    def resolve_proposal(self, index: int, result_kind: str) -> None:
        """Resolve a proposal: done, reply lost, committed later, or not sent."""
        entry, proposal = self.proposals.pop(index % len(self.proposals))
        done = ProposalDone(proposal.proposal_id, None, sent=result_kind != "unsent")
        if result_kind in ("done", "reply_lost"):
            result = self.store.apply(proposal.command)
            done = ProposalDone(proposal.proposal_id, result) if result_kind == "done" else done
        if result_kind == "late":
            self.delayed_commands.append(proposal.command)
        if entry in self.entries:
            self.event(entry, done)

    def run_to_completion(self) -> None:
        """Run without further faults until all requests, attempts and grants have ended."""
        if self.owner is None:
            self.replace_owner()
        for _ in range(300):
            for _ in range(min(len(self.network), 2_000)):
                self.deliver(0)
            while self.proposals:
                self.resolve_proposal(0, "done")
            for run in [run for run in self.runs if run.active]:
                while run.active:
                    self.step(run, "next")
            if not self._incomplete():
                return
            if self.owner is not None:
                self._send_all(self.owner.node, self.owner.resend_grants())
            self.advance(250.0)

    # Handling of effects and invariants.

    def _all_owners(self) -> list[FakeOwner]:
        return [*self.former_owners, *([self.owner] if self.owner is not None else [])]

    def _send_all(self, sender: NodeId, sends: list[Send]) -> None:
        self.network += [(sender, send.to, send.message) for send in sends]

    def _handle_effect(self, entry: NodeId, effect: Any) -> None:
        match effect:
            case Send():
                self.network.append((entry, effect.to, effect.message))
            case SubmitProposal():
                self.proposals.append((entry, effect))
            case StartAttempt():
                self._start_attempt(entry, effect)
            case CancelAttempt():
                for run in self.runs:
                    if (run.start.request_id, run.start.attempt) == (
                        effect.request_id,
                        effect.attempt,
                    ):
                        run.active = False
            case RespondHead() | RespondChunk() | RespondEnd() | RespondFailure():
                self._handle_response(effect)
            case RequestsCut():
                self.ended_drains.append(effect)

    def _start_attempt(self, entry: NodeId, start: StartAttempt) -> None:
        caller = self.callers[start.request_id]
        token_texts = caller.token_texts()
        assert not caller.final_responses
        assert not caller.disconnected
        assert start.delivered_text == "".join(token_texts[: start.delivered_tokens])
        earlier = [run for run in self.runs if run.caller is caller]
        assert not any(run.active for run in earlier)
        if any(run.may_have_received() for run in earlier):
            assert caller.call.repeatable
            self.retries += 1
            assert self.retries <= RETRY_SHARE * self.completed
        ids = (start.request_id, start.attempt)
        head = AttemptHead(*ids, 200, ())
        if start.call.kind is CallKind.PLAIN:
            script = [head, AttemptChunk(*ids, caller.expected()), AttemptEnd(*ids)]
        else:
            texts = token_texts[start.delivered_tokens :]
            chunks = [AttemptChunk(*ids, text.encode(), text, 1) for text in texts]
            opening, closing = AttemptChunk(*ids, b"R", opening=True), AttemptChunk(*ids, b"F")
            script = [head, opening, *chunks, closing, AttemptEnd(*ids)]
        self.runs.append(Run(start, caller, entry, script))
        self._check_at_most_once(caller)

    def _check_at_most_once(self, caller: Caller) -> None:
        if caller.call.repeatable:
            return
        name = (caller.call.workspace, caller.call.key or caller.request_id)
        same_claim = [
            run
            for run in self.runs
            if not run.caller.call.repeatable
            and (run.start.call.workspace, run.start.call.key or run.start.request_id) == name
        ]
        assert sum(run.may_have_received() for run in same_claim) <= 1

    def _handle_response(self, effect: Any) -> None:
        caller = self.callers[effect.request_id]
        assert not caller.disconnected
        assert not caller.final_responses
        match effect:
            case RespondHead():
                caller.head_count += 1
                assert caller.head_count == 1
            case RespondChunk():
                assert caller.head_count == 1
                caller.chunks.append(effect.data)
                assert caller.expected().startswith(b"".join(caller.chunks))
            case RespondEnd():
                caller.final_responses.append(effect)
                self.completed += 1
                assert b"".join(caller.chunks) == caller.expected()
            case RespondFailure():
                caller.final_responses.append(effect)
                self._check_failure(caller, effect)

    def _check_failure(self, caller: Caller, failure: RespondFailure) -> None:
        received = [run for run in self.runs if run.caller is caller and run.may_have_received()]
        if failure.outcome is Outcome.NOT_RUN:
            assert not received
        if failure.outcome is Outcome.FAILED:
            assert received
            assert caller.call.repeatable
        assert failure.outcome is not Outcome.COMPLETED

    def _check_no_work_after_end(self, entry: NodeId) -> None:
        for run in self.runs:
            if run.active and run.entry == entry:
                assert not run.caller.disconnected, (
                    "attempt of a disconnected caller was not cancelled"
                )
                assert not run.caller.final_responses, "attempt is active after the final response"

    def _incomplete(self) -> list[str]:
        """Return the open requests, running attempts, busy entry nodes and held grants."""
        assert self.owner is not None
        open_ids = [
            caller.request_id
            for caller in self.callers.values()
            if not caller.final_responses and not caller.disconnected
        ]
        active = [str(run.start) for run in self.runs if run.active]
        busy = [str(name) for name, role in self.entries.items() if role.in_flight()]
        granted = [str(grant) for grant in self.owner.granted.values()]
        return [*open_ids, *active, *busy, *granted]

    def check_complete(self) -> None:
        """Check that every request has one outcome and that all slots are released."""
        incomplete = self._incomplete()
        assert incomplete == [], incomplete
        assert all(len(caller.final_responses) <= 1 for caller in self.callers.values())
