"""Simulation of streams at upstreams that restart under their ids, with lists that are late."""

from __future__ import annotations

import random
from collections.abc import Iterable

from attrs import define, evolve, field

from goldcrestridge_core.demand import Demand
from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.placement import Placement
from goldcrestridge_core.stream_origins import StreamOrigin

STEP_MS = 10.0
LAG_MS = 800.0
LIST_INTERVAL_MS = 1_000.0
POLL_INTERVAL_MS = 500.0
MAX_GAP_MS = POLL_INTERVAL_MS + 600.0
EVENT_INTERVAL_MS = 50.0
# A node that is suspended or cut off notices nothing.
AWAY = ("frozen", "cut off")


@define
class Server:
    """One upstream; ``up`` is false between a crash and the next start."""

    item: UpstreamInstance
    up: bool = True

    def start(self, version: str) -> None:
        self.item = evolve(self.item, version=version, born=self.item.born + 1)
        self.up = True


@define
class Conn:
    """A connection of a node to one run of a server."""

    server: Server
    life: str
    opened_ms: float

    @property
    def alive(self) -> bool:
        return self.server.up and self.server.item.life == self.life


@define(eq=False)
class Stream:
    """A stream of a caller: the versions of its events and where it runs now."""

    node: Node
    left_events: int
    origin: StreamOrigin | None = None
    item: UpstreamInstance | None = None
    conn: Conn | None = None
    versions: set[str] = field(factory=set)
    next_ms: float = 0.0
    tries_left: int = 2


@define(eq=False)
class Node:
    """An entry node with its connections and what it was told."""

    name: str
    placement: Placement
    idle: list[Conn] = field(factory=list)
    away: str = ""
    next_poll_ms: float = 0.0
    asked_ms: float = 0.0
    # The reply that is under way while the node is frozen.
    waiting: tuple[tuple[UpstreamInstance, ...], float, float] | None = None

    @property
    def frozen(self) -> bool:
        return self.away == "frozen"


