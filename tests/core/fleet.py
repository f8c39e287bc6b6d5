"""Several entries with stand-ins for owners, upstreams, the claim store and the carrier."""

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
    DrainEnded,
    EndDrain,
    OwnerChanged,
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
    """Return a key issued at the fleet's wall time, unless another time is given."""
    return keys.uuid7(number, issued_ms)


def make_call(
    *,
    stream: bool = True,
    plain: bool = False,
    repeatable: bool = True,
    key: str = "",
    ws: str = "a",
) -> Call:
    """Return a call of the one class and pool."""
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
    """What one caller sent and received."""

    request_id: RequestId
    call: Call
    entry: NodeId
    heads: int = 0
    data: list[bytes] = field(factory=list)
    finals: list[RespondEnd | RespondFailure] = field(factory=list)
    gone: bool = False

    def expected(self) -> bytes:
        """Return the complete answer of this request."""
        if self.call.kind is CallKind.PLAIN:
            return f"{self.call.workspace}:{self.call.key.lower() or self.request_id}".encode()
        return b"R" + b"".join(piece.encode() for piece in self.pieces()) + b"F"

    def pieces(self) -> list[str]:
        """Return the tokens of the answer."""
        return [f"{self.request_id}.{number} " for number in range(TOKENS)]


@define
class Run:
    """One attempt as its upstream sees it; ``saw`` is None while nothing is known."""

    start: StartAttempt
    caller: Caller
    entry: NodeId
    script: list[Any]
    saw: bool | None = None
    active: bool = True  # The entry counts on it.
    sent: list[Any] = field(factory=list)

    def reached(self) -> bool:
        """Return whether the upstream saw, or may have seen, a byte of the call."""
        return self.saw is not False


@define
class Owner:
    """Grant slots in arrival order; reclaim grants that two successive reports do not list."""

    node: NodeId
    epoch: int
    queue: dict[tuple[RequestId, int], SlotRequest] = field(factory=dict)
    granted: dict[tuple[RequestId, int], SlotGrant] = field(factory=dict)
    holder: dict[tuple[RequestId, int], NodeId] = field(factory=dict)
    missing: dict[tuple[RequestId, int], int] = field(factory=dict)
    done: set[tuple[RequestId, int]] = field(factory=set)
    ids: itertools.count[int] = field(factory=itertools.count)

    def receive(self, message: Any) -> list[Send]:
        """Apply a message of an entry."""
        match message:
            case SlotRequest():
                key = (message.request_id, message.attempt)
                if key in self.granted:
                    return [Send(message.entry, self.granted[key])]
                if key not in self.done:
                    self.queue[key] = message
            case SlotCancel() | SlotRelease():
                key = (message.request_id, message.attempt)
                self.done.add(key)
                self.queue.pop(key, None)
                grant = self.granted.get(key)
                if isinstance(message, SlotRelease) and grant:
                    grant = grant if grant.grant_id == message.grant_id else None
                if grant is not None:
                    del self.granted[key]
            case GrantReport():
                return [*self._report(message), *self._grants()]
        return self._grants()

    def _report(self, report: GrantReport) -> list[Send]:
        listed = {(item.request_id, item.attempt) for item in report.held}
        for key in [key for key in self.granted if self.holder[key] == report.entry]:
            self.missing[key] = 0 if key in listed else self.missing.get(key, 0) + 1
            if self.missing[key] > 2:
                del self.granted[key]
        free = 6 - len(self.granted)
        return [Send(report.entry, ShardSummary(SHARD, self.node, self.epoch, free, ()))]

    def _grants(self) -> list[Send]:
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
            grant = SlotGrant(*key, SHARD, self.epoch, next(self.ids), free[0])
            self.granted[key], self.holder[key], self.missing[key] = grant, request.entry, 0
            sends.append(Send(request.entry, grant))
        return sends

    def repeat_grants(self) -> list[Send]:
        """Send all grants again, as an owner does with those that no report has listed."""
        return [Send(self.holder[key], grant) for key, grant in self.granted.items()]

    def refuse_first(self) -> list[Send]:
        """Refuse the request at the head of the queue."""
        if not self.queue:
            return []
        key, request = next(iter(self.queue.items()))
        del self.queue[key]
        self.done.add(key)
        refusal = SlotRefusal(*key, SHARD, self.epoch, Reason.OVERLOADED, 1500.0)
        return [Send(request.entry, refusal)]


