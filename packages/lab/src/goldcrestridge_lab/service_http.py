"""HTTP stand-in of a plain service that counts the executions of each call.

Usage:
  service_http [options]

Options:
  --host=HOST    Address to listen on [default: 127.0.0.1].
  --port=PORT    Port to listen on, 0 for any [default: 0].
  --delay-ms=MS  Duration of a call [default: 0].
"""

from __future__ import annotations

import enum
from collections import Counter
from typing import Any

import anyio
import msgspec
from attrs import define, field
from docopt import docopt

from goldcrestridge_lab.asgi import (
    Notices,
    Receive,
    Scope,
    Send,
    connection,
    header,
    identified,
    read_body,
    run_command,
    send_body,
    send_head,
    send_json,
)
from goldcrestridge_lab.simple_engine import sleep_ms
from goldcrestridge_node.server import listen


class Fault(enum.Enum):
    """A fault to inject into the next calls."""

    CLOSE_BEFORE = "close_before"  # Abort the connection without executing the call.
    CLOSE_AFTER = "close_after"  # Execute the call, then abort the connection without a response.
    CUT = "cut"  # Execute the call, then close the connection within the response.


class Control(msgspec.Struct):
    """A change of the stand-in's behaviour; absent fields stay as they are."""

    crash: bool = False
    delay_ms: float | None = None
    leave: bool | None = None
    fault: Fault | None = None
    times: int = 1  # Number of calls with the fault.
    answer_bytes: int | None = None  # Length of the padding in each response.
    limit_per_second: float | msgspec.UnsetType | None = msgspec.UNSET
    announce: bool | None = None  # Say in each answer that the service leaves, but serve.
    rest_s: float = 0.0  # Reject the next call with this Retry-After.


@define(eq=False)
class ServiceApp:
    """ASGI application of the stand-in."""

    delay_ms: float = 0.0
    crash: anyio.Event = field(factory=anyio.Event)
    runs: Counter[str] = field(factory=Counter)
    answer_bytes: int = 0
    running: int = 0
    leaving: bool = False
    limit_per_second: float | None = None
    notices: Notices = field(factory=Notices)
    _fault: Fault | None = None
    _remaining_faults: int = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        body = await read_body(receive)
        send = identified(scope, send, self.notices)
        route = (scope["method"], scope["path"])
        if route == ("GET", "/runs"):
            await send_json(send, self.runs)
        elif route == ("GET", "/load"):
            await send_json(send, self._load_report())
        elif route == ("POST", "/control"):
            await self._handle_control(msgspec.json.decode(body, type=Control), send)
        elif self.leaving:
            await send_json(send, {"error": "leaving"}, 503, ((b"x-upstream-leaving", b"1"),))
        elif (rejection := self.notices.take_rejection()) is not None:
            await send_json(send, {"error": "busy"}, 503, rejection)
        else:
            self.running += 1
            try:
                await self._handle_call(scope, body, send)
            finally:
                self.running -= 1

    def _load_report(self) -> dict[str, Any]:
        return {
            "running": self.running,
            "waiting": 0,
            "slots": 0,
            "leaving": self.leaving,
            "limit_per_second": self.limit_per_second,
        }

    async def _handle_control(self, control: Control, send: Send) -> None:
        if control.crash:
            await send_json(send, {})
            self.crash.set()
            return
        if control.delay_ms is not None:
            self.delay_ms = control.delay_ms
        if control.leave is not None:
            self.leaving = control.leave
        if control.limit_per_second is not msgspec.UNSET:
            self.limit_per_second = control.limit_per_second
        if control.announce is not None:
            self.notices.announces = control.announce
        if control.rest_s:
            self.notices.rest_s, self.notices.rejections = control.rest_s, 1
        if control.answer_bytes is not None:
            self.answer_bytes = control.answer_bytes
        if control.fault is not None:
            self._fault, self._remaining_faults = control.fault, control.times
        await send_json(send, {})

    async def _handle_call(self, scope: Scope, body: bytes, send: Send) -> None:
        """Execute a call: count it by its idempotency key and echo the request."""
        fault = self._take_fault()
        if fault is Fault.CLOSE_BEFORE:
            connection(scope).abort()
            return
        await sleep_ms(self.delay_ms)
        key = header(scope, b"idempotency-key")
        self.runs[key] += 1
        if fault is Fault.CLOSE_AFTER:
            connection(scope).abort()
            return
        answer = {
            "run": self.runs[key],
            "method": scope["method"],
            "path": scope["raw_path"].decode("latin-1"),
            "query": scope["query_string"].decode("latin-1"),
            "headers": [[part.decode("latin-1") for part in pair] for pair in scope["headers"]],
            "body": body.decode("latin-1"),
            "padding": "x" * self.answer_bytes,
        }
        if fault is Fault.CUT:
            await self._send_truncated(msgspec.json.encode(answer), send)
            connection(scope).transport.close()
            return
        await send_json(send, answer, extra=((b"x-service", b"stand-in"),))

    async def _send_truncated(self, data: bytes, send: Send) -> None:
        length = (b"content-length", b"%d" % len(data))
        await send_head(send, 200, ((b"content-type", b"application/json"), length))
        await send_body(send, data[: len(data) // 2])

    def _take_fault(self) -> Fault | None:
        if self._remaining_faults == 0:
            return None
        self._remaining_faults -= 1
        return self._fault


def main(argv: list[str] | None = None) -> None:
    """Run the stand-in until it is stopped or told to crash."""
    args = docopt(__doc__, argv)

    async def run() -> None:
        app = ServiceApp(float(args["--delay-ms"]))
        await run_command(app, listen(args["--host"], int(args["--port"])), app.crash)

    anyio.run(run)


if __name__ == "__main__":
    main()
