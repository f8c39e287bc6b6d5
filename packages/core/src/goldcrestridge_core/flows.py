"""Fair queue of one request class over its workspaces."""

from __future__ import annotations

import heapq
from collections import deque

from attrs import Factory, define, field

from goldcrestridge_core import types
from goldcrestridge_core.config import RequestClass
from goldcrestridge_core.limits import LimitKey, Limits

MAX_LATE_TRIES = 4  # Bounds the time of one decision when limits block many late requests.

FlowKey = tuple[str, str]  # Workspace and site.


@define(eq=False)
class WaitingRequest:
    """A request in the queue; ``cost`` is its expected number of prompt and output tokens.

    From ``late_at_ms`` on, the request would probably miss its first-token target. ``active`` is
    cleared when it is granted or withdrawn. ``granted_by_floor`` is set when it was popped for the
    floor of its class.
    """

    request: types.SlotRequest
    cls: RequestClass
    arrived_ms: float
    deadline_ms: float
    late_at_ms: float
    cost: float
    active: bool = True
    granted_by_floor: bool = False

    @property
    def flow_key(self) -> FlowKey:
        """Return the key of the flow that the request belongs to."""
        return (self.request.workspace, self.request.site)


@define
class _Flow:
    """Requests of one workspace from one site, oldest first."""

    requests: deque[WaitingRequest] = Factory(deque)
    blocked_by: LimitKey | None = None
    heap_entry: int = 0  # Number of the valid entry in the heap of ready flows, 0 if none.


@define
class _Usage:
    """Virtual time that a workspace has used, its backlog in tokens and its waiting requests."""

    share: float
    virtual_time: float = 0.0
    backlog: float = 0.0
    waiting: int = 0
    flows: dict[FlowKey, None] = Factory(dict)

    def projected_virtual_time(self) -> float:
        return self.virtual_time + self.backlog / self.share