@define
class ClaimStore:
    """The claims as the replicated log would apply them."""

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
    """Entries and stand-ins on one virtual clock, with a carrier that the test controls."""

    now_ms: float = 0.0
    entries: dict[NodeId, Requests] = field(factory=dict)
    owner: Owner | None = None
    old_owners: list[Owner] = field(factory=list)
    epoch: int = 0
    carrier: list[tuple[NodeId, NodeId, Any]] = field(factory=list)
    callers: dict[RequestId, Caller] = field(factory=dict)
    runs: list[Run] = field(factory=list)
    proposals: list[tuple[NodeId, SubmitProposal]] = field(factory=list)
    late_commands: list[Any] = field(factory=list)
    store: ClaimStore = field(factory=ClaimStore)
    ended_drains: list[DrainEnded] = field(factory=list)
    completed: int = 0
    repeats: int = 0
    restarts: int = 0

    def boot(self, names: tuple[str, ...] = ("e0", "e1", "e2")) -> None:
        """Start the entries and the first owner."""
        for number, name in enumerate(names):
            rng = random.Random(number)
            self.entries[NodeId(name)] = Requests(NodeId(name), CONFIG, rng, lambda: len(names))
        self.change_owner()

    # Actions.

    def event(self, entry: NodeId, event: Any) -> list[Any]:
        """Give one event to an entry and apply and check its effects."""
        effects = self.entries[entry].handle(event, self.now_ms)
        for effect in effects:
            self._apply(entry, effect)
        self._check_no_orphans(entry)
        return effects

    def request(self, entry: NodeId, call: Call, wall_ms: float = WALL_MS) -> Caller:
        """Let a caller send a request."""
        request_id = RequestId(f"r{len(self.callers)}")
        caller = Caller(request_id, call, entry)
        self.callers[request_id] = caller
        self.event(entry, CallerRequest(request_id, call, wall_ms))
        return caller

    def caller_gone(self, caller: Caller) -> None:
        """Let a caller close its connection; its running work must be cancelled at once."""
        if caller.gone or caller.finals:
            return
        caller.gone = True
        self.event(caller.entry, CallerGone(caller.request_id))

    def advance(self, delta_ms: float) -> None:
        """Move the time on, with all ticks that are due."""
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
        """Deliver one message out of order, and keep a duplicate on request."""
        sender, to, message = self.carrier[index % len(self.carrier)]
        if not keep:
            del self.carrier[index % len(self.carrier)]
        if to in self.entries:
            self.event(to, Receive(sender, message))
            return
        owner = next((item for item in self._owners() if item.node == to), None)
        if owner is None or sender not in self.entries:
            return  # An owner ignores what a dead entry sent.
        if owner is not self.owner and self.owner is not None:
            answer = NotOwner(SHARD, self.owner.node, self.owner.epoch)
            if isinstance(message, SlotRequest):
                self.carrier.append((to, sender, answer))
            return
        self._post(owner.node, owner.receive(message))

    def refuse(self) -> None:
        """Let the owner refuse the request at the head of its queue."""
        if self.owner is not None:
            self._post(self.owner.node, self.owner.refuse_first())

    def change_owner(self, *, announce: bool = True) -> None:
        """Make a new owner with a higher epoch and tell the entries, or let them find out."""
        if self.owner is not None:
            self.old_owners.append(self.owner)
        self.epoch += 1
        self.owner = Owner(NodeId(f"o{self.epoch}"), self.epoch)
        for entry in self.entries if announce else ():
            self.event(entry, OwnerChanged(SHARD, self.owner.node, self.epoch))

    def grant_from_old_owner(self) -> None:
        """Let an owner whose lease has ended grant once more."""
        for owner in self.old_owners[-1:]:
            self._post(owner.node, owner._grants())

    def crash(self, entry: NodeId) -> None:
        """Restart an entry without its state; its callers' connections break."""
        self.restarts += 1
        name = NodeId(f"{entry.split('+')[0]}+{self.restarts}")
        del self.entries[entry]
        for caller in self.callers.values():
            caller.gone = caller.gone or (caller.entry == entry and not caller.finals)
        for run in self.runs:
            run.active = run.active and run.entry != entry
        self.proposals = [item for item in self.proposals if item[0] != entry]
        for owner in self._owners():
            lost = [key for key, holder in owner.holder.items() if holder == entry]
            for key in lost:
                owner.granted.pop(key, None)
            owner.queue = {key: r for key, r in owner.queue.items() if r.entry != entry}
            owner.done.update(lost)
        self.entries[name] = Requests(name, CONFIG, random.Random(self.restarts), lambda: 3)
        if self.owner is not None:
            self.event(name, OwnerChanged(SHARD, self.owner.node, self.epoch))

    def drain(self, entry: NodeId) -> None:
        """Start the drain of an entry: no request in flight may be cut by it."""
        finals = sum(len(caller.finals) for caller in self.callers.values())
        self.event(entry, StartDrain())
        assert finals == sum(len(caller.finals) for caller in self.callers.values())

    def end_drain(self, entry: NodeId) -> None:
        """End the drain of an entry: everything cut is named."""
        open_ids = {
            caller.request_id
            for caller in self.callers.values()
            if caller.entry == entry and not caller.finals and not caller.gone
        }
        self.event(entry, EndDrain())
        assert set(self.ended_drains[-1].cut) == open_ids

    def step(self, run: Run, action: str) -> None:
        """Let the upstream of a run do its next scripted thing, or fail."""
        ids = (run.start.request_id, run.start.attempt)
        if not run.active:
            # Late events of an attempt that ended or was cancelled.
            junk = [AttemptChunk(*ids, b"late", "late", 1), AttemptEnd(*ids)]
            for event in [*junk, AttemptFailed(*ids, sent=False, reason="late")]:
                if run.entry in self.entries:
                    self.event(run.entry, event)
            return
        fresh = run.saw is None
        if action in ("connect", "leaving") and fresh:
            run.saw = run.active = False
            leaving = action == "leaving"
            self.event(run.entry, AttemptFailed(*ids, leaving, action, leaving))
            return
        run.saw = True
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

    def propose(self, index: int, how: str) -> None:
        """Decide the fate of a proposal: done, reply lost, committed later, or not sent."""
        entry, proposal = self.proposals.pop(index % len(self.proposals))
        done = ProposalDone(proposal.proposal_id, None, sent=how != "unsent")
        if how in ("done", "reply_lost"):
            result = self.store.apply(proposal.command)
            done = ProposalDone(proposal.proposal_id, result) if how == "done" else done
        if how == "late":
            self.late_commands.append(proposal.command)
        if entry in self.entries:
            self.event(entry, done)

    def settle(self) -> None:
        """Run without further faults until everything has ended."""
        if self.owner is None:
            self.change_owner()
        for _ in range(300):
            for _ in range(min(len(self.carrier), 2_000)):
                self.deliver(0)
            while self.proposals:
                self.propose(0, "done")
            for run in [run for run in self.runs if run.active]:
                while run.active:
                    self.step(run, "next")
            if not self._unsettled():
                return
            if self.owner is not None:
                self._post(self.owner.node, self.owner.repeat_grants())
            self.advance(250.0)

    # Effects and checks.

    def _owners(self) -> list[Owner]:
        return [*self.old_owners, *([self.owner] if self.owner is not None else [])]

    def _post(self, sender: NodeId, sends: list[Send]) -> None:
        self.carrier += [(sender, send.to, send.message) for send in sends]

    def _apply(self, entry: NodeId, effect: Any) -> None:
        match effect:
            case Send():
                self.carrier.append((entry, effect.to, effect.message))
            case SubmitProposal():
                self.proposals.append((entry, effect))
            case StartAttempt():
                self._start(entry, effect)
            case CancelAttempt():
                for run in self.runs:
                    if (run.start.request_id, run.start.attempt) == (
                        effect.request_id,
                        effect.attempt,
                    ):
                        run.active = False
            case RespondHead() | RespondChunk() | RespondEnd() | RespondFailure():
                self._respond(effect)
            case DrainEnded():
                self.ended_drains.append(effect)

    def _start(self, entry: NodeId, start: StartAttempt) -> None:
        caller = self.callers[start.request_id]
        pieces = caller.pieces()
        assert not caller.finals
        assert not caller.gone
        assert start.delivered_text == "".join(pieces[: start.delivered_tokens])
        earlier = [run for run in self.runs if run.caller is caller]
        assert not any(run.active for run in earlier)
        if any(run.reached() for run in earlier):
            assert caller.call.repeatable
            self.repeats += 1
            assert self.repeats <= RETRY_SHARE * self.completed
        ids = (start.request_id, start.attempt)
        head = AttemptHead(*ids, 200, ())
        if start.call.kind is CallKind.PLAIN:
            script = [head, AttemptChunk(*ids, caller.expected()), AttemptEnd(*ids)]
        else:
            texts = pieces[start.delivered_tokens :]
            chunks = [AttemptChunk(*ids, text.encode(), text, 1) for text in texts]
            opening, closing = AttemptChunk(*ids, b"R", opening=True), AttemptChunk(*ids, b"F")
            script = [head, opening, *chunks, closing, AttemptEnd(*ids)]
        self.runs.append(Run(start, caller, entry, script))
        self._check_at_most_once(caller)

    def _check_at_most_once(self, caller: Caller) -> None:
        if caller.call.repeatable:
            return
        name = (caller.call.workspace, caller.call.key or caller.request_id)
        same = [
            run
            for run in self.runs
            if not run.caller.call.repeatable
            and (run.start.call.workspace, run.start.call.key or run.start.request_id) == name
        ]
        assert sum(run.reached() for run in same) <= 1

    def _respond(self, effect: Any) -> None:
        caller = self.callers[effect.request_id]
        assert not caller.gone
        assert not caller.finals
        match effect:
            case RespondHead():
                caller.heads += 1
                assert caller.heads == 1
            case RespondChunk():
                assert caller.heads == 1
                caller.data.append(effect.data)
                assert caller.expected().startswith(b"".join(caller.data))
            case RespondEnd():
                caller.finals.append(effect)
                self.completed += 1
                assert b"".join(caller.data) == caller.expected()
            case RespondFailure():
                caller.finals.append(effect)
                self._check_failure(caller, effect)

    def _check_failure(self, caller: Caller, failure: RespondFailure) -> None:
        reached = [run for run in self.runs if run.caller is caller and run.reached()]
        if failure.outcome is Outcome.NOT_RUN:
            assert not reached
        if failure.outcome is Outcome.FAILED:
            assert reached
            assert caller.call.repeatable
        assert failure.outcome is not Outcome.COMPLETED

    def _check_no_orphans(self, entry: NodeId) -> None:
        for run in self.runs:
            if run.active and run.entry == entry:
                assert not run.caller.gone, "work of a caller that is gone was not cancelled"
                assert not run.caller.finals, "work goes on after the final answer"

    def _unsettled(self) -> list[str]:
        """Name what has not come to its end."""
        assert self.owner is not None
        open_ids = [
            caller.request_id
            for caller in self.callers.values()
            if not caller.finals and not caller.gone
        ]
        active = [str(run.start) for run in self.runs if run.active]
        busy = [str(name) for name, role in self.entries.items() if role.in_flight()]
        granted = [str(grant) for grant in self.owner.granted.values()]
        return [*open_ids, *active, *busy, *granted]

    def check_settled(self) -> None:
        """Check that every request has its outcome and everything is given back."""
        unsettled = self._unsettled()
        assert unsettled == [], unsettled
        assert all(len(caller.finals) <= 1 for caller in self.callers.values())
