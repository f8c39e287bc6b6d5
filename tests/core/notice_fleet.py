"""Simulation of entry nodes in front of upstreams that leave, rest and start again.

Nodes share what they heard through a real publisher. The checks count the arrivals at each run of
an upstream by machine, from what upstreams and callers see.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from attrs import define, field

from goldcrestridge_core.demand import Demand
from goldcrestridge_core.follow_types import (
    EntryStatus,
    FollowReply,
    InstancesListed,
    InstancesReceived,
    UpstreamInstance,
    WorkloadReceived,
)
from goldcrestridge_core.follower import Follower
from goldcrestridge_core.placement import Placement
from goldcrestridge_core.publisher import Leadership, Publisher
from goldcrestridge_core.types import NodeId, Receive, Send, Tick
from goldcrestridge_core.versions import VersionedDocument

DRAIN_MS = 3_000.0
LIST_LAG_MS = 1_800.0
LEADER = NodeId("leader")
REST_GRACE_MS = 500.0
ALLOWED_IN_REST = 2
SERVICE = "s"


@define
class Server:
    """One run of an upstream; ``leaves_ms`` is when it begins to leave."""

    item: UpstreamInstance
    leaves_ms: float = float("inf")
    ends_ms: float = float("inf")
    busy_until_ms: float = 0.0
    rest_s: float = 1.0


@define
class Machine:
    """One entry node; ``excused_ms`` is the time of its last restart or freeze."""

    node: NodeId
    number: int
    placement: Placement
    follower: Follower
    excused_ms: float = -1.0
    frozen_until_ms: float = 0.0
    cut: bool = False
    ready: bool = False


@define
class NoticeFleet:
    """Run a seeded schedule of requests and faults."""

    seed: int
    machines: int = 6
    names: tuple[str, ...] = ("a", "b", "c", "d")
    quiet: bool = False  # No requests and faults are scheduled.
    now_ms: float = 0.0
    _rng: random.Random = field(init=False)
    _queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _numbers: Any = field(factory=itertools.count)
    _fleet: list[Machine] = field(factory=list)
    _servers: dict[str, Server] = field(factory=dict)
    _publisher: Publisher = field(init=False)
    # Per run and machine: the first answer that says that it leaves, rests, and arrivals.
    _leaving_heard: dict[tuple[str, int], float] = field(factory=dict)
    _rests: list[tuple[str, int, float, float]] = field(factory=list)
    _arrivals: list[tuple[str, int, float]] = field(factory=list)
    _excuses: list[tuple[int, float]] = field(factory=list)
    _wrong: list[str] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        document = VersionedDocument(1, b"routes")
        self._publisher = Publisher(lambda _now: Leadership(True, LEADER, (LEADER,), document))
        for name in self.names:
            self._servers[name] = Server(self._instance(name, 1))
        self._fleet = [self._new_machine(number) for number in range(self.machines)]

    def _instance(self, name: str, born: int) -> UpstreamInstance:
        return UpstreamInstance(name, SERVICE, f"10.0.0.{ord(name)}:80", "dc", 8, False, "v1", born)

    def _new_machine(self, number: int) -> Machine:
        node = NodeId(f"n{number}")
        placement = Placement("dc", random.Random(self._rng.getrandbits(32)))
        placement.notices.drain_ms = DRAIN_MS
        status = EntryStatus(node, f"{node}:80", "dc", accepting=True)
        rng = random.Random(self._rng.getrandbits(32))
        follower = Follower(status, (LEADER,), rng, placement.workload)
        return Machine(node, number, placement, follower)

    def _after(self, delay_ms: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now_ms + delay_ms, next(self._numbers), action))

    def run(self, until_ms: float) -> None:
        """Run the schedule up to a time."""
        self._publish()
        for machine in self._fleet:
            self._poll(machine.number)
        for kind in (self._request, self._fault, self._publish):
            self._after(1.0, kind)
        while self._queue and self._queue[0][0] < until_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()

    def advance(self, until_ms: float) -> None:
        """Run what was scheduled up to a time."""
        while self._queue and self._queue[0][0] < until_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = until_ms

    def restart(self, number: int) -> None:
        """Replace a machine's process, which keeps nothing."""
        self._fleet[number] = self._new_machine(number)

    def machine(self, number: int) -> Machine:
        """Return a machine with its current process."""
        return self._fleet[number]

    @property
    def servers(self) -> list[Server]:
        """Return the runs of all upstreams."""
        return list(self._servers.values())

    # The list of instances and the exchange between nodes.

    def _publish(self) -> None:
        """Read the list, which shows the state of some time ago."""
        listed = tuple(server.item for _, server in sorted(self._servers.items()))
        listed = tuple(
            UpstreamInstance(
                item.instance,
                item.service,
                item.address,
                item.data_centre,
                item.slots,
                self._servers[item.instance].leaves_ms <= self.now_ms - LIST_LAG_MS,
                item.version,
                item.born,
            )
            for item in listed
        )
        self._publisher.handle(InstancesListed(listed), self.now_ms)
        self._after(1_000.0, self._publish)

    def _poll(self, number: int) -> None:
        machine = self._fleet[number]
        if self.now_ms >= machine.frozen_until_ms:
            for effect in machine.follower.handle(Tick(), self.now_ms):
                if isinstance(effect, Send) and not machine.cut:
                    self._after(self._rng.uniform(1, 30), self._make_ask(machine, effect.message))
        self._after(100.0, lambda: self._poll(number))

    def _make_ask(self, machine: Machine, request: Any) -> Callable[[], None]:
        def ask() -> None:
            for effect in self._publisher.handle(Receive(machine.node, request), self.now_ms):
                if isinstance(effect, Send) and isinstance(effect.message, FollowReply):
                    self._after(self._rng.uniform(1, 30), self._make_reply(machine, effect.message))

        return ask

    def _make_reply(self, machine: Machine, reply: FollowReply) -> Callable[[], None]:
        def deliver() -> None:
            if machine.cut or self._fleet[machine.number] is not machine:
                return
            if self.now_ms < machine.frozen_until_ms:
                self._after(machine.frozen_until_ms - self.now_ms, deliver)
                return
            for effect in machine.follower.handle(Receive(LEADER, reply), self.now_ms):
                match effect:
                    case InstancesReceived(instances=instances):
                        machine.placement.set_instances(instances, self.now_ms)
                    case WorkloadReceived(workload=workload):
                        machine.placement.set_peer_workload(workload)
                        machine.placement.notices.merge(workload, self.now_ms)
                        machine.ready = True

        return deliver

    # Requests.

    def _request(self) -> None:
        if self.quiet:
            return
        self._after(self._rng.expovariate(1 / 20.0), self._request)
        machine = self._rng.choice(self._fleet)
        if self.now_ms < machine.frozen_until_ms or not machine.ready:
            return
        item = machine.placement.choose(SERVICE, Demand(), (), self.now_ms)
        if item is None:
            self._check_refusal(machine)
            return
        # The request waits for a connection before it is sent.
        wait_ms = self._rng.choice([0.0, 0.0, 5.0, 400.0])
        self._after(wait_ms, lambda: self._send(machine, item))

    def _check_refusal(self, machine: Machine) -> None:
        """Record a refusal although a listed upstream neither leaves nor rests."""
        for name, server in self._servers.items():
            known = server.item in machine.placement._services.get(SERVICE, ())
            quiet = all(end < self.now_ms - 500.0 for run, _, _, end in self._rests if run == name)
            rested = any(
                run == server.item.life and end + 0.3 * (end - at) > self.now_ms
                for run, _, at, end in self._rests
            )
            if known and server.leaves_ms > self.now_ms and not rested and quiet:
                self._wrong.append(f"{self.now_ms:.0f} {machine.node} did not use {name}")

    def _send(self, machine: Machine, item: UpstreamInstance) -> None:
        if self.now_ms < machine.frozen_until_ms or self._fleet[machine.number] is not machine:
            return
        if machine.placement.withheld(item, self.now_ms):
            return
        sent_ms = self.now_ms
        self._after(self._rng.uniform(0.5, 3.0), lambda: self._arrive(machine, item, sent_ms))

    def _arrive(self, machine: Machine, item: UpstreamInstance, sent_ms: float) -> None:
        server = self._servers[item.instance]
        if self.now_ms >= server.ends_ms or server.item.address != item.address:
            return
        run = server.item.life
        self._arrivals.append((run, machine.number, self.now_ms))
        busy = self.now_ms < server.busy_until_ms
        if busy:
            end_ms = self.now_ms + server.rest_s * 1_000.0
            self._rests.append((run, machine.number, self.now_ms, end_ms))
        leaving = self.now_ms >= server.leaves_ms
        rest_ms = server.rest_s * 1_000.0 if busy else 0.0
        delay_ms = self._rng.choice([1.0, 5.0, 40.0]) if busy else self._rng.choice([5.0, 400.0])
        if self._rng.random() < 0.05 and not busy:
            delay_ms = 2_500.0  # A late answer, possibly after the next run has started.
        self._after(delay_ms, lambda: self._answer(machine, item, run, sent_ms, leaving, rest_ms))

    def _answer(
        self,
        machine: Machine,
        item: UpstreamInstance,
        run: str,
        sent_ms: float,
        leaving: bool,
        rest_ms: float,
    ) -> None:
        if self._fleet[machine.number] is not machine:
            return
        if self.now_ms < machine.frozen_until_ms:
            self._after(
                machine.frozen_until_ms - self.now_ms,
                lambda: self._answer(machine, item, run, sent_ms, leaving, rest_ms),
            )
            return
        machine.placement.notices.observe(item, leaving, rest_ms, sent_ms, self.now_ms)
        if leaving:
            self._leaving_heard.setdefault((run, machine.number), self.now_ms)

    # Faults.

    def _fault(self) -> None:
        if self.quiet:
            return
        self._after(self._rng.uniform(200.0, 1_500.0), self._fault)
        machine = self._rng.choice(self._fleet)
        server = self._servers[self._rng.choice(self.names)]
        match self._rng.randrange(7):
            case 0:
                machine.cut = not machine.cut
            case 1:
                machine.frozen_until_ms = self.now_ms + self._rng.choice([300.0, 4_000.0])
                self._excuses.append((machine.number, self.now_ms))
            case 2:
                self._excuses.append((machine.number, self.now_ms))
                self.restart(machine.number)
            case 3 | 4:
                server.rest_s = self._rng.choice([0.6, 1.0, 2.5, 5.0])
                server.busy_until_ms = self.now_ms + self._rng.choice([50.0, 1_000.0, 3_000.0])
            case _:
                if server.leaves_ms == float("inf"):
                    server.leaves_ms = self.now_ms
                    server.ends_ms = self.now_ms + DRAIN_MS + self._rng.uniform(500.0, 6_000.0)
                    name, born = server.item.instance, server.item.born
                    again_ms = server.ends_ms - self.now_ms + self._rng.choice([10.0, 2_000.0])
                    self._after(again_ms, lambda: self._start_again(name, born + 1))

    def _start_again(self, name: str, born: int) -> None:
        self._servers[name] = Server(self._instance(name, born))

    # Checks.

    def _excused(self, number: int, since_ms: float, until_ms: float) -> bool:
        return any(
            machine == number and since_ms <= at_ms <= until_ms for machine, at_ms in self._excuses
        )

    def violations(self) -> list[str]:
        """Return the arrivals after the drain time, and the rests that were not kept."""
        found = []
        for run, number, at_ms in self._arrivals:
            heard_ms = self._leaving_heard.get((run, number), float("inf"))
            if at_ms > heard_ms + DRAIN_MS and not self._excused(number, heard_ms, at_ms):
                found.append(f"{run}: arrival from n{number} {at_ms - heard_ms:.0f} ms after")
        for run, number, asked_ms, end_ms in self._rests:
            arrivals = [
                at_ms
                for other, machine, at_ms in self._arrivals
                if (other, machine) == (run, number)
                and asked_ms + REST_GRACE_MS < at_ms < end_ms
                and not self._excused(number, asked_ms, at_ms)
            ]
            if len(arrivals) > ALLOWED_IN_REST:
                found.append(f"{run}: {len(arrivals)} arrivals from n{number} in a rest")
        return found

    def wrongly_refused(self) -> list[str]:
        """Return the refusals although an upstream would have served the request."""
        return self._wrong

    @property
    def arrivals(self) -> int:
        """Return the number of requests that reached an upstream."""
        return len(self._arrivals)
