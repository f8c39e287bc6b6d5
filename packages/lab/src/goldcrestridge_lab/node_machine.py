"""Hypothesis state machine of complete nodes under faults; ``node_oracle`` holds the checks."""

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

SETTLE_MS = 120_000.0  # Longer than the silence after which an upstream counts as lost.
SETTLE_STEP_MS = 500.0
SPREAD_MS = 4_500.0  # The bound of P8 and one interval of its check.
LEFT_MS = 30_000.0  # A waiting request with this much time left must complete once load stops.
KEYS = 20
LOAD_MS = 150.0
COMPLETION_SHARE = 0.6
LAST_BURST = 60  # Many times the slots, so that requests of the lowest class wait.
# The owner sheds a burst when it arrives and at its next sweeps; load has stopped after that.
SHED_MS = 1_000.0
CALM_MS = 6_000.0  # Longer than a drain, and than a lease and the rebuilding of an owner.

NUMBER = st.integers(0, 4)
TIER = st.integers(0, 2)
# Time that passes after each step; without it hypothesis rarely lets a fault take effect.
AFTER_MS = st.sampled_from([1.0, 20.0, 150.0, 700.0, 2_500.0, 6_000.0])
UPSTREAM = st.sampled_from([*ENGINES, *SERVICES])


class NodeMachine(RuleBasedStateMachine):
    """Three replicas and one or two nodes without a disk, under load and any faults at once."""

    fleet: Fleet

    @initialize(seed=st.integers(0, 2**32), diskless=st.integers(1, 2))
    def start_fleet(self, seed: int, diskless: int) -> None:
        """Start the nodes and put a first configuration in force."""
        self.fleet = new_fleet(Random(seed), diskless)
        self.set_upstream_behaviour(50.0, 0.1, 0.5)

    def node(self, number: int) -> NodeId:
        """Return a node by number."""
        nodes = list(self.fleet.hosts)
        return nodes[number % len(nodes)]

    def choose_node(self, number: int, owner: bool) -> NodeId:
        """Return a node that owns a shard, or one by number."""
        hosts = self.fleet.hosts.values()
        owners = [host.name for host in hosts if host.core is not None and host.core.owners]
        return owners[number % len(owners)] if owner and owners else self.node(number)

    def advance(self, duration_ms: float) -> None:
        """Let time pass under a random load."""
        end_ms = self.fleet.now_ms + duration_ms
        while self.fleet.now_ms < end_ms:
            self.fleet.run(min(LOAD_MS, end_ms - self.fleet.now_ms))
            self.load()

    def load(self) -> None:
        """Send a random request."""
        rng = self.fleet.rng
        workspace, tier = rng.choice(WORKSPACES), rng.randrange(3)
        if rng.random() < COMPLETION_SHARE:
            call = completion_call(tier, workspace)
        else:
            number = rng.randint(0, KEYS)
            text = uuid7(number, WALL_START_MS) if number else ""
            call = service_call(tier, workspace, text, repeatable=not number and rng.random() < 0.5)
        self.fleet.request(rng.choice(list(self.fleet.hosts)), call)

    @rule(wait_ms=AFTER_MS)
    def run(self, wait_ms: float) -> None:
        """Let time pass."""
        self.advance(wait_ms)

    @rule(
        number=NUMBER,
        tier=TIER,
        workspace=st.sampled_from(WORKSPACES),
        count=st.sampled_from([1, 6, 30]),
        wait_ms=AFTER_MS,
    )
    def complete(self, number: int, tier: int, workspace: str, count: int, wait_ms: float) -> None:
        """Send completions, the first of the given class and others of all classes."""
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
        wait_ms=AFTER_MS,
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
        """Call the plain service, with a key that others may use, without a key, or twice."""
        text = uuid7(key, WALL_START_MS) if key and not repeatable else ""
        call = service_call(tier, workspace, text, repeatable=repeatable)
        self.fleet.request(self.node(number), call)
        if twice:
            self.fleet.request(self.node(number + 1), call)
        self.advance(wait_ms)

    @rule(number=NUMBER)
    def disconnect_caller(self, number: int) -> None:
        """Let a caller close its connection."""
        waiting = [caller for caller in self.fleet.oracle.callers.values() if caller.open]
        if waiting:
            self.fleet.disconnect(waiting[number % len(waiting)])

    @rule(number=NUMBER, old=st.booleans(), twice=st.booleans(), wait_ms=AFTER_MS)
    def change(self, number: int, old: bool, twice: bool, wait_ms: float) -> None:
        """Change the configuration, at times on an old version or at two nodes at once."""
        core = self.fleet.hosts[self.node(number)].core
        base = core.cfg.version if core is not None else 0
        self.fleet.apply(self.node(number), base - int(old and base > 1))
        if twice:
            self.fleet.apply(self.node(number + 1), base)
        self.advance(wait_ms)

    @rule(
        number=NUMBER,
        owner=st.booleans(),
        synced=st.integers(0, 2),
        down=st.sampled_from([0.0, 200.0, 3_000.0]),
        back=st.booleans(),
    )
    def crash(self, number: int, owner: bool, synced: int, down: float, back: bool) -> None:
        """Stop a node; what was not synced is lost. It may come back later."""
        node = self.choose_node(number, owner)
        if self.fleet.hosts[node].core is not None:
            self.fleet.crash(node, synced)
        self.advance(down)
        if back:
            self.fleet.start(node)

    @rule(wait_ms=AFTER_MS)
    def restart(self, wait_ms: float) -> None:
        """Start all nodes that are down."""
        self.start_all()
        self.advance(wait_ms)

    def start_all(self) -> None:
        """Start all nodes that are down."""
        for name, host in self.fleet.hosts.items():
            if host.core is None:
                self.fleet.start(name)

    @rule(number=NUMBER, owner=st.booleans(), wait_ms=AFTER_MS)
    def drain(self, number: int, owner: bool, wait_ms: float) -> None:
        """Tell a node to stop."""
        self.fleet.drain(self.choose_node(number, owner))
        self.advance(wait_ms)

    @rule(number=NUMBER, owner=st.booleans(), other=NUMBER, both=st.booleans(), wait_ms=AFTER_MS)
    def block(self, number: int, owner: bool, other: int, both: bool, wait_ms: float) -> None:
        """Cut the way between two nodes in one or both directions."""
        self.fleet.block(self.choose_node(number, owner), self.node(other), both)
        self.advance(wait_ms)

    @rule(number=NUMBER, owner=st.booleans(), both=st.booleans(), wait_ms=AFTER_MS)
    def isolate(self, number: int, owner: bool, both: bool, wait_ms: float) -> None:
        """Cut a node off from all others."""
        node = self.choose_node(number, owner)
        for other in self.fleet.hosts:
            if other != node:
                self.fleet.block(other, node, both)
        self.advance(wait_ms)

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        jitter=st.sampled_from([0.0, 20.0, 300.0]),
        wait_ms=AFTER_MS,
    )
    def set_message_faults(self, loss: float, jitter: float, wait_ms: float) -> None:
        """Lose, duplicate and reorder messages."""
        self.fleet.set_message_faults(loss, jitter)
        self.advance(wait_ms)

    @rule(wait_ms=AFTER_MS)
    def heal(self, wait_ms: float) -> None:
        """End the faults of the network."""
        self.fleet.heal()
        self.advance(wait_ms)

    @rule(
        step=st.sampled_from([5.0, 50.0, 400.0]),
        faults=st.sampled_from([0.0, 0.1, 0.4]),
        late=st.sampled_from([0.0, 0.5]),
    )
    def set_upstream_behaviour(self, step: float, faults: float, late: float) -> None:
        """Change the pace of the upstreams and how often their answers break or come late."""
        self.fleet.upstreams.step_ms = step
        self.fleet.upstreams.fault_share = faults
        self.fleet.upstreams.late_share = late

    @rule(name=UPSTREAM, wait_ms=AFTER_MS)
    def crash_upstream(self, name: UpstreamId, wait_ms: float) -> None:
        """Stop an upstream with all its work; from then on it cannot say that it leaves."""
        self.fleet.upstreams.leaving.discard(name)
        self.fleet.oracle.leaving_ms.pop(name, None)
        self.fleet.upstreams.crash(name, self.fleet.now_ms)
        self.advance(wait_ms)

    @rule(name=UPSTREAM, wait_ms=AFTER_MS)
    def leave_upstream(self, name: UpstreamId, wait_ms: float) -> None:
        """Let an upstream end its work and refuse more."""
        if name not in self.fleet.upstreams.down:
            self.fleet.upstreams.leaving.add(name)
            self.fleet.oracle.leaving_ms.setdefault(name, self.fleet.now_ms)
        self.advance(wait_ms)

    @rule()
    def repair_upstreams(self) -> None:
        """Let all upstreams work again."""
        self.fleet.upstreams.down.clear()
        self.fleet.upstreams.leaving.clear()
        self.fleet.oracle.leaving_ms.clear()

    def teardown(self) -> None:
        """End all faults and load; everything must settle."""
        if hasattr(self, "fleet"):
            self.repair_upstreams()
            self.set_upstream_behaviour(60.0, 0.0, 0.5)
            self.fleet.heal()
            # Drains end and each shard gets its owner before the last burst.
            for _ in range(2):
                self.start_all()
                self.fleet.run(CALM_MS)
            for index in range(LAST_BURST):
                self.fleet.request(self.node(index), completion_call(index % 3, WORKSPACES[0]))
            self.fleet.run(SHED_MS)
            expect_completion(self.fleet)
            check_settled(self.fleet)
            self.start_all()
            self.fleet.run(SPREAD_MS)


