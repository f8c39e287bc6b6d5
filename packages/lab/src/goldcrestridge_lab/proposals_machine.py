"""Hypothesis state machine of the proposals role, with replicas reduced to one dictionary."""

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
    """Each proposal is answered once, with the first result of its command or with none."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        """Start with a leader that all replicas know."""
        self.rng = Random(seed)
        self.network = SimulatedNetwork(self.rng)
        self.proposals = Proposals(REPLICAS, Random(seed))
        self.now_ms = 0.0
        self.leader: NodeId | None = REPLICAS[0]
        self.hints: dict[NodeId, NodeId | None] = dict.fromkeys(REPLICAS, self.leader)
        self.results: dict[str, LeaseResult] = {}
        self.submitted_ms: dict[str, float] = {}
        self.sent_ids: set[str] = set()
        self.completed_ids: set[str] = set()

    @rule(count=st.integers(1, 5), wait_ms=st.sampled_from([0.0, 10.0, 400.0, 2500.0]))
    def submit(self, count: int, wait_ms: float) -> None:
        """Submit proposals and let time pass."""
        for _ in range(count):
            name = f"p{len(self.submitted_ms)}"
            self.submitted_ms[name] = self.now_ms
            command = ReleaseLease(name, CLIENT, 1)
            self.handle(SubmitProposal(name, command, TIMEOUT_MS))
        self.run(wait_ms)

    @rule(leader=st.sampled_from([*REPLICAS, None]), hint=st.sampled_from([*REPLICAS, None]))
    def change_leader(self, leader: NodeId | None, hint: NodeId | None) -> None:
        """Change the leader, or remove it; each replica names the new leader or ``hint``."""
        self.leader = leader
        self.hints = {node: self.rng.choice([hint, leader]) for node in REPLICAS}
        self.run(100.0)

    @rule(loss=st.sampled_from([0.0, 0.3, 1.0]), jitter_ms=st.sampled_from([0.0, 500.0]))
    def set_message_faults(self, loss: float, jitter_ms: float) -> None:
        """Lose, duplicate and reorder messages from now on."""
        self.network.loss = loss
        self.network.duplication = loss
        self.network.jitter_ms = jitter_ms
        self.run(100.0)

    def handle(self, event: Any) -> None:
        """Pass an event to the role, send its messages and check its results."""
        for effect in self.proposals.handle(event, self.now_ms):
            if isinstance(effect, Send):
                self.sent_ids.add(effect.message.proposal_id)
                self.network.send(CLIENT, effect.to, effect.message, self.now_ms)
            elif isinstance(effect, ProposalDone):
                self.check_result(effect)

    def check_result(self, done: ProposalDone) -> None:
        """Check the result of one proposal."""
        name = done.proposal_id
        require(name not in self.completed_ids, f"{name} was answered twice.")
        self.completed_ids.add(name)
        require(
            done.sent == (name in self.sent_ids),
            f"{name} reports sent={done.sent}, which is wrong.",
        )
        if done.result is None:
            timed_out = self.now_ms >= self.submitted_ms[name] + TIMEOUT_MS
            require(timed_out, f"{name} timed out before {TIMEOUT_MS} ms.")
        else:
            require(
                done.result == self.results.get(name),
                f"{name} got {done.result}, not its first result.",
            )

    def replica_reply(self, node: NodeId, message: Propose) -> ProposeReply:
        """Return the reply of a replica; the id in the command makes it idempotent."""
        if node != self.leader:
            return ProposeReply(message.proposal_id, False, b"", self.hints[node])
        name = codec.decode(message.command).unwrap().resource
        result = self.results.setdefault(name, LeaseResult(False, node, len(self.results)))
        return ProposeReply(message.proposal_id, True, codec.encode(result), node)

    def run(self, duration_ms: float) -> None:
        """Advance virtual time, handling messages and deadlines in order."""
        end_ms = self.now_ms + duration_ms
        while True:
            times = (self.network.next_arrival_ms(), self.proposals.next_deadline_ms())
            at_ms = min((time for time in times if time is not None), default=end_ms + 1.0)
            if at_ms > end_ms:
                break
            self.now_ms = max(self.now_ms, at_ms)
            arrival = self.network.receive(self.now_ms)
            if arrival is None:
                self.handle(Tick())
                continue
            source, target, message = arrival
            if target == CLIENT:
                self.handle(Receive(NodeId(source), message))
            else:
                reply = self.replica_reply(NodeId(target), message)
                self.network.send(target, source, reply, self.now_ms)
        self.now_ms = end_ms

    def teardown(self) -> None:
        """Lose one proposal, then heal all links but one; the proposal must be committed."""
        if not hasattr(self, "network"):
            return
        self.network.loss = 1.0
        self.submit(1, 10.0)
        self.network.heal()
        self.network.block(CLIENT, REPLICAS[0], both=True)
        self.leader = REPLICAS[1]
        self.hints = dict.fromkeys(REPLICAS, self.leader)
        self.run(TIMEOUT_MS)
        require(self.completed_ids == set(self.submitted_ms), "A proposal was never answered.")
        require(f"p{len(self.submitted_ms) - 1}" in self.results, "A proposal was not committed.")
