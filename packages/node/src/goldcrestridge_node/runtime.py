"""Run the core of a node: feed it events and timer ticks, and carry out its effects."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
from attrs import Factory, define, field

from goldcrestridge_core.clock import MS_PER_SECOND, Clock
from goldcrestridge_core.types import Count, Emit, Role, Send, Tick

IDLE_WAIT_MS = 60_000.0


def _respond_never(effect: Any) -> Any:
    raise AssertionError(f"{type(effect).__name__} is no response of this node.")


@define
class Outputs:
    """Functions that carry out the effects of the core.

    ``handlers`` holds the functions for further types of effects, and ``handle_other`` takes the
    effects without one. An effect whose type is among ``responses`` goes to ``respond``, which
    returns False if the buffer of the caller is full; ``respond_when_ready`` then waits for room.
    """

    send: Callable[[Send], None]
    emit: Callable[[Emit], None]
    count: Callable[[Count], None]
    handle_other: Callable[[Any], None]
    handlers: dict[type, Callable[[Any], None]] = Factory(dict)
    responses: frozenset[type] = frozenset()
    respond: Callable[[Any], bool] = _respond_never
    respond_when_ready: Callable[[Any], Any] = _respond_never


@define
class Driver:
    """Feed events to the core one at a time and carry out its effects.

    An event that is posted while an effect is carried out is queued behind the current one, so that
    the core is never re-entered.
    """

    role: Role
    clock: Clock
    outputs: Outputs
    _events: deque[Any] = field(factory=deque)
    _busy: bool = False
    _blocked: list[Any] = field(factory=list)
    _timer_ms: float = 0.0
    _wake: anyio.Event = field(factory=anyio.Event)
    _tasks: anyio.abc.TaskGroup | None = None
    _handlers: dict[type, Callable[[Any], None]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the table of handlers; a lookup by the exact effect type is the fastest."""
        outputs = self.outputs
        self._handlers = {
            Send: outputs.send,
            Count: outputs.count,
            Emit: outputs.emit,
            **outputs.handlers,
        }

    def post(self, event: Any) -> None:
        """Apply an event; a separate task delivers each response that must wait for its caller."""
        for effect in self._apply(event):
            if self._tasks is not None:
                self._tasks.start_soon(self.outputs.respond_when_ready, effect)

    async def post_and_wait(self, event: Any) -> None:
        """Apply an event and wait until its responses are in the buffers of their callers."""
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
                # Let other tasks run even if the core always has an overdue deadline.
                await anyio.lowlevel.checkpoint()
                return
            self._wake = anyio.Event()
            with anyio.move_on_after((self._timer_ms - now_ms) / MS_PER_SECOND):
                await self._wake.wait()

    def _apply(self, event: Any) -> list[Any]:
        """Apply an event and those that its effects post; return the responses that must wait."""
        self._events.append(event)
        if self._busy:
            return []
        self._busy = True
        self._blocked = []
        try:
            while self._events:
                for effect in self.role.handle(self._events.popleft(), self.clock.now_ms()):
                    self._perform(effect)
        finally:
            self._busy = False
        deadline = self.role.next_deadline_ms()
        if deadline is not None and deadline < self._timer_ms:
            self._wake.set()
        return self._blocked

    def _perform(self, effect: Any) -> None:
        kind = type(effect)
        if kind in self.outputs.responses:
            if not self.outputs.respond(effect):
                self._blocked.append(effect)
            return
        handler = self._handlers.get(kind, self.outputs.handle_other)
        handler(effect)
