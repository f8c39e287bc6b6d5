"""Hypothesis state machine of complete nodes under faults, checked by ``node_oracle``.

A derandomized run derives its examples from the source of the class, so that any edit of
``NodeMachine`` changes the examples that its test draws.
"""

from __future__ import annotations

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.types import NodeId, UpstreamId
from goldcrestridge_lab.keys import uuid7
from goldcrestridge_lab.node_config import (
    ENGINES,
    LOWEST_CLASS,
    SERVICES,
    WALL_START_MS,
    WORKSPACES,
    completion_call,
    service_call,
)
from goldcrestridge_lab.node_fleet import Fleet, new_fleet

SETTLE_MS = 120_000.0  # Longer than the time after which a silent upstream counts as lost.
SETTLE_STEP_MS = 500.0
PROPAGATION_CHECK_MS = 4_500.0  # The bound of P8 plus one interval of its check.
# A waiting request with this much queue time left must complete once load stops.
MIN_REMAINING_MS = 30_000.0
KEY_COUNT = 20
LOAD_INTERVAL_MS = 150.0
COMPLETION_SHARE = 0.6
LAST_BURST_REQUESTS = 60  # Many times the slots, so that the lowest class queues.
# The owner sheds requests of a burst on arrival and at its next sweeps; after that, load counts as
# stopped.
SHED_MS = 1_000.0
RECOVERY_MS = 6_000.0  # Longer than a drain, and than a lease plus the rebuild of an owner.

NUMBER = st.integers(0, 4)
TIER = st.integers(0, 2)
# Virtual time after each step; without it hypothesis rarely lets a fault take effect.
WAIT_MS = st.sampled_from([1.0, 20.0, 150.0, 700.0, 2_500.0, 6_000.0])
UPSTREAM = st.sampled_from([*ENGINES, *SERVICES])


