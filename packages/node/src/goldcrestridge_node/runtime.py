"""Runtime of one node: moves bytes between sockets, files, timers and the core."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
from attrs import define, field

from goldcrestridge_core.call_types import (
    CancelAttempt,
    RespondChunk,
    RespondEnd,
    RespondFailure,
    RespondHead,
    StartAttempt,
)
from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_core.exceptions import InvariantError
from goldcrestridge_core.log_types import TruncateLog, WriteLog, WriteSnapshot
from goldcrestridge_core.types import Count, Emit, Role, Send, Tick

IDLE_WAIT_MS = 60_000.0

RESPONSE_EFFECTS = frozenset((RespondHead, RespondChunk, RespondEnd, RespondFailure))
STORAGE_EFFECTS = (WriteLog, WriteSnapshot, TruncateLog)


def _unexpected(effect: Any) -> Any:
    """Stop the process: a role returned an effect that its node has no output for."""
    raise InvariantError(f"{type(effect).__name__} has no output on this node.")


@define
class Outputs:
    """Where the effects of the core go; ``answer`` returns False if its caller is slow."""

    send: Callable[[Send], None]
    emit: Callable[[Emit], None]
    count: Callable[[Count], None]
    other: Callable[[Any], None]
    respond: Callable[[Any], bool] = _unexpected
    respond_when_ready: Callable[[Any], Any] = _unexpected
    start: Callable[[StartAttempt], None] = _unexpected
    cancel: Callable[[CancelAttempt], None] = _unexpected
    write: Callable[[Any], None] = _unexpected


@define
class Driver:
    """Feed events to the core one at a time and carry out its effects.

    An event that an effect causes at once is queued behind the current one, so the core is never
    entered twice.
    """

    role: Role
    clock: Clock
    outputs: Outputs
    _events: deque[Any] = field(factory=deque)
    _busy: bool = False
    _slow: list[Any] = field(factory=list)
    _timer_ms: float = 0.0
    _wake: anyio.Event = field(factory=anyio.Event)
    _tasks: anyio.abc.TaskGroup | None = None
    _handlers: dict[type, Callable[[Any], None]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Look the handler of each kind of effect up by its type, which is the cheapest."""
        outputs = self.outputs
        self._handlers = {
            Send: outputs.send,
            Count: outputs.count,
            Emit: outputs.emit,
            StartAttempt: outputs.start,
            CancelAttempt: outputs.cancel,
            **dict.fromkeys(STORAGE_EFFECTS, outputs.write),
        }

    def post(self, event: Any) -> None:
        """Apply an event; answers to slow callers are delivered by a task of their own."""
        for effect in self._apply(event):
            if self._tasks is not None:
                self._tasks.start_soon(self.outputs.respond_when_ready, effect)

    async def post_and_wait(self, event: Any) -> None:
        """Apply an event and wait while a caller is slower than its upstream."""
        for effect in self._apply(event):
            await self.outputs.respond_when_ready(effect)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Post a Tick at each deadline of the core until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            task_status.started()
            while True:
                await self._wait_for_deadline()
                self.post(Tick())

    async def _wait_for_deadline(self) -> None:
        while True:
            deadline = self.role.next_deadline_ms()
            now_ms = self.clock.now_ms()
            self._timer_ms = now_ms + IDLE_WAIT_MS if deadline is None else deadline
            if self._timer_ms <= now_ms:
                # Other tasks get a turn even if the core is due again at once.
                await anyio.lowlevel.checkpoint()
                return
            self._wake = anyio.Event()
            with anyio.move_on_after((self._timer_ms - now_ms) / MS_PER_SECOND):
                await self._wake.wait()

    def _apply(self, event: Any) -> list[Any]:
        """Apply an event with all that it causes; return the answers that must wait."""
        self._events.append(event)
        if self._busy:
            return []
        self._busy = True
        self._slow = []
        try:
            while self._events:
                for effect in self.role.handle(self._events.popleft(), self.clock.now_ms()):
                    self._perform(effect)
        finally:
            self._busy = False
        deadline = self.role.next_deadline_ms()
        if deadline is not None and deadline < self._timer_ms:
            self._wake.set()
        return self._slow

    def _perform(self, effect: Any) -> None:
        kind = type(effect)
        if kind in RESPONSE_EFFECTS:
            if not self.outputs.respond(effect):
                self._slow.append(effect)
            return
        handler = self._handlers.get(kind, self.outputs.other)
        handler(effect)
