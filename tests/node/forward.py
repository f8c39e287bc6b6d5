"""Minimal replacement of the requests role that starts attempts at once and forwards events."""

from __future__ import annotations

from typing import Any

import anyio
from anyio.abc import TaskStatus
from attrs import define, field

from goldcrestridge_core.call_types import (
    AttemptChunk,
    AttemptEnd,
    AttemptFailed,
    AttemptHead,
    Call,
    CallerGone,
    CallerRequest,
    CancelAttempt,
    RespondChunk,
    RespondEnd,
    RespondFailure,
    RespondHead,
    StartAttempt,
)
from goldcrestridge_core.classes import classify
from goldcrestridge_core.config import Configuration
from goldcrestridge_core.types import Outcome, Reason, RequestId
from goldcrestridge_node.caller_connection import ServerOptions
from goldcrestridge_node.edge import Edge, EdgeHooks
from goldcrestridge_node.exchange import EdgeOptions, Page
from goldcrestridge_node.server import serve
from goldcrestridge_node.upstream import AttemptEvent, UpstreamClient, UpstreamOptions


@define(eq=False)
class RunningRequest:
    """A request in flight, with the text and the number of tokens delivered to its caller."""

    call: Call
    attempt: int = 1
    text: str = ""
    tokens: int = 0
    has_head: bool = False


@define(eq=False)
class Forwarder:
    """Edge and upstream client of a node, connected without queue, limits or retry budget.

    The first attempt goes to the first upstream of the pool. A request that can be moved after a
    failure goes to the next upstream, if there is one. ``failures`` are the failed attempts,
    ``calls`` the accepted calls, and ``disconnected`` the requests whose caller has disconnected.
    """

    cfg: Configuration
    edge_options: EdgeOptions = field(factory=EdgeOptions)
    upstream_options: UpstreamOptions = field(factory=UpstreamOptions)
    priority: int = 3
    failures: list[AttemptFailed] = field(factory=list)
    calls: list[Call] = field(factory=list)
    disconnected: list[RequestId] = field(factory=list)
    keep_calls: bool = True
    edge: Edge = field(init=False)
    client: UpstreamClient = field(init=False)
    _running: dict[RequestId, RunningRequest] = field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        """Connect the edge and the upstream client."""
        upstreams = {
            upstream.name: upstream
            for pool in self.cfg.pools.values()
            for upstream in pool.upstreams
        }
        hooks = EdgeHooks(
            submit=self.submit,
            addresses=lambda _workspace, site: Page(
                b'{"addresses":["127.0.0.1:1"],"ttl_ms":1000,"site":"%b"}' % site.encode()
            ),
            health=lambda: Page(b"{}"),
            ready=lambda: Page(b"{}"),
            metrics=lambda: Page(b"# none\n", content_type=b"text/plain"),
        )
        self.edge = Edge(hooks, next(iter(self.cfg.sites), ""), self.edge_options)
        self.edge.set_config(self.cfg, lambda *fields: classify(self.cfg, *fields))
        self.client = UpstreamClient(upstreams.get, self.emit, self.upstream_options)

    def submit(self, event: CallerRequest | CallerGone) -> None:
        """Start the first attempt of a request, or cancel its current attempt."""
        request_id = event.request_id
        if isinstance(event, CallerRequest):
            if self.keep_calls:
                self.calls.append(event.call)
            self._running[request_id] = RunningRequest(event.call)
            self._start(request_id)
            return
        self.disconnected.append(request_id)
        running = self._running.pop(request_id, None)
        if running is not None:
            self.client.cancel(CancelAttempt(request_id, running.attempt))

    async def emit(self, event: AttemptEvent) -> None:
        """Forward an event of the current attempt to the caller; drop those of earlier attempts."""
        running = self._running.get(event.request_id)
        if running is None or running.attempt != event.attempt:
            return
        effect = self._effect(event, running)
        if effect is not None and not self.edge.deliver_nowait(effect):
            await self.edge.deliver(effect)

    def _effect(self, event: AttemptEvent, running: RunningRequest) -> Any:
        request_id = event.request_id
        if isinstance(event, AttemptChunk):
            running.text += event.text
            running.tokens += event.tokens
            return RespondChunk(request_id, event.data)
        if isinstance(event, AttemptHead):
            if running.has_head:
                return None
            running.has_head = True
            return RespondHead(request_id, event.status, event.headers)
        if isinstance(event, AttemptEnd):
            del self._running[request_id]
            return RespondEnd(request_id)
        return self._handle_failure(event, running)

    def _handle_failure(
        self, event: AttemptFailed, running: RunningRequest
    ) -> RespondFailure | None:
        self.failures.append(event)
        upstreams = self.cfg.pools[running.call.pool].upstreams
        may_move = running.call.continuable or not event.sent or event.leaving
        if may_move and running.attempt < len(upstreams):
            running.attempt += 1
            self._start(event.request_id)
            return None
        del self._running[event.request_id]
        ran = event.sent and not event.leaving
        outcome = Outcome.FAILED if ran else Outcome.NOT_RUN
        if ran and not running.call.repeatable:
            outcome = Outcome.UNKNOWN
        return RespondFailure(
            event.request_id, outcome, Reason.UPSTREAM_LOST, event.reason, retry_after_ms=1200.0
        )

    def _start(self, request_id: RequestId) -> None:
        running = self._running[request_id]
        upstream = self.cfg.pools[running.call.pool].upstreams[running.attempt - 1]
        self.client.start(
            StartAttempt(
                request_id,
                running.attempt,
                upstream.name,
                running.call,
                self.priority,
                running.text,
                running.tokens,
            )
        )

    async def run(
        self,
        sock: Any,
        stop: anyio.Event,
        options: ServerOptions | None = None,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve callers on ``sock`` until ``stop`` is set."""
        async with anyio.create_task_group() as group:
            await group.start(self.client.run)
            await serve(self.edge, [sock], stop, options, task_status=task_status)
            group.cancel_scope.cancel()