@define
class RestartFleet:
    """Entry nodes in front of servers, the list of which reaches them late."""

    rng: random.Random
    servers: list[Server]
    nodes: list[Node] = field(factory=list)
    now_ms: float = 0.0
    streams: list[Stream] = field(factory=list)
    ended: list[Stream] = field(factory=list)
    taken_up: int = 0
    went_on: int = 0
    _history: list[tuple[float, tuple[UpstreamInstance, ...]]] = field(factory=list)
    _listed: tuple[UpstreamInstance, ...] = ()
    _listed_ms: float = 0.0

    def add_nodes(self, count: int) -> None:
        for number in range(count):
            placement = Placement("dc", random.Random(self.rng.random()))
            self.nodes.append(Node(f"x{number}", placement))

    def run(self, duration_ms: float, streams_per_s: float = 0.0) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self._update_lists()
            if self.rng.random() < streams_per_s * STEP_MS / 1_000.0:
                node = self.rng.choice([node for node in self.nodes if not node.frozen])
                stream = Stream(node, self.rng.randrange(5, 60))
                if self._send(stream):
                    self.streams.append(stream)
            for stream in list(self.streams):
                if not stream.node.frozen:
                    self._advance(stream)

    # The list.

    def _update_lists(self) -> None:
        shown = tuple(server.item for server in self.servers)
        if not self._history or self._history[-1][1] != shown:
            self._history.append((self.now_ms, shown))
        if self.now_ms >= self._listed_ms + LIST_INTERVAL_MS:
            self._listed_ms = self.now_ms
            past = [items for at_ms, items in self._history if at_ms <= self.now_ms - LAG_MS]
            self._listed = past[-1] if past else self._history[0][1]
        for node in self.nodes:
            if node.waiting is not None and not node.frozen:
                self._deliver(node, node.waiting)
                node.waiting = None
            if self.now_ms < node.next_poll_ms or node.away:
                continue
            node.next_poll_ms = self.now_ms + POLL_INTERVAL_MS
            self._deliver(node, (self._listed, self._listed_ms, self.now_ms))

    def _deliver(
        self, node: Node, reply: tuple[tuple[UpstreamInstance, ...], float, float]
    ) -> None:
        items, listed_ms, asked_ms = reply
        node.placement.set_instances(items, self.now_ms)
        node.placement.proofs.confirm(listed_ms - LAG_MS, asked_ms, MAX_GAP_MS)

    def send_away(self, node: Node, how: str) -> None:
        """Suspend a node or cut it off; a reply to its last request waits for a suspended one."""
        node.away = how
        if how == "frozen" and self.rng.random() < 0.5:
            node.waiting = (self._listed, self._listed_ms, self.now_ms)

    # Streams.

    def _connect(self, node: Node, item: UpstreamInstance) -> Conn | None:
        server = next(one for one in self.servers if one.item.instance == item.instance)
        kept = [conn for conn in node.idle if conn.server is server]
        for conn in kept:
            node.idle.remove(conn)
            if conn.alive:
                return conn
            node.placement.record_loss(item.address, self.now_ms)
        if not server.up:
            node.placement.record_unreachable(item, self.now_ms)
            return None
        return Conn(server, server.item.life, self.now_ms)

    def _send(self, stream: Stream) -> bool:
        """Send a stream to an instance; return whether it runs there now."""
        node, tried = stream.node, set[str]()
        while (
            item := node.placement.choose("s", Demand(origin=stream.origin), tried, self.now_ms)
        ) is not None:
            tried.add(item.instance)
            conn = self._connect(node, item)
            if conn is None:
                continue
            if stream.origin is not None and not node.placement.runs(item, self.now_ms):
                node.idle.append(conn)
                continue
            stream.item, stream.conn = item, conn
            stream.next_ms = self.now_ms + EVENT_INTERVAL_MS
            return True
        return False

    def _advance(self, stream: Stream) -> None:
        assert stream.conn is not None
        assert stream.item is not None
        node, item, conn = stream.node, stream.item, stream.conn
        if not conn.alive:
            node.placement.record_failure(item, self.now_ms)
            if conn.server.up:
                read_ms = stream.next_ms - EVENT_INTERVAL_MS
                node.placement.proofs.record_accepted(item.instance, read_ms, self.now_ms)
            self._go_on(stream)
        elif self.now_ms >= stream.next_ms:
            stream.next_ms = self.now_ms + EVENT_INTERVAL_MS
            stream.versions.add(conn.server.item.version)
            stream.left_events -= 1
            node.placement.proofs.record_read(item.instance, conn.opened_ms, self.now_ms)
            if stream.origin is None or not stream.origin.version:
                runs = node.placement.answers(item, conn.opened_ms, self.now_ms)
                version = item.version if runs else ""
                stream.origin = StreamOrigin("r", "s", item.instance, version)
            if not stream.left_events:
                node.idle.append(conn)
                self._end(stream)

    def _go_on(self, stream: Stream) -> None:
        """Go on in the same answer, or let the caller take the stream up at another node."""
        if not stream.versions:
            self._end(stream)  # It has not begun.
        elif not self._send(stream):
            self.taken_up += 1
            stream.tries_left -= 1
            others = [node for node in self.nodes if not node.frozen and node is not stream.node]
            away = [node for node in others if node.away or node.placement.proofs is None]
            stream.node = self.rng.choice(away or others)
            fits = stream.origin is not None and stream.node.placement.serves_version(stream.origin)
            if stream.tries_left >= 0 and fits and self._send(stream):
                self.went_on += 1
            else:
                self._end(stream)

    def _end(self, stream: Stream) -> None:
        self.streams.remove(stream)
        self.ended.append(stream)

    def mixed(self) -> list[Stream]:
        """Return the streams that hold events of several versions."""
        return [stream for stream in (*self.ended, *self.streams) if len(stream.versions) > 1]


def servers(versions: Iterable[str]) -> list[Server]:
    """Return servers of the given versions."""
    return [
        Server(UpstreamInstance(f"i{number}", "s", f"10.0.0.{number}:80", "dc", 20, False, version))
        for number, version in enumerate(versions)
    ]