def expect_completion(fleet: Fleet) -> None:
    """Name the waiting requests of the lowest class that must complete from now on."""
    started = {run.start.request_id for run in fleet.oracle.runs}
    for caller in fleet.oracle.callers.values():
        waiting = caller.open and caller.request_id not in started
        cls = fleet.hosts[caller.entry].core
        if waiting and caller.call.class_name == LOWEST_CLASS and cls is not None:
            timeout_ms = cls.cfg.classes[LOWEST_CLASS].queue_timeout_ms
            left_ms = caller.arrived_ms + timeout_ms - fleet.now_ms
            # A claim may be refused for the key, or not be reached in its own time.
            caller.must_complete = left_ms >= LEFT_MS and not caller.call.key


def check_settled(fleet: Fleet) -> None:
    """Let time pass until every request has ended and every slot is free."""
    end_ms = fleet.now_ms + SETTLE_MS
    while (left := fleet.unsettled()) and fleet.now_ms < end_ms:
        fleet.run(SETTLE_STEP_MS)
    if left:
        raise InvariantError(f"Not settled: {left}")
    for caller in fleet.oracle.callers.values():
        if not caller.disconnected and len(caller.final_responses) != 1:
            raise InvariantError(f"{caller.request_id} has the outcomes {caller.final_responses}.")
