"""Stand-ins of the fault soak: upstreams of two services and the platform's upstream list."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections.abc import AsyncIterator, Callable, Iterable

from attrs import define, field, frozen

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_lab.soak_net import (
    CONNECTION_ERRORS,
    MessageHead,
    abort,
    encode_head,
    read_chunk,
    read_head,
)
from goldcrestridge_lab.soak_prompts import crashing_name
from goldcrestridge_lab.soak_streams import STREAM_EVENTS, shape_of

HEADER_PREFIX = "x-goldcrestridge-"
REQUEST_ID = HEADER_PREFIX + "request-id"
STREAM_PREFIXES = ("/stream/", "/single/")
# The list shows a leaving upstream as ready for this long, as the platform's list does.
LIST_LAG_MS = 300.0


def expected_body(request_id: str, target: str, body: bytes) -> bytes:
    """Return the expected response body: the request id and a digest of the request."""
    digest = hashlib.sha256(request_id.encode() + target.encode() + body).hexdigest()
    return f"{request_id} {digest}".encode()


@frozen
class Arrival:
    """A request that reached an upstream; ``ran`` tells whether it began to execute there.

    ``leaving`` tells whether the answer said that the upstream leaves, and ``rest_s`` for how long
    it wanted no more requests from the sender, or 0.
    """

    request_id: str
    at_ms: float
    service: str
    instance: str
    workspace: str
    target: str
    ran: bool
    leaving: bool = False
    rest_s: float = 0.0
    crashing_part: str = ""  # Its name or the part of its prompt, if that crashes upstreams.


@define(eq=False)
class Upstream:
    """An upstream; ``mode`` selects its fault, and each start has its own ``instance``.

    The modes are ``sound``, ``slow``, ``grey`` (some responses are 500), ``lost`` (some
    connections are reset, also within a stream), ``full`` (some requests are refused), ``garbled``
    (some responses are followed by an unsolicited one), ``unframed`` (responses have neither a
    length nor chunks, and some are broken off) and ``endless`` (some responses are bytes without
    end). ``version`` is that of its software. While ``limit_per_second`` is set, all its responses
    name that limit. While ``rest_s`` is set, it rejects requests and asks for a rest of that
    length. ``born`` numbers its starts. ``crash_by_prompt`` is called when it crashes as it begins
    to answer a prompt, with the crashing part or the name of the request.
    """

    service: str
    address: tuple[str, int]
    instance: str
    now_ms: Callable[[], float]
    record: Callable[[Arrival], None]
    rng: random.Random
    mode: str = "sound"
    leaving_since_ms: float | None = None
    service_time_ms: float = 20.0
    slots: int = 6
    version: str = "v1"
    limit_per_second: float | None = None
    rest_s: float = 0.0
    born: int = 0
    crash_by_prompt: Callable[[Upstream, str], None] | None = None
    _busy: int = 0
    _writers: set[asyncio.StreamWriter] = field(factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the address; raises OSError if it is in use."""
        self.born += 1
        self._server = await asyncio.start_server(self._serve, *self.address)

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            abort(writer)

    @property
    def running(self) -> bool:
        """Return whether the upstream is listening."""
        return self._server is not None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                length = int(request.headers.get("content-length", "0"))
                if request.headers.get("transfer-encoding") == "chunked":
                    body = b"".join([chunk async for chunk in _chunks(reader)])
                else:
                    body = await reader.readexactly(length)
                await self._handle(request, body, writer)
                await writer.drain()
        except CONNECTION_ERRORS:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: MessageHead, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        headers = request.headers
        request_id = headers.get(REQUEST_ID, "")
        expected = headers.get(HEADER_PREFIX + "expect-instance", self.instance)
        overloaded = self._busy >= self.slots or (self.mode == "full" and self.rng.random() < 0.5)
        overloaded = overloaded or self.rest_s > 0.0
        status = 421 if expected != self.instance else 503 if overloaded else 200
        arrival = Arrival(
            request_id,
            self.now_ms(),
            self.service,
            self.instance,
            headers.get(HEADER_PREFIX + "tenant", ""),
            request.start_line[1],
            ran=status == 200,
            leaving=self.leaving_since_ms is not None and status != 421,
            rest_s=self.rest_s if status == 503 else 0.0,
            crashing_part=crashing_name(
                request.start_line[1], headers.get(HEADER_PREFIX + "prompt-prefix", "")
            ),
        )
        self.record(arrival)
        if status != 200:
            retry = (("retry-after", f"{arrival.rest_s:g}"),) if arrival.rest_s else ()
            extra = ((HEADER_PREFIX + "not-executed", "1"), *retry)
            self._write_response(writer, request_id, status, b"", extra)
            return
        self._busy += 1
        try:
            await self._execute(request, request_id, body, writer, arrival.crashing_part)
        finally:
            self._busy -= 1

    async def _execute(
        self,
        request: MessageHead,
        request_id: str,
        body: bytes,
        writer: asyncio.StreamWriter,
        crashing: str,
    ) -> None:
        slowdown = 10.0 if self.mode == "slow" else 1.0
        await asyncio.sleep(
            slowdown * self.service_time_ms * self.rng.uniform(0.5, 1.5) / MS_PER_SECOND
        )
        if writer.is_closing():
            return
        if crashing and self.crash_by_prompt is not None and self.running:
            self.crash_by_prompt(self, crashing)
        elif self.mode == "grey" and self.rng.random() < 0.5:
            self._write_response(writer, request_id, 500, b"failed")
        elif self.mode == "lost" and self.rng.random() < 0.5:
            abort(writer)
        elif self.mode == "endless" and self.rng.random() < 0.5:
            await self._write_endless(writer, request_id)
        elif request.start_line[1].startswith(STREAM_PREFIXES):
            await self._stream(request, request_id, writer)
        elif self.mode == "unframed":
            self._write_unframed(
                writer, request_id, expected_body(request_id, request.start_line[1], body)
            )
        else:
            answer = expected_body(request_id, request.start_line[1], body)
            self._write_response(writer, request_id, 200, answer)
            if self.mode == "garbled" and self.rng.random() < 0.3:
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra")

    async def _stream(
        self, request: MessageHead, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        target, version = request.start_line[1], self.version
        shape = shape_of(target)
        first = shape.next_position(request.headers.get("last-event-id"))
        chunked = self.mode != "unframed"
        framing = (("transfer-encoding", "chunked"),) if chunked else ()
        content_type = ("content-type", "text/event-stream")
        headers = (*self._signature_headers(request_id), content_type, *framing)
        writer.write(encode_head("HTTP/1.1 200 OK", headers))
        for position in range(first, STREAM_EVENTS):
            if self.mode == "lost" and self.rng.random() < 0.2:
                abort(writer)
                return
            data = shape.encode(target, position, version)
            if not chunked and self.rng.random() < 0.1:
                self._break_off(writer, data.removesuffix(shape.line_end))
                return
            writer.write(b"%x\r\n%b\r\n" % (len(data), data) if chunked else data)
            await writer.drain()
            await asyncio.sleep(self.service_time_ms / MS_PER_SECOND)
        if chunked:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()

    def _break_off(self, writer: asyncio.StreamWriter, lines: bytes) -> None:
        """End a stream inside an event with these lines, or reset it between two events."""
        if self.rng.random() < 0.5:
            writer.write(lines[: self.rng.randrange(1, len(lines) + 1)])
            writer.close()
        else:
            abort(writer)

    async def _write_endless(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        """Write bytes that are no answer until the connection is closed."""
        if self.rng.random() < 0.5:
            writer.write(encode_head("HTTP/1.1 200 OK", self._signature_headers(request_id)))
        while True:
            writer.write(b"x" * 4_096)
            await writer.drain()
            await asyncio.sleep(0.01)

    def _write_unframed(self, writer: asyncio.StreamWriter, request_id: str, body: bytes) -> None:
        """Write a response that ends with its connection; reset some inside the body."""
        head = encode_head("HTTP/1.1 200 OK", self._signature_headers(request_id))
        if self.rng.random() < 0.3:
            writer.write(head + body[: self.rng.randrange(len(body))])
            abort(writer)
        else:
            writer.write(head + body)
            writer.close()

    def _signature_headers(self, request_id: str) -> tuple[tuple[str, str], ...]:
        load = f"{self._busy},0,{self.slots}"
        limit = self.limit_per_second
        return (
            *(() if limit is None else (("server-limit", f"{limit:g}"),)),
            *(() if self.leaving_since_ms is None else (("server-leaving", "1"),)),
            (REQUEST_ID, request_id),
            (HEADER_PREFIX + "server-stamp", f"signed by {self.instance}"),
            (HEADER_PREFIX + "server-load", load),
        )

    def _write_response(
        self,
        writer: asyncio.StreamWriter,
        request_id: str,
        status: int,
        body: bytes,
        extra: Iterable[tuple[str, str]] = (),
    ) -> None:
        headers = (*self._signature_headers(request_id), ("content-length", str(len(body))), *extra)
        writer.write(encode_head(f"HTTP/1.1 {status} X", headers) + body)


async def _chunks(reader: asyncio.StreamReader) -> AsyncIterator[bytes]:
    while chunk := await read_chunk(reader):
        yield chunk


@define(eq=False)
class UpstreamList:
    """The platform's upstream list, which lags by ``LIST_LAG_MS``.

    ``mode`` is ``sound``, ``down`` (requests end with a reset) or ``busy`` (status 429).
    """

    address: tuple[str, int]
    now_ms: Callable[[], float]
    advertised_address: Callable[[Upstream], str]
    upstreams: list[Upstream]
    mode: str = "sound"
    # When each leaving instance was first listed as leaving.
    leaving_listed_ms: dict[str, float] = field(factory=dict)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the address; raises OSError if it is in use."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await read_head(reader)
                if self.mode == "down":
                    abort(writer)
                    return
                status = 429 if self.mode == "busy" else 200
                body = json.dumps({"instances": self._entries(), "next": None}).encode()
                headers = (
                    ("content-type", "application/json"),
                    ("content-length", str(len(body))),
                )
                writer.write(encode_head(f"HTTP/1.1 {status} X", headers) + body)
                await writer.drain()
        except CONNECTION_ERRORS:
            pass
        finally:
            writer.close()

    def _entries(self) -> list[dict[str, object]]:
        now_ms = self.now_ms()
        entries: list[dict[str, object]] = [{"id": 5}]  # From another writer, malformed.
        for item in self.upstreams:
            leaving = (
                item.leaving_since_ms is not None and now_ms - item.leaving_since_ms > LIST_LAG_MS
            )
            if leaving:
                self.leaving_listed_ms.setdefault(item.instance, now_ms)
            entries.append(
                {
                    "id": item.instance,
                    "service": item.service,
                    "address": self.advertised_address(item),
                    "zone": "z1",
                    "version": item.version,
                    "slots": item.slots,
                    "state": "draining" if leaving else "ready",
                    "cold_left_ms": 0,
                    "born": item.born,
                }
            )
        return entries