@define
class ClassQueue:
    """Start-time fair queue over the workspaces of a class.

    Every grant advances the virtual time of its workspace by cost over share, and the
    workspace with the smallest virtual time is next. A workspace that was idle starts at the
    virtual time of the class, so that an idle period earns it neither credit nor debt. Late
    requests wait in a queue of their own and get slots that no request in time can use.
    """

    cls: RequestClass
    limits: Limits
    shares: dict[str, float]
    count: int = 0
    _virtual_time: float = 0.0
    _counter: int = 0
    _flows: dict[FlowKey, _Flow] = Factory(dict)
    _usages: dict[str, _Usage] = Factory(dict)
    _ready_heap: list[tuple[float, int, FlowKey]] = Factory(list)
    _demand_heap: list[tuple[float, int, FlowKey]] = Factory(list)
    _late: deque[WaitingRequest] = Factory(deque)
    _parked: dict[LimitKey, dict[FlowKey, None]] = Factory(dict)
    _wake_heap: list[tuple[float, LimitKey]] = field(factory=list)

    def push(self, waiting: WaitingRequest) -> None:
        """Append a request to its flow."""
        flow = self._flows.setdefault(waiting.flow_key, _Flow())
        usage = self._usage(waiting.request.workspace)
        if not usage.waiting:
            usage.virtual_time = max(usage.virtual_time, self._virtual_time)
        flow.requests.append(waiting)
        self._account_added(waiting, flow, usage)

    def put_back(self, waiting: WaitingRequest) -> None:
        """Return a popped request that was not granted to the head of its flow."""
        flow = self._flows.setdefault(waiting.flow_key, _Flow())
        flow.requests.appendleft(waiting)
        self._account_added(waiting, flow, self._usage(waiting.request.workspace))

    def pop(self, now_ms: float) -> WaitingRequest | None:
        """Remove and return the next request that no limit blocks, or None."""
        self.wake(now_ms)
        while self._ready_heap:
            virtual_time, number, key = heapq.heappop(self._ready_heap)
            flow = self._flows.get(key)
            if flow is None or flow.heap_entry != number:
                continue
            flow.heap_entry = 0
            _trim_withdrawn(flow)
            if not flow.requests:
                self._remove_flow(key)
                continue
            usage = self._usages[key[0]]
            if usage.virtual_time > virtual_time:
                self._mark_ready(key, flow)
                continue
            blocking = self.limits.find_blocking_limit(key[0], key[1], now_ms)
            if blocking is not None:
                self._park(key, flow, blocking, now_ms)
                continue
            self._virtual_time = max(self._virtual_time, virtual_time)
            waiting = flow.requests.popleft()
            if flow.requests:
                self._mark_ready(key, flow)
            if waiting.late_at_ms <= now_ms:
                self._late.append(waiting)
                continue
            self._account_removed(waiting)
            return waiting
        return None

    def pop_late(self, now_ms: float) -> WaitingRequest | None:
        """Remove and return a late request that no limit blocks, or None."""
        for _ in range(min(len(self._late), MAX_LATE_TRIES)):
            waiting = self._late.popleft()
            if not waiting.active:
                continue
            if self.limits.find_blocking_limit(*waiting.flow_key, now_ms) is not None:
                self._late.append(waiting)
                continue
            self._account_removed(waiting)
            return waiting
        return None

    def charge(self, workspace: str, cost: float) -> None:
        """Advance the virtual time of a workspace; a negative cost is a correction."""
        usage = self._usage(workspace)
        usage.virtual_time = max(0.0, usage.virtual_time + cost / usage.share)
        if cost < 0.0 and usage.waiting:
            for key in usage.flows:
                self._flows[key].heap_entry = 0
                self._mark_ready(key, self._flows[key])

    def remove(self, waiting: WaitingRequest) -> None:
        """Mark a request as withdrawn; it is deleted when it reaches an end of its flow."""
        waiting.active = False
        self._account_removed(waiting)

    def find_shed_candidate(self) -> WaitingRequest | None:
        """Return a late request, else the newest of the workspace that uses most of its share."""
        while self._late and not self._late[0].active:
            self._late.popleft()
        if self._late:
            return self._late[0]
        while self._demand_heap:
            demand, _, key = self._demand_heap[0]
            flow = self._flows.get(key)
            if flow is not None:
                _trim_withdrawn(flow)
            if flow is None or not flow.requests:
                heapq.heappop(self._demand_heap)
                continue
            current = -self._usages[key[0]].projected_virtual_time()
            if current > demand:
                heapq.heapreplace(self._demand_heap, (current, self._next_number(), key))
                continue
            return flow.requests[-1]
        return None

    def unpark(self, key: LimitKey) -> None:
        """Make the flows that a limit blocked ready again."""
        for flow_key in self._parked.pop(key, {}):
            flow = self._flows[flow_key]
            flow.blocked_by = None
            self._mark_ready(flow_key, flow)

    def wake(self, now_ms: float) -> None:
        """Make the flows whose token budget became positive ready again."""
        while self._wake_heap and self._wake_heap[0][0] <= now_ms:
            self.unpark(heapq.heappop(self._wake_heap)[1])

    def waiting_count(self, workspace: str) -> int:
        """Return the number of waiting requests of a workspace."""
        usage = self._usages.get(workspace)
        return usage.waiting if usage else 0

    def next_wake_ms(self) -> float | None:
        """Return when the next token budget that blocks a flow becomes positive, or None."""
        return self._wake_heap[0][0] if self._wake_heap else None

    def _usage(self, workspace: str) -> _Usage:
        usage = self._usages.get(workspace)
        if usage is None:
            share = max(1e-6, self.shares.get(workspace, 1.0))
            usage = self._usages[workspace] = _Usage(share, virtual_time=self._virtual_time)
        return usage

    def _account_added(self, waiting: WaitingRequest, flow: _Flow, usage: _Usage) -> None:
        usage.backlog += waiting.cost
        usage.waiting += 1
        usage.flows[waiting.flow_key] = None
        self.count += 1
        if flow.blocked_by is None:
            self._mark_ready(waiting.flow_key, flow)
        heapq.heappush(
            self._demand_heap,
            (-usage.projected_virtual_time(), self._next_number(), waiting.flow_key),
        )
        if len(self._demand_heap) > 4 * (len(self._flows) + self.count) + 64:
            self._compact()

    def _account_removed(self, waiting: WaitingRequest) -> None:
        usage = self._usages[waiting.request.workspace]
        usage.backlog -= waiting.cost
        usage.waiting -= 1
        self.count -= 1

    def _mark_ready(self, key: FlowKey, flow: _Flow) -> None:
        if flow.heap_entry or flow.blocked_by is not None:
            return
        flow.heap_entry = self._next_number()
        heapq.heappush(self._ready_heap, (self._usages[key[0]].virtual_time, flow.heap_entry, key))

    def _park(self, key: FlowKey, flow: _Flow, blocking: LimitKey, now_ms: float) -> None:
        flow.blocked_by = blocking
        self._parked.setdefault(blocking, {})[key] = None
        wait_ms = self.limits.token_budget_wait_ms(blocking, now_ms)
        if wait_ms is not None and wait_ms != float("inf"):
            heapq.heappush(self._wake_heap, (now_ms + wait_ms, blocking))

    def _remove_flow(self, key: FlowKey) -> None:
        """Delete an empty flow, and its workspace once the class reached its virtual time."""
        del self._flows[key]
        usage = self._usages[key[0]]
        del usage.flows[key]
        if not usage.flows and not usage.waiting and usage.virtual_time <= self._virtual_time:
            del self._usages[key[0]]

    def _compact(self) -> None:
        """Delete withdrawn requests and empty flows, and rebuild the heap by demand."""
        for key, flow in list(self._flows.items()):
            flow.requests = deque(w for w in flow.requests if w.active)
            if not flow.requests and flow.blocked_by is None:
                self._remove_flow(key)
        self._late = deque(w for w in self._late if w.active)
        for workspace, usage in list(self._usages.items()):
            if not usage.flows and not usage.waiting and usage.virtual_time <= self._virtual_time:
                del self._usages[workspace]
        self._demand_heap = [
            (-self._usages[key[0]].projected_virtual_time(), self._next_number(), key)
            for key in self._flows
        ]
        heapq.heapify(self._demand_heap)

    def _next_number(self) -> int:
        self._counter += 1
        return self._counter


def _trim_withdrawn(flow: _Flow) -> None:
    """Delete withdrawn requests from both ends of a flow."""
    while flow.requests and not flow.requests[0].active:
        flow.requests.popleft()
    while flow.requests and not flow.requests[-1].active:
        flow.requests.pop()
