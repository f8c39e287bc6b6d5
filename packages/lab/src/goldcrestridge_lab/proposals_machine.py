"""Hypothesis state machine for proposals, against replicas reduced to a leader and a dictionary."""

from __future__ import annotations

from random import Random
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from goldcrestridge_core import codec
from goldcrestridge_core.log_types import Propose, ProposeReply
from goldcrestridge_core.proposals import Proposals
from goldcrestridge_core.store_types import LeaseResult, ReleaseLease
from goldcrestridge_core.types import NodeId, ProposalDone, Receive, Send, SubmitProposal, Tick
from goldcrestridge_lab.carrier import SimulatedNetwork
from goldcrestridge_lab.store_machine import require

CLIENT = NodeId("client")
REPLICAS = (NodeId("n0"), NodeId("n1"), NodeId("n2"))
TIMEOUT_MS = 2000.0


class ProposalsMachine(RuleBasedStateMachine):
    """Each proposal is answered once, with the result that its command got first."""

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        """Start with a leader that everybody knows."""
        self.rng = Random(seed)
        self.network = SimulatedNetwork(self.rng)
        self.proposals = Proposals(REPLICAS, Random(seed))
        self.now_ms = 0.0
        self.leader: NodeId | None = REPLICAS[0]
        self.hints: dict[NodeId, NodeId | None] = dict.fromkeys(REPLICAS, self.leader)
        self.results: dict[str, LeaseResult] = {}
        self.submitted: dict[str, float] = {}
        self.seen: set[str] = set()
        self.done: set[str] = set()

    @rule(count=st.integers(1, 5), after=st.sampled_from([0.0, 10.0, 400.0, 2500.0]))
    def submit(self, count: int, after: float) -> None:
        """Submit proposals and let time pass."""
        for _ in range(count):
            name = f"p{len(self.submitted)}"
            self.submitted[name] = self.now_ms
            command = ReleaseLease(name, CLIENT, 1)
            self.handle(SubmitProposal(name, command, TIMEOUT_MS))
        self.run(after)

    @rule(leader=st.sampled_from([*REPLICAS, None]), hint=st.sampled_from([*REPLICAS, None]))
    def change_leader(self, leader: NodeId | None, hint: NodeId | None) -> None:
        """Change the leader; the replicas give any hint until it is elected again."""
        self.leader = leader
        self.hints = {node: self.rng.choice([hint, leader]) for node in REPLICAS}
        self.run(100.0)

    @rule(loss=st.sampled_from([0.0, 0.3, 1.0]), jitter=st.sampled_from([0.0, 500.0]))
    def set_message_faults(self, loss: float, jitter: float) -> None:
        """Lose, duplicate and reorder messages."""
        self.network.loss = loss
        self.network.duplication = loss
        self.network.jitter_ms = jitter
        self.run(100.0)

    def handle(self, event: Any) -> None:
        """Pass an event to the role and check what it reports."""
        for effect in self.proposals.handle(event, self.now_ms):
            if isinstance(effect, Send):
                self.seen.add(effect.message.proposal_id)
                self.network.send(CLIENT, effect.to, effect.message, self.now_ms)
            elif isinstance(effect, ProposalDone):
                self.check(effect)

    def check(self, done: ProposalDone) -> None:
        """Check one answer."""
        name = done.proposal_id
        require(name not in self.done, f"{name} was answered twice.")
        self.done.add(name)
        require(
            done.sent == (name in self.seen), f"{name} was sent or not, contrary to the report."
        )
        if done.result is None:
            late = self.now_ms >= self.submitted[name] + TIMEOUT_MS
            require(late, f"{name} was given up before its time.")
        else:
            require(done.result == self.results.get(name), f"{name} got another result.")

    def replica(self, node: NodeId, message: Propose) -> ProposeReply:
        """Answer as a replica; the command's own id makes it idempotent."""
        if node != self.leader:
            return ProposeReply(message.proposal_id, False, b"", self.hints[node])
        name = codec.decode(message.command).unwrap().resource
        result = self.results.setdefault(name, LeaseResult(False, node, len(self.results)))
        return ProposeReply(message.proposal_id, True, codec.encode(result), node)

    def run(self, duration_ms: float) -> None:
        """Deliver messages and deadlines until the time is over."""
        end_ms = self.now_ms + duration_ms
        while True:
            times = (self.network.next_arrival_ms(), self.proposals.next_deadline_ms())
            at_ms = min((time for time in times if time is not None), default=end_ms + 1.0)
            if at_ms > end_ms:
                break
            self.now_ms = max(self.now_ms, at_ms)
            arrived = self.network.receive(self.now_ms)
            if arrived is None:
                self.handle(Tick())
                continue
            source, target, message = arrived
            if target == CLIENT:
                self.handle(Receive(NodeId(source), message))
            else:
                reply = self.replica(NodeId(target), message)
                self.network.send(target, source, reply, self.now_ms)
        self.now_ms = end_ms

    def teardown(self) -> None:
        """Lose one proposal, then heal all but one follower; the proposal must be committed."""
        if not hasattr(self, "network"):
            return
        self.network.loss = 1.0
        self.submit(1, 10.0)
        self.network.heal()
        self.network.block(CLIENT, REPLICAS[0], both=True)
        self.leader = REPLICAS[1]
        self.hints = dict.fromkeys(REPLICAS, self.leader)
        self.run(TIMEOUT_MS)
        require(self.done == set(self.submitted), "A proposal was never answered.")
        require(f"p{len(self.submitted) - 1}" in self.results, "A proposal was not committed.")
