"""Connection of one caller: uvicorn's protocol with limits on what it reads and holds."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

import h11
from attrs import define
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.h11_impl import H11Protocol

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_core.connection_ledger import Phase
from goldcrestridge_core.process_limits import CONNECTION_BYTES, REQUEST_BYTES
from goldcrestridge_node.caller_table import CallerTable
from goldcrestridge_node.refusals import Refusal, error_body, error_headers

BAD_REQUEST = Refusal(400, "invalid_http", "The request is not valid HTTP/1.1.", close=True)
HEAD_TOO_LARGE = Refusal(431, "head_too_large", "The request head is too large.", close=True)
HEAD_TOO_SLOW = Refusal(408, "head_timeout", "The request head took too long.", close=True)
TOO_MANY_CONNECTIONS = Refusal(
    503, "overloaded", "Too many connections are open.", retry_after_ms=1000.0, close=True
)
# Reading pauses while more bytes than this follow the request in progress.
MAX_AHEAD_BYTES = 4_096
# Bytes that are read at once outside of a body, so that few are read ahead.
READ_HEAD_BYTES = 16_384
# What the kernel receives for a connection that is not read, and sends for one that does not read.
# The send buffer is small enough that a slow caller is seen to go on reading.
RECEIVE_BUFFER_BYTES = 32_768
SEND_BUFFER_BYTES = 65_536


@define
class ServerOptions:
    """Limits of the server for callers; changes also apply to open connections.

    ``max_connections`` bounds the connections of this server beside the limits of the process, and
    is None for no such bound.
    """

    max_head_bytes: int = 32_768
    head_timeout_ms: float = 10_000.0
    keep_alive_ms: float = 75_000.0
    max_connections: int | None = None
    backlog: int = 1_024


class _Flow(FlowControl):
    """Flow control that resumes reading only while ``may_read`` allows it."""

    def __init__(self, transport: asyncio.Transport, may_read: Callable[[], bool]) -> None:
        super().__init__(transport)
        self.may_read = may_read

    def pause_reading(self) -> None:
        """Pause reading, also if the transport was resumed past this object."""
        self.read_paused = True
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading unless enough has been read ahead."""
        if self.may_read():
            super().resume_reading()