class NodeMachine(RuleBasedStateMachine):
    """Three replicas and one or two diskless nodes under load, with any faults combined."""

    fleet: Fleet

    @initialize(seed=st.integers(0, 2**32), diskless=st.integers(1, 2))
    def start_fleet(self, seed: int, diskless: int) -> None:
        """Start the nodes, with a first configuration in force."""
        self.fleet = new_fleet(Random(seed), diskless)
        self.set_upstream_behaviour(50.0, 0.1, 0.5)

    def node(self, number: int) -> NodeId:
        """Return a node by number, modulo the number of nodes."""
        nodes = list(self.fleet.hosts)
        return nodes[number % len(nodes)]

    def choose_node(self, number: int, owner: bool) -> NodeId:
        """Return a node that owns a shard if ``owner`` and there is one, else one by number."""
        hosts = self.fleet.hosts.values()
        owners = [host.name for host in hosts if host.core is not None and host.core.owners]
        return owners[number % len(owners)] if owner and owners else self.node(number)

    def advance(self, duration_ms: float) -> None:
        """Advance virtual time under random load."""
        end_ms = self.fleet.now_ms + duration_ms
        while self.fleet.now_ms < end_ms:
            self.fleet.run(min(LOAD_INTERVAL_MS, end_ms - self.fleet.now_ms))
            self.send_random_request()
        self.fleet.upstreams.rests.check(self.fleet.now_ms)

    def send_random_request(self) -> None:
        """Send a random request."""
        rng = self.fleet.rng
        workspace, tier = rng.choice(WORKSPACES), rng.randrange(3)
        if rng.random() < COMPLETION_SHARE:
            call = completion_call(tier, workspace)
        else:
            number = rng.randint(0, KEY_COUNT)
            key_text = uuid7(number, WALL_START_MS) if number else ""
            call = service_call(
                tier, workspace, key_text, repeatable=not number and rng.random() < 0.5
            )
        self.fleet.request(rng.choice(list(self.fleet.hosts)), call)

    @rule(wait_ms=WAIT_MS)
    def run(self, wait_ms: float) -> None:
        """Let time pass without a fault."""
        self.advance(wait_ms)

    @rule(
        number=NUMBER,
        tier=TIER,
        workspace=st.sampled_from(WORKSPACES),
        count=st.sampled_from([1, 6, 30]),
        wait_ms=WAIT_MS,
    )
    def complete(self, number: int, tier: int, workspace: str, count: int, wait_ms: float) -> None:
        """Send completions of all classes, starting with the given one."""
        for index in range(count):
            call = completion_call((tier + index) % 3, workspace)
            self.fleet.request(self.node(number + index // 4), call)
        self.advance(wait_ms)

    @rule(
        number=NUMBER,
        tier=TIER,
        workspace=st.sampled_from(WORKSPACES),
        key=st.integers(0, 3),
        repeatable=st.booleans(),
        twice=st.booleans(),
        wait_ms=WAIT_MS,
    )
    def order(
        self,
        number: int,
        tier: int,
        workspace: str,
        key: int,
        repeatable: bool,
        twice: bool,
        wait_ms: float,
    ) -> None:
        """Call the plain service, perhaps with an idempotency key shared with other calls."""
        key_text = uuid7(key, WALL_START_MS) if key and not repeatable else ""
        call = service_call(tier, workspace, key_text, repeatable=repeatable)
        self.fleet.request(self.node(number), call)
        if twice:
            self.fleet.request(self.node(number + 1), call)
        self.advance(wait_ms)

    @rule(number=NUMBER)
    def leave_caller(self, number: int) -> None:
        """Close the connection of a waiting caller."""
        waiting = [caller for caller in self.fleet.oracle.callers.values() if caller.open]
        if waiting:
            self.fleet.disconnect(waiting[number % len(waiting)])

    @rule(number=NUMBER, old_version=st.booleans(), twice=st.booleans(), wait_ms=WAIT_MS)
    def change(self, number: int, old_version: bool, twice: bool, wait_ms: float) -> None:
        """Change the configuration, perhaps from an old version or at two nodes concurrently."""
        core = self.fleet.hosts[self.node(number)].core
        base = core.cfg.version if core is not None else 0
        self.fleet.apply(self.node(number), base - int(old_version and base > 1))
        if twice:
            self.fleet.apply(self.node(number + 1), base)
        self.advance(wait_ms)

    @rule(
        number=NUMBER,
        owner=st.booleans(),
        synced=st.integers(0, 2),
        down_ms=st.sampled_from([0.0, 200.0, 3_000.0]),
        start_again=st.booleans(),
    )
    def crash(
        self, number: int, owner: bool, synced: int, down_ms: float, start_again: bool
    ) -> None:
        """Crash a node, which loses writes that are not synced; perhaps start it again."""
        node = self.choose_node(number, owner)
        if self.fleet.hosts[node].core is not None:
            self.fleet.crash(node, synced)
        self.advance(down_ms)
        if start_again:
            self.fleet.start(node)

    @rule(wait_ms=WAIT_MS)
    def restart(self, wait_ms: float) -> None:
        """Start all nodes that are down and let time pass."""
        self.start_all()
        self.advance(wait_ms)

    def start_all(self) -> None:
        """Start all nodes that are down."""
        for name, host in self.fleet.hosts.items():
            if host.core is None:
                self.fleet.start(name)

    @rule(number=NUMBER, owner=st.booleans(), wait_ms=WAIT_MS)
    def drain(self, number: int, owner: bool, wait_ms: float) -> None:
        """Drain a node."""
        self.fleet.drain(self.choose_node(number, owner))
        self.advance(wait_ms)

    @rule(number=NUMBER, owner=st.booleans(), other=NUMBER, both=st.booleans(), wait_ms=WAIT_MS)
    def block(self, number: int, owner: bool, other: int, both: bool, wait_ms: float) -> None:
        """Block the link between two nodes in one or both directions."""
        self.fleet.block(self.choose_node(number, owner), self.node(other), both)
        self.advance(wait_ms)

    @rule(number=NUMBER, owner=st.booleans(), both=st.booleans(), wait_ms=WAIT_MS)
    def isolate(self, number: int, owner: bool, both: bool, wait_ms: float) -> None:
        """Block the links from all other nodes to a node, perhaps in both directions."""
        node = self.choose_node(number, owner)
        for other in self.fleet.hosts:
            if other != node:
                self.fleet.block(other, node, both)
        self.advance(wait_ms)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        jitter_ms=st.sampled_from([0.0, 20.0, 300.0]),
        wait_ms=WAIT_MS,
    )
    def disturb(self, loss: float, jitter_ms: float, wait_ms: float) -> None:
        """Lose, duplicate and reorder messages from now on."""
        self.fleet.set_message_faults(loss, jitter_ms)
        self.advance(wait_ms)

    @rule(wait_ms=WAIT_MS)
    def heal(self, wait_ms: float) -> None:
        """Clear the network faults."""
        self.fleet.heal()
        self.advance(wait_ms)

    @rule(
        step_ms=st.sampled_from([5.0, 50.0, 400.0]),
        fault_share=st.sampled_from([0.0, 0.1, 0.4]),
        late_share=st.sampled_from([0.0, 0.5]),
    )
    def set_upstream_behaviour(self, step_ms: float, fault_share: float, late_share: float) -> None:
        """Set the speed of the upstreams and the shares of failed calls and of late events."""
        self.fleet.upstreams.step_ms = step_ms
        self.fleet.upstreams.fault_share = fault_share
        self.fleet.upstreams.late_share = late_share

    @rule(name=UPSTREAM, wait_ms=WAIT_MS)
    def crash_upstream(self, name: UpstreamId, wait_ms: float) -> None:
        """Crash an upstream; it no longer reports that it leaves, so P6 does not apply to it."""
        self.fleet.upstreams.leaving.discard(name)
        self.fleet.oracle.leaving_ms.pop(name, None)
        self.fleet.upstreams.crash(name, self.fleet.now_ms)
        self.advance(wait_ms)

    @rule(name=UPSTREAM, wait_ms=WAIT_MS)
    def leave_upstream(self, name: UpstreamId, wait_ms: float) -> None:
        """Let an upstream leave: it finishes accepted calls and refuses new ones."""
        if name not in self.fleet.upstreams.down:
            self.fleet.upstreams.leaving.add(name)
            self.fleet.oracle.leaving_ms.setdefault(name, self.fleet.now_ms)
        self.advance(wait_ms)

    @rule(
        name=UPSTREAM,
        busy_ms=st.sampled_from([50.0, 2_000.0]),
        rest_ms=st.sampled_from([800.0, 3_000.0, 8_000.0]),
        wait_ms=WAIT_MS,
    )
    def rest_upstream(
        self, name: UpstreamId, busy_ms: float, rest_ms: float, wait_ms: float
    ) -> None:
        """Let an upstream ask for rests for some time."""
        self.fleet.upstreams.rests.busy[name] = (self.fleet.now_ms + busy_ms, rest_ms)
        self.advance(wait_ms)

    @rule()
    def repair_upstreams(self) -> None:
        """Bring all upstreams back into service."""
        self.fleet.upstreams.down.clear()
        self.fleet.upstreams.rests.busy.clear()
        self.fleet.upstreams.leaving.clear()
        self.fleet.oracle.leaving_ms.clear()

    def teardown(self) -> None:
        """Clear all faults and stop the load; then all requests must end."""
        if hasattr(self, "fleet"):
            self.repair_upstreams()
            self.set_upstream_behaviour(60.0, 0.0, 0.5)
            self.fleet.heal()
            # Let drains end and each shard get an owner before the last burst.
            for _ in range(2):
                self.start_all()
                self.fleet.run(RECOVERY_MS)
            for index in range(LAST_BURST_REQUESTS):
                self.fleet.request(self.node(index), completion_call(index % 3, WORKSPACES[0]))
            self.fleet.run(SHED_MS)
            mark_must_complete(self.fleet)
            check_settled(self.fleet)
            self.start_all()
            self.fleet.run(PROPAGATION_CHECK_MS)


def mark_must_complete(fleet: Fleet) -> None:
    """Mark the waiting requests of the lowest class that must complete once load has stopped."""
    started = {run.start.request_id for run in fleet.oracle.runs}
    for caller in fleet.oracle.callers.values():
        waiting = caller.open and caller.request_id not in started
        core = fleet.hosts[caller.entry].core
        if waiting and caller.call.class_name == LOWEST_CLASS and core is not None:
            timeout_ms = core.cfg.classes[LOWEST_CLASS].queue_timeout_ms
            remaining_ms = caller.arrived_ms + timeout_ms - fleet.now_ms
            # With a key, the claim may be refused, or the claim store may not answer in time.
            caller.must_complete = remaining_ms >= MIN_REMAINING_MS and not caller.call.key


def check_settled(fleet: Fleet) -> None:
    """Run until every request has ended and every slot is free.

    Raises InvariantError if that takes longer than ``SETTLE_MS``, or if a caller that is still
    connected did not get exactly one final response.
    """
    end_ms = fleet.now_ms + SETTLE_MS
    while (unsettled := fleet.unsettled()) and fleet.now_ms < end_ms:
        fleet.run(SETTLE_STEP_MS)
    if unsettled:
        raise InvariantError(f"Not settled within {SETTLE_MS} ms: {unsettled}")
    for caller in fleet.oracle.callers.values():
        if not caller.disconnected and len(caller.final_responses) != 1:
            raise InvariantError(
                f"{caller.request_id} got the final responses {caller.final_responses}."
            )
