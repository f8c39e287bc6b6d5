"""Fault soak: real nodes on loopback under injected faults, checked from the outside.

Usage:
  soak [--seed=N] [--seconds=S] [--processes=P] [--folder=DIR]

Options:
  --seed=N       Seed of the faults and of all traffic [default: 1].
  --seconds=S    Time with faults; a fault-free phase follows [default: 20].
  --processes=P  Processes: three control nodes, the others entry nodes [default: 7].
  --folder=DIR   Folder for settings, data and logs; the default is a new temporary one.

Exit codes: 0 no violation, 1 some violation, 2 invalid usage, 3 terminated by SIGTERM.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from attrs import define, field
from docopt import docopt

from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_lab.soak_callers import Call, Caller, Operators, send_request
from goldcrestridge_lab.soak_checks import (
    CONFIG_PROPAGATION_MS,
    DRAIN_MS,
    RECONNECT_MS,
    Observations,
    find_violations,
)
from goldcrestridge_lab.soak_net import Proxy
from goldcrestridge_lab.soak_nodes import BOUNDS, CALLER_PORT, OPERATOR_PORT, Node, Nodes
from goldcrestridge_lab.soak_prompts import Prompts, crash_by_prompt, send_crashing_prompts
from goldcrestridge_lab.soak_servers import Arrival, Upstream, UpstreamList
from goldcrestridge_lab.soak_signals import ask_for_rest, limit_after_faults, name_limit

CONTROL_NODES = 3
UPSTREAMS = (("a", 3), ("b", 2))
LIST_PORT = 18090
# Runs with different seeds use different loopback networks, so that they can run concurrently.
FIRST_NETWORK, NETWORKS = 20, 200
UPSTREAM_PORT = 18095
VERSIONS = ("v1", "v2")
# Resumable streams go to this service.
STREAM_SERVICE = "a"
# Share of restarted upstreams that keep their instance id, with any version.
KEPT_ID_SHARE = 0.2
CALLERS_PER_ENTRY = 3
CALLER_PAUSE_MS = 60.0
RECOVERY_MS = 12_000.0  # The platform's bound for recovery after the last fault.
START_TIMEOUT_MS = 30_000.0
# Documented bound: the share of calls that must be served after recovery from all faults.
MIN_SERVED_SHARE = 0.25
FAULT_FREE_MS = 3_000.0
CHANGE_PAUSE_MS = 3_500.0  # Between changes of the routes after the faults.
EXIT_TERMINATED = 3


Fault = Callable[[random.Random], Awaitable[None]]


@define(eq=False)
class Soak:
    """One run; ``violations`` lists the guarantees that were violated."""

    seed: int
    seconds: float
    entry_count: int
    folder: Path
    clock: Clock = field(factory=Clock)
    violations: list[str] = field(factory=list)
    calls: list[Call] = field(factory=list)
    arrivals: list[Arrival] = field(factory=list)
    faults: Counter[str] = field(factory=Counter)
    # Start and end of each fault in milliseconds, keyed by the address of a node, the instance of
    # an upstream, or ``list``; planned shutdowns are in ``drains``.
    fault_spans: dict[str, list[tuple[float, float]]] = field(factory=dict)
    drains: dict[str, list[tuple[float, float]]] = field(factory=dict)
    upstream_list: UpstreamList = field(init=False)
    nodes: Nodes = field(init=False)
    operators: Operators = field(init=False)
    upstreams: list[Upstream] = field(factory=list)
    # Start, end and requests a second of each limit that an instance named.
    limits: dict[str, list[tuple[float, float, float]]] = field(factory=dict)
    prompts: Prompts = field(factory=Prompts)
    entry_proxies: dict[str, Proxy] = field(factory=dict)
    upstream_proxies: dict[str, Proxy] = field(factory=dict)
    _upstream_numbers: itertools.count[int] = field(factory=itertools.count)
    _crash_tasks: set[asyncio.Future[None]] = field(factory=set)
    _started_ms: float = 0.0
    _recovered_ms: float = float("inf")
    _rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Assign a separate address to each node, upstream and proxy."""
        self._rng = random.Random(self.seed)
        self._started_ms = self.clock.now_ms()
        seeds = [f"{self._ip(1, n)}:{OPERATOR_PORT}" for n in range(CONTROL_NODES)]
        list_address = (self._ip(0, 0), LIST_PORT)
        control = [
            Node(
                "control",
                self._ip(1, n),
                self.folder / f"control{n}",
                seeds,
                _host_port(list_address),
            )
            for n in range(CONTROL_NODES)
        ]
        entries = [
            Node(
                "entry", self._ip(2, n), self.folder / f"entry{n}", seeds, _host_port(list_address)
            )
            for n in range(self.entry_count)
        ]
        self.nodes = Nodes(control, entries)
        for number, node in enumerate(entries):
            source = (self._ip(3, number), CALLER_PORT)
            self.entry_proxies[f"{node.ip}:{CALLER_PORT}"] = Proxy(
                source, (node.ip, CALLER_PORT), random.Random(number)
            )
        for service, count in UPSTREAMS:
            for _ in range(count):
                self._add_upstream(service)
        self.upstream_list = UpstreamList(
            list_address,
            self.now_ms,
            lambda item: _host_port(self.proxy_of(item).source),
            self.upstreams,
        )
        ips = [node.ip for node in control]
        rng = random.Random(self.seed + 1)
        self.operators = Operators(self.now_ms, rng, ips, CONFIG_PROPAGATION_MS + RECONNECT_MS)

    def now_ms(self) -> float:
        """Return the milliseconds since the start of the run."""
        return self.clock.now_ms() - self._started_ms

    def _ip(self, group: int, number: int) -> str:
        return f"127.{FIRST_NETWORK + self.seed % NETWORKS}.{group}.{number + 1}"

    def _add_upstream(self, service: str) -> Upstream:
        number = next(self._upstream_numbers)
        address = (self._ip(4, number), UPSTREAM_PORT)
        upstream = Upstream(
            service, address, self.new_instance_id(), self.now_ms, self.arrivals.append, self._rng
        )
        upstream.version = VERSIONS[number % len(VERSIONS)]
        upstream.crash_by_prompt = self._crash_by_prompt
        self.upstreams.append(upstream)
        source = (self._ip(5, number), UPSTREAM_PORT)
        self.upstream_proxies[address[0]] = Proxy(source, address, random.Random(number))
        return upstream

    def _crash_by_prompt(self, upstream: Upstream, part: str) -> None:
        task = asyncio.ensure_future(crash_by_prompt(self, upstream, part))
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    def new_instance_id(self) -> str:
        """Return an id for another instance."""
        return f"i-{self._rng.randrange(1 << 40):010x}"

    def proxy_of(self, upstream: Upstream) -> Proxy:
        """Return the proxy through which an upstream is reached."""
        return self.upstream_proxies[upstream.address[0]]

    async def run(self) -> bool:
        """Run with faults and check the observations; return whether there was no violation."""
        await self.upstream_list.start()
        for proxy in (*self.entry_proxies.values(), *self.upstream_proxies.values()):
            await proxy.start()
        for upstream in self.upstreams:
            await upstream.start()
        for node in self.nodes.all:
            node.start()
        try:
            await self._wait_until_serving()
            await self._run_with_faults()
        finally:
            await asyncio.to_thread(self.nodes.terminate)
        self._check()
        return not self.violations

    def _check(self) -> None:
        observations = Observations(
            self.calls,
            self.arrivals,
            self.operators,
            self.upstream_list.leaving_listed_ms,
            self.fault_spans,
            self.drains,
            self.limits,
            self._recovered_ms,
            self.prompts.crashes,
            [node.ip for node in self.nodes.control],
        )
        self.violations += [*self.operators.violations, *find_violations(observations)]
        self.violations += [
            f"node {node.ip} exited unexpectedly with status {node.exit_code}"
            for node in self.nodes.all
            if node.exited_unexpectedly()
        ]

    async def _wait_until_serving(self) -> None:
        """Wait until a first version is acknowledged and a first call is served."""
        probe = self._caller("probe")
        end_ms = self.now_ms() + START_TIMEOUT_MS
        while self.now_ms() < end_ms:
            if not self.operators.acknowledged_ms:
                await self.operators.change(attempts=1)
            await probe.call()
            if any(call.served for call in self.calls):
                return
            await asyncio.sleep(0.2)
        self.violations.append(f"no call was served within {START_TIMEOUT_MS:.0f} ms of the start")

    async def _run_with_faults(self) -> None:
        until_ms = self.now_ms() + self.seconds * MS_PER_SECOND
        recovered_ms = self._recovered_ms = until_ms + RECOVERY_MS
        async with asyncio.TaskGroup() as tasks:
            for number in range(CALLERS_PER_ENTRY * self.entry_count):
                caller = self._caller(f"c{number}")
                tasks.create_task(caller.run(recovered_ms + FAULT_FREE_MS, CALLER_PAUSE_MS))
            for _ in range(2):
                tasks.create_task(self.operators.run(until_ms))
            for number in range(2):
                rng = random.Random(f"{self.seed} faults {number}")
                tasks.create_task(self._inject_faults(until_ms, rng))
            tasks.create_task(limit_after_faults(self, until_ms, recovered_ms))
            end_ms = recovered_ms + FAULT_FREE_MS
            tasks.create_task(send_crashing_prompts(self, until_ms, end_ms))
            tasks.create_task(self._change_routes(until_ms + RECONNECT_MS, end_ms))
        final = await self._read_final_version()
        newest_acknowledged = self.operators.newest_acknowledged(self.now_ms())
        if final < newest_acknowledged:
            self.violations.append(
                f"version {final} was read at the end, but {newest_acknowledged} was acknowledged"
            )
        recovered = [call for call in self.calls if call.sent_ms > recovered_ms]
        served = sum(call.served for call in recovered)
        if not recovered or served < MIN_SERVED_SHARE * len(recovered):
            self.violations.append(
                f"{served} of {len(recovered)} calls were served after the faults, "
                f"the minimum share is {MIN_SERVED_SHARE:g}"
            )

    async def _change_routes(self, begin_ms: float, end_ms: float) -> None:
        """Change the routes again and again while no fault is active."""
        await asyncio.sleep(max(0.0, begin_ms - self.now_ms()) / MS_PER_SECOND)
        for service in itertools.cycle("ab"):
            if self.now_ms() > end_ms - 2 * CONFIG_PROPAGATION_MS:
                return
            await self.operators.change(service=service)
            await asyncio.sleep(CHANGE_PAUSE_MS / MS_PER_SECOND)

    async def _read_final_version(self) -> int:
        """Return the version in force at the end, or 0 if no known version can be read."""
        for _ in range(50):
            for ip in self.operators.control_ips:
                answer = await send_request(ip, OPERATOR_PORT, "GET", "/v1/Config.Read")
                if answer is not None and answer[0] == 200:
                    return next(
                        (v for v, sent in self.operators.manifests.items() if sent == answer[1]), 0
                    )
            await asyncio.sleep(0.1)
        return 0

    def _caller(self, name: str) -> Caller:
        directory_ips = [node.ip for node in self.nodes.entries]
        rng = random.Random(f"{self.seed} {name}")
        return Caller(
            name,
            self.now_ms,
            rng,
            directory_ips,
            lambda entry: self.entry_proxies[entry].source,
            self.calls,
            self.prompts,
        )

    # Faults; each is counted and reported under the name of its method.

    async def _inject_faults(self, until_ms: float, rng: random.Random) -> None:
        """Inject one fault at a time; two such tasks run concurrently, so faults overlap."""
        actions: tuple[Fault, ...] = (
            self._stop_and_go_on,
            self._kill,
            self._end_in_turn,
            self._herd,
            self._reload,
            self._wipe,
            self._disturb_front,
            self._disturb_back,
            self._upstream_mode,
            self._upstream_crash,
            self._upstream_leaves,
            self._release,
            self._upstream_limit,
            self._upstream_rests,
            self._list_mode,
        )
        while self.now_ms() < until_ms:
            await asyncio.sleep(rng.uniform(0.1, 0.8))
            action = rng.choice(actions)
            self.faults[action.__name__.strip("_")] += 1
            await action(rng)

    async def _hold_fault(
        self, rng: random.Random, *targets: str, low: float = 0.3, high: float = 2.5
    ) -> None:
        """Keep a fault active for ``low`` to ``high`` seconds and record it for each target."""
        begin_ms = self.now_ms()
        spans = [self.fault_spans.setdefault(target, []) for target in targets]
        for span in spans:
            span.append((begin_ms, float("inf")))
        await asyncio.sleep(rng.uniform(low, high))
        for span in spans:
            span[span.index((begin_ms, float("inf")))] = (begin_ms, self.now_ms())

    async def _stop_and_go_on(self, rng: random.Random) -> None:
        node = rng.choice(self.nodes.all)
        node.signal(signal.SIGSTOP)
        await self._hold_fault(rng, node.ip)
        node.signal(signal.SIGCONT)

    async def _kill(self, rng: random.Random) -> None:
        node = rng.choice(self.nodes.all)
        node.signal(signal.SIGKILL)
        await self._hold_fault(rng, node.ip)
        self._restart(node)

    def _restart(self, node: Node) -> None:
        if not node.running:
            node.start()

    async def _end_in_turn(self, rng: random.Random) -> None:
        """Restart entry nodes one at a time with a grace period, as in a rolling update."""
        for node in rng.sample(self.nodes.entries, min(2, len(self.nodes.entries))):
            if not node.running or node.suspended:
                continue
            begin_ms = self.now_ms()
            span = self.drains.setdefault(node.ip, [])
            node.signal(signal.SIGTERM)
            await asyncio.to_thread(node.wait, BOUNDS["grace_s"])
            node.signal(signal.SIGKILL)
            span.append((begin_ms, self.now_ms()))
            await asyncio.sleep(0.2)
            self._restart(node)

    async def _herd(self, rng: random.Random) -> None:
        """Kill all entry nodes at once."""
        for node in self.nodes.entries:
            node.signal(signal.SIGKILL)
        await self._hold_fault(rng, *(node.ip for node in self.nodes.entries), low=0.1, high=0.5)
        for node in self.nodes.entries:
            self._restart(node)

    async def _reload(self, rng: random.Random) -> None:
        node = rng.choice(self.nodes.all)
        for _ in range(rng.randrange(1, 4)):
            node.write_settings()
            if not node.suspended:
                node.signal(signal.SIGHUP)
        await asyncio.sleep(0.1)

    async def _wipe(self, rng: random.Random) -> None:
        """Lose the disk of one control node while both others run and have caught up."""
        node = rng.choice(self.nodes.control)
        others = [other for other in self.nodes.control if other is not node]
        now_ms = self.now_ms()
        caught_up = all(
            end_ms + RECOVERY_MS < now_ms
            for other in self.nodes.control
            for _, end_ms in self.fault_spans.get(other.ip, [])
        )
        if not caught_up or not all(other.running and not other.suspended for other in others):
            return
        node.signal(signal.SIGKILL)
        if node.process is not None:
            await asyncio.to_thread(node.process.wait)
        node.remove_data()
        # The wiped node catches up from the two others, so they are exempt from faults until then.
        for other in others:
            other.protected = True
        await self._hold_fault(rng, node.ip)
        self._restart(node)
        await asyncio.sleep(RECONNECT_MS / MS_PER_SECOND)
        for other in others:
            other.protected = False

    async def _disturb_front(self, rng: random.Random) -> None:
        proxy = rng.choice(list(self.entry_proxies.values()))
        await self._disturb_proxy(rng, proxy, proxy.target[0])

    async def _disturb_back(self, rng: random.Random) -> None:
        upstream = rng.choice(self.upstreams)
        await self._disturb_proxy(rng, self.proxy_of(upstream), upstream.instance)

    async def _disturb_proxy(self, rng: random.Random, proxy: Proxy, name: str) -> None:
        disturbance = rng.choice(("delay", "reset", "in", "out", "both", "refuse"))
        if disturbance == "delay":
            proxy.delay_ms = rng.uniform(20.0, 400.0)
        elif disturbance == "reset":
            proxy.reset()
        elif disturbance == "refuse":
            proxy.refusing = True
        else:
            proxy.blocked = {"in", "out"} if disturbance == "both" else {disturbance}
        await self._hold_fault(rng, name)
        proxy.heal()

    async def _upstream_mode(self, rng: random.Random) -> None:
        upstream = rng.choice(self.upstreams)
        upstream.mode = rng.choice(
            ("slow", "grey", "lost", "full", "garbled", "unframed", "endless")
        )
        await self._hold_fault(rng, upstream.instance)
        upstream.mode = "sound"

    async def _upstream_crash(self, rng: random.Random) -> None:
        """Crash an upstream and restart it as a new instance, possibly of the other service."""
        upstream = rng.choice([item for item in self.upstreams if item.running])
        crashed = upstream.instance
        upstream.crash()
        await self._hold_fault(rng, crashed)
        if upstream.leaving_since_ms is None and not upstream.running:
            if rng.random() >= KEPT_ID_SHARE:
                upstream.instance = self.new_instance_id()
            upstream.version = rng.choice(VERSIONS)
            others = [item for item in self.upstreams if item is not upstream and item.running]
            if sum(item.service == upstream.service for item in others) >= 2:
                upstream.service = rng.choice("ab")
            await upstream.start()

    async def _upstream_leaves(self, rng: random.Random) -> None:
        """Drain and remove an upstream after adding a replacement for it."""
        candidates = [
            item for item in self.upstreams if item.leaving_since_ms is None and item.running
        ]
        upstream = rng.choice(candidates)
        replacement = self._add_upstream(upstream.service)
        await replacement.start()
        await self.proxy_of(replacement).start()
        upstream.leaving_since_ms = self.now_ms()
        await asyncio.sleep((DRAIN_MS + RECONNECT_MS) / MS_PER_SECOND)
        upstream.crash()
        self.upstreams.remove(upstream)

    async def _release(self, rng: random.Random) -> None:
        """Replace the upstreams of streams by another version; kill all entry nodes meanwhile."""
        former = [
            item
            for item in self.upstreams
            if item.service == STREAM_SERVICE and item.leaving_since_ms is None and item.running
        ]
        version = rng.choice(VERSIONS)
        for _ in former:
            replacement = self._add_upstream(STREAM_SERVICE)
            replacement.version = version
            await replacement.start()
            await self.proxy_of(replacement).start()
        await asyncio.sleep(rng.uniform(0.0, RECONNECT_MS / MS_PER_SECOND))
        for item in former:
            item.leaving_since_ms = self.now_ms()
        await asyncio.sleep(rng.uniform(0.0, DRAIN_MS / MS_PER_SECOND))
        await self._herd(rng)
        await asyncio.sleep((DRAIN_MS + RECONNECT_MS) / MS_PER_SECOND)
        for item in former:
            item.crash()
            if item in self.upstreams:
                self.upstreams.remove(item)

    async def _upstream_limit(self, rng: random.Random) -> None:
        """Let an upstream name a limit for some seconds."""
        await name_limit(self, rng)

    async def _upstream_rests(self, rng: random.Random) -> None:
        """Let an upstream reject requests and ask for rests."""
        await ask_for_rest(self, rng)

    async def _list_mode(self, rng: random.Random) -> None:
        self.upstream_list.mode = rng.choice(("down", "busy"))
        await self._hold_fault(rng, "list")
        self.upstream_list.mode = "sound"

    def report(self) -> str:
        """Return a summary of the traffic, the faults and the violations."""
        outcomes = Counter("served" if call.served else str(call.status) for call in self.calls)
        resumed = [call for call in self.calls if call.takes_up]
        lines = [
            f"seed {self.seed}: {len(self.calls)} calls {dict(outcomes)}",
            f"  {len(self.arrivals)} arrivals at upstreams; versions acknowledged: "
            f"{len(self.operators.acknowledged_ms)}, reads: {self.operators.reads}",
            f"  attempts to take up a stream: {len(resumed)}, "
            f"completed: {sum(call.served for call in resumed)}; limits named: "
            f"{sum(map(len, self.limits.values()))}",
            f"  crashes by prompts: {len(self.prompts.crashes)}; prompts refused: "
            f"{sum(call.blocked for call in self.calls)}",
            f"  faults: {dict(sorted(self.faults.items()))}",
            *(f"  BROKEN {violation}" for violation in self.violations[:20]),
        ]
        if len(self.violations) > 20:
            lines.append(f"  and {len(self.violations) - 20} more")
        return "\n".join(lines)


def _host_port(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def main(argv: list[str] | None = None) -> int:
    """Run one seed and return the exit code."""
    options = docopt(__doc__, sys.argv[1:] if argv is None else argv)
    folder = Path(options["--folder"] or tempfile.mkdtemp(prefix="soak-"))
    entry_count = int(options["--processes"]) - CONTROL_NODES
    if entry_count < 1:
        print(
            f"{options['--processes']} processes do not exceed the {CONTROL_NODES} control nodes.",
            file=sys.stderr,
        )
        return 2
    soak = Soak(int(options["--seed"]), float(options["--seconds"]), entry_count, folder)
    # Exit by an exception, so that the nodes are terminated as well.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(EXIT_TERMINATED))
    passed = asyncio.run(soak.run())
    print(soak.report())
    print(f"  logs: {folder}")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
