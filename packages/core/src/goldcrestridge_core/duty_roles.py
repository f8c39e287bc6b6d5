"""Duties of the control leader towards the platform: usage reports and orders of upstreams.

The role decides what to send and when; a task sends the calls and posts their answers.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from attrs import define, field, frozen

from goldcrestridge_core.duties import RESOURCE, DutyLease
from goldcrestridge_core.follow_types import UpstreamInstance
from goldcrestridge_core.scale_types import ScaleBounds
from goldcrestridge_core.scaling import ScaleOrder, ScaleOrders
from goldcrestridge_core.store import Store
from goldcrestridge_core.types import Count, Emit, NodeId, ProposalDone
from goldcrestridge_core.usage import UsageDue, UsageLedger

# The duties are checked at events of the log, which come more often.
CHECK_INTERVAL_MS = 50.0
# Delay before a usage report is sent again, doubled with each failure up to the maximum.
RETRY_MS = 200.0
MAX_RETRY_MS = 500.0
# The platform answered that it takes the call, or that it has no upstreams for an order now.
ACCEPTED = 200
NONE_AVAILABLE = 409
# Answers after which the same call may succeed later.
RETRIED = frozenset((0, 408, 429, 500, 502, 503, 504))


@frozen
class DutyOptions:
    """What the deployment asks of the duties; ``usage_window_ms`` is 0 without usage reports.

    ``scale_bounds`` returns the bounds of the services of a document whose number of upstreams the
    platform lets the router order.
    """

    holder: str
    session: str
    lease_ms: float
    usage_window_ms: float = 0.0
    scale_bounds: Callable[[bytes], tuple[ScaleBounds, ...]] = lambda _document: ()


@frozen
class CallPlatform:
    """Effect: send a call, unless ``valid_until_ms`` has passed; PlatformAnswered follows."""

    ticket: str
    content: UsageDue | ScaleOrder
    holder: str
    fencing: int
    valid_until_ms: float


@frozen
class PlatformAnswered:
    """Event: the status of the answer to a call, or 0 if there was none."""

    ticket: str
    status: int


@define
class _Retry:
    due_ms: float
    delay_ms: float = RETRY_MS


@define
class Duties:
    """Hold the lease of the duties while this node leads, and fulfil them."""

    node: NodeId
    options: DutyOptions
    lease: DutyLease = field(init=False)
    usage: UsageLedger | None = field(init=False)
    _orders: ScaleOrders = field(factory=ScaleOrders)
    _calls: dict[str, UsageDue | ScaleOrder] = field(factory=dict)
    _reported: set[int] = field(factory=set)  # Windows whose report the platform has taken.
    _retries: dict[int, _Retry] = field(factory=dict)
    _bounds: tuple[int, tuple[ScaleBounds, ...]] = (0, ())
    _checked_ms: float = -math.inf
    _tickets: Iterator[int] = field(factory=itertools.count)
    _fencing: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the parts that the deployment asks for."""
        options = self.options
        self.lease = DutyLease(self.node, options.session, options.lease_ms)
        window_ms = options.usage_window_ms
        self.usage = UsageLedger(window_ms) if window_ms else None

    def advance(
        self, leads: bool, store: Store, instances: Sequence[UpstreamInstance], now_ms: float
    ) -> list[Any]:
        """Return proposals and calls that are due; to be called after each event."""
        if now_ms < self._checked_ms + CHECK_INTERVAL_MS:
            return []
        self._checked_ms = now_ms
        effects = self.lease.advance(leads, store.leases.records.get(RESOURCE), now_ms)
        if self._fencing != self.lease.fencing:
            self._fencing = self.lease.fencing
            self._orders.forget()
        if not leads:
            if self.usage is not None:
                self.usage.stop_leading()
            return effects
        if self.usage is not None:
            effects += self.usage.advance(store, self.node, now_ms)
        if not self.lease.is_valid(now_ms):
            return effects
        if self.usage is not None:
            effects += self._report_usage(self.usage.due(store.claims), now_ms)
        return effects + self._order(store, instances, now_ms)

    def _report_usage(self, due: list[UsageDue], now_ms: float) -> list[Any]:
        """Send the first report that the platform has not taken yet; one at a time."""
        windows = {item.window for item in due}
        self._reported &= windows
        self._retries = {key: item for key, item in self._retries.items() if key in windows}
        if any(isinstance(content, UsageDue) for content in self._calls.values()):
            return []
        waiting = (
            item
            for item in due
            if item.window not in self._reported
            and self._retries.get(item.window, _Retry(-math.inf)).due_ms <= now_ms
        )
        return [self._call(item) for item in itertools.islice(waiting, 1)]

    def _order(
        self, store: Store, instances: Sequence[UpstreamInstance], now_ms: float
    ) -> list[Any]:
        document = store.versions.current
        if self._bounds[0] != document.version:
            self._bounds = document.version, self.options.scale_bounds(document.document)
        if not instances:
            return []
        effects: list[Any] = []
        in_flight = {item.key for item in self._calls.values() if isinstance(item, ScaleOrder)}
        for bounds in self._bounds[1]:
            for order in self._orders.due(bounds, instances, now_ms):
                if order.key not in in_flight:
                    self._orders.sent(order, bounds, now_ms)
                    effects.append(self._call(order))
        return effects

    def _call(self, content: UsageDue | ScaleOrder) -> CallPlatform:
        ticket = f"duty {next(self._tickets)}"
        self._calls[ticket] = content
        lease = self.lease
        return CallPlatform(
            ticket, content, self.options.holder, lease.fencing, lease.valid_until_ms
        )

    def confirm(self, done: ProposalDone) -> list[Any]:
        """Apply the result of a proposal of the lease."""
        return self.lease.confirm(done)

    def answered(self, answer: PlatformAnswered, now_ms: float) -> list[Any]:
        """Apply the answer of the platform to a call."""
        content = self._calls.pop(answer.ticket, None)
        if isinstance(content, UsageDue):
            return self._usage_answered(content, answer.status, now_ms)
        if isinstance(content, ScaleOrder):
            return self._order_answered(content, answer.status, now_ms)
        return []

    def _usage_answered(self, due: UsageDue, status: int, now_ms: float) -> list[Any]:
        if status in RETRIED:
            delay_ms = self._retries.get(due.window, _Retry(0.0)).delay_ms
            next_delay_ms = min(MAX_RETRY_MS, 2 * delay_ms)
            self._retries[due.window] = _Retry(now_ms + delay_ms, next_delay_ms)
        else:
            self._reported.add(due.window)
            self._retries.pop(due.window, None)
        detail = (
            ("window", due.window),
            ("requests", sum(due.counts.values())),
            ("fencing", self.lease.fencing),
            ("status", status),
        )
        count = Count("usage_reports", 1, (("status", str(status)),))
        return [Emit("usage_reported", detail=detail), count]

    def _order_answered(self, order: ScaleOrder, status: int, now_ms: float) -> list[Any]:
        if status == NONE_AVAILABLE:
            self._orders.refused(order, now_ms)
        elif status != ACCEPTED:
            self._orders.failed(order, now_ms)
        key = order.key
        detail = (
            ("service", key.service),
            ("data_centre", key.data_centre),
            ("spot", int(key.spot)),
            ("desired", order.desired),
            ("fencing", self.lease.fencing),
            ("status", status),
        )
        count = Count("upstream_orders", 1, (("status", str(status)),))
        return [Emit("upstreams_ordered", detail=detail), count]