class CallerConnection(H11Protocol, asyncio.BufferedProtocol):
    """Connection of one caller: uvicorn's protocol with a head timeout and errors as JSON.

    The application finds it in the state of the request as ``connection``. ``on_lost`` is called
    once if the connection is lost while a request is in progress. Unlike waiting for the disconnect
    message, this needs no second task per request.

    A request that was sent ahead begins once the response before it was read, in turn with those
    of other connections.
    """

    options = ServerOptions()
    table: CallerTable
    flow: _Flow

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.app_state = {"connection": self}
        self.on_lost: Callable[[], None] | None = None
        self._key = -1
        self._head_timer: asyncio.TimerHandle | None = None
        self._stopping = False
        self._completing = False
        self._deferred = False  # A request that was sent ahead waits for its turn.
        self._reserved_bytes = 0
        self._response_bytes = 0  # The part that was reserved for a response.
        self._unsent_bytes = 0

    def shutdown(self) -> None:
        """Close an idle connection; a request of which a part was received is still served."""
        self._stopping = True
        idle = self.cycle is None or self.cycle.response_complete
        if idle and self.conn.trailing_data[0]:
            return
        super().shutdown()

    def on_response_complete(self) -> None:
        """Apply the current keep-alive limit to the wait for the next request."""
        self.timeout_keep_alive = math.ceil(self.options.keep_alive_ms / MS_PER_SECOND)
        self._completing = True
        super().on_response_complete()
        self._completing = False
        self._account()

    def handle_events(self) -> None:
        """Handle what was received; a request that was sent ahead waits for its turn."""
        if self._completing and self.conn.trailing_data[0]:
            self._deferred = True
            self._unset_keepalive_if_required()
            if not self.flow.write_paused:
                self.table.queue(self)
            return
        super().handle_events()

    def proceed(self) -> None:
        """Begin a request that was sent ahead, unless the response before it is not read."""
        if self.transport.is_closing() or not self._deferred or self.flow.write_paused:
            return
        self._deferred = False
        super().handle_events()
        self._after_events()

    @property
    def write_paused(self) -> bool:
        """Return whether the caller has not read all that was sent."""
        return self.flow.write_paused

    def abort(self) -> None:
        """Close immediately and discard unsent data."""
        self.transport.abort()

    def reserve(self, size: int) -> bool:
        """Reserve memory for the request in progress.

        Return False if the process has none left, or none left for the workspace of the request.
        """
        if not self.table.ledger.owner_fits(self._key, size) or not self.table.make_room(size):
            return False
        self._reserved_bytes += size
        self._account()
        return True

    def reserve_response(self, size: int) -> bool:
        """Reserve memory for a part of the response, as long as further requests have room."""
        if not self.table.ledger.response_fits(self._key, size) or not self.table.make_room(
            size + self.table.limits.margin_bytes
        ):
            return False
        self._reserved_bytes += size
        self._response_bytes += size
        self._account()
        return True

    def assign(self, workspace: str) -> None:
        """Count the memory of the request in progress for a workspace."""
        self.table.ledger.assign(self._key, workspace)

    def release(self, size: int) -> None:
        """Release reserved memory of the request and of its response."""
        self._reserved_bytes -= size
        self._response_bytes = 0
        self._account()

    def take_progress(self) -> int:
        """Return how many bytes less than at the last call wait for the caller."""
        before, self._unsent_bytes = self._unsent_bytes, self.transport.get_write_buffer_size()
        return before - self._unsent_bytes

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start the timeout of the first request head; refuse a connection over the limit."""
        super().connection_made(transport)
        self.flow = _Flow(transport, self._may_read)
        # A writer goes on once all was sent, so that no more than one part of a response waits.
        transport.set_write_buffer_limits(high=0)
        address = transport.get_extra_info("sockname")
        self._key, accepted = self.table.add(self, str(address))
        limit = self.options.max_connections
        if not accepted or (limit is not None and len(self.connections) > limit):
            self._refuse(TOO_MANY_CONNECTIONS)
            return
        self._account()
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the application that its caller has disconnected."""
        super().connection_lost(exc)
        self.table.remove(self._key)
        self._cancel_head_timer()
        self._unset_keepalive_if_required()
        if self.on_lost is not None:
            on_lost, self.on_lost = self.on_lost, None
            on_lost()
        self._drop_references()

    def _drop_references(self) -> None:
        """Break the reference cycles, so that the memory is free without a garbage collection."""
        self.flow.may_read = bool
        self.app_state = {}
        self.scope = self.cycle = None  # type: ignore[assignment]

    def pause_writing(self) -> None:
        """Make the writer wait until the caller has read what was sent."""
        super().pause_writing()
        self._unsent_bytes = self.transport.get_write_buffer_size()
        self._account()

    def resume_writing(self) -> None:
        """Wake the writer, and go on with requests that were sent ahead."""
        super().resume_writing()
        self._unsent_bytes = 0
        self._account()
        if self._deferred:
            self.table.queue(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next bytes."""
        receives_body = self.cycle is not None and self.cycle.more_body
        return self.table.read_buffer[: None if receives_body else READ_HEAD_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes in the buffer."""
        self.data_received(bytes(self.table.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass the data to the parser; run the head timeout while a head is incomplete."""
        if self._deferred:
            self.conn.receive_data(data)
        else:
            super().data_received(data)
        self._after_events()

    def send_400_response(self, msg: str) -> None:
        """Respond to a request that the parser rejected; abort a response in progress."""
        unread, _ = self.conn.trailing_data
        too_large = len(unread) > self.options.max_head_bytes
        self._refuse(HEAD_TOO_LARGE if too_large else BAD_REQUEST)

    def _after_events(self) -> None:
        """Adapt timer, flow control and memory to what the parser holds."""
        if self._stopping and self.cycle is not None:
            self.cycle.keep_alive = False
        if self.conn.their_state is h11.IDLE and not self._deferred:
            self._start_head_timer()
        else:
            self._cancel_head_timer()
        if self._is_ahead():
            # The close of a caller is seen only while its connection is read.
            if self._may_read():
                self.flow.resume_reading()
            else:
                self.flow.pause_reading()
        self._account()

    def _is_ahead(self) -> bool:
        """Tell whether bytes that the parser holds belong to a later request."""
        return self._deferred or self.conn.their_state is h11.DONE

    def _may_read(self) -> bool:
        return not self._is_ahead() or len(self.conn.trailing_data[0]) <= MAX_AHEAD_BYTES

    def _account(self) -> None:
        """Report to the table what this connection waits for and holds."""
        unparsed = len(self.conn.trailing_data[0])
        held = CONNECTION_BYTES + unparsed + self._unsent_bytes + self._reserved_bytes
        if self.flow.read_paused:
            held += RECEIVE_BUFFER_BYTES
        cycle = self.cycle
        runs = cycle is not None and not cycle.response_complete
        if runs:
            held += REQUEST_BYTES + len(cycle.body)
        if self.flow.write_paused:
            phase = Phase.UNREAD
        elif runs:
            phase = Phase.RECEIVING if cycle.more_body else Phase.RUNNING
        elif self._deferred and unparsed > MAX_AHEAD_BYTES:
            phase = Phase.AHEAD
        elif unparsed:
            phase = Phase.RECEIVING
        else:
            phase = Phase.SILENT if cycle is None else Phase.IDLE
        self.table.update(self._key, phase, held, self._response_bytes)

    def _start_head_timer(self) -> None:
        if self._head_timer is None:
            delay = self.options.head_timeout_ms / MS_PER_SECOND
            self._head_timer = self.loop.call_later(delay, self._on_head_timeout)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if self.conn.their_state is h11.IDLE and not self.transport.is_closing():
            self._refuse(HEAD_TOO_SLOW)

    def _refuse(self, refusal: Refusal) -> None:
        """Send an error, bypassing the application, and close the connection."""
        if self.conn.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = error_body(refusal, "")
            head = h11.Response(
                status_code=refusal.status, headers=list(error_headers(refusal, "", body))
            )
            events: list[h11.Event] = [head, h11.Data(data=body), h11.EndOfMessage()]
            self.transport.write(b"".join(self.conn.send(event) or b"" for event in events))
        self.transport.close()
