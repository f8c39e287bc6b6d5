"""Callers and operators of the fault soak, which record what they observe for later checks."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable
from typing import Any

from attrs import Factory, define, field

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_lab.soak_net import (
    CONNECTION_ERRORS,
    MessageHead,
    encode_head,
    read_chunk,
    read_head,
)
from goldcrestridge_lab.soak_nodes import DIRECTORY_PORT, OPERATOR_PORT
from goldcrestridge_lab.soak_prompts import CRASHING_BODY, Prompts, crashing_name
from goldcrestridge_lab.soak_servers import (
    HEADER_PREFIX,
    expected_body,
)
from goldcrestridge_lab.soak_streams import STREAM_EVENTS, shape_of

HOST = "h.example"
KINDS = ("once", "read", "stream", "single")
DEADLINE_MS = 3_000.0
# A caller waits a little longer than the deadline that it sends with the request.
CALL_TIMEOUT_MS = DEADLINE_MS + 1_000.0
ADDRESS_CACHE_MS = 2_000.0
# Attempts to take a broken stream up again.
MAX_RESUMPTIONS = 3
# Probability with which a caller drops its connection after a chunk of a resumable stream.
DROP_PROBABILITY = 0.05
REQUEST_TIMEOUT_MS = 1_000.0
PERMANENT_KEY, REVOCABLE_KEY = "k-lasting", "k-taken"
REFUSALS = (408, 421, 429, 503)


def encode_manifest(version: int, service: str, includes_revocable_key: bool) -> bytes:
    """Return a manifest as JSON in which ``service`` serves the paths below /read/."""

    def route(name: str, kind: str, to: str, attempts: int, resumable: bool) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": kind,
            "timeout_ms": DEADLINE_MS,
            "target_latency_ms": 300,
            "priority": 1,
            "service": to,
            "attempts": attempts,
            "resumable": resumable,
        }

    keys = [PERMANENT_KEY, REVOCABLE_KEY] if includes_revocable_key else [PERMANENT_KEY]
    return json.dumps(
        {
            "version": version,
            "routes": [
                route("once", "non_idempotent", "a", 2, resumable=False),
                route("read", "idempotent", service, 2, resumable=False),
                route("stream", "streaming", "a", 2, resumable=True),
                route("single", "streaming", "b", 1, resumable=False),
            ],
            "services": [{"name": name, "max_conns": 200} for name in "ab"],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 100_000,
                "header_timeout_ms": 3_000,
                "idle_timeout_ms": 5_000,
            },
            "tenants": [{"name": "w1", "api_keys": keys}],
        }
    ).encode()


class _DroppedError(Exception):
    """Raised when a caller drops its connection in the middle of a stream."""


# Codes of the refusals of what upstreams crashed under.
BLOCKED_CODES = (b"prompt_blocked", b"request_blocked")


@define(eq=False)
class Stream:
    """A stream over all attempts of its caller.

    ``first_request_id`` is the attempt that brought the first event, ``last_request_id`` the one
    that brought the last event. ``events`` holds the id and the software version of each event.
    """

    target: str
    first_request_id: str = ""
    events: list[tuple[int, str]] = field(factory=list)
    last_request_id: str = ""
    _buffer: bytes = b""

    def restart(self) -> None:
        """Drop the incomplete event of an attempt that broke off."""
        self._buffer = b""

    def feed(self, request_id: str, data: bytes) -> bool:
        """Add the events of an attempt; return False if they are not the next ones."""
        shape = shape_of(self.target)
        end = 2 * shape.line_end
        *complete, self._buffer = (self._buffer + data).split(end)
        for event in complete:
            position, version = len(self.events), event.rpartition(b" ")[2].decode("latin-1")
            if position >= STREAM_EVENTS or event + end != shape.encode(
                self.target, position, version
            ):
                return False
            self.first_request_id = self.first_request_id or request_id
            self.last_request_id = request_id
            self.events.append((shape.ids[position], version))
        return True

    @property
    def complete(self) -> bool:
        """Return whether all events of the stream have arrived."""
        return len(self.events) == STREAM_EVENTS and not self._buffer


@define(eq=False)
class Call:
    """One request and its result; times are in milliseconds since the start of the run."""

    request_id: str
    kind: str
    key: str
    entry: str
    sent_ms: float
    status: int = 0  # 0 if no response arrived before the timeout or the end of the connection.
    ended_ms: float = 0.0
    served: bool = False
    mismatch: str = ""  # How a response that was framed completely differs from the expected one.
    closed: bool = False  # The connection ended before a complete, valid response.
    stream: Stream | None = None
    takes_up: bool = False  # The stream began in an earlier attempt.
    received: int = 0  # Events that this attempt brought.
    crashing_part: str = ""  # Its name or the part of its prompt, if that crashes upstreams.
    blocked: bool = False  # It was refused, since upstreams crashed under it or under its prompt.

    @property
    def resumable(self) -> bool:
        """Return whether the caller can take up a stream that broke off."""
        return (
            self.kind == "stream" and not self.served and bool(self.stream and self.stream.events)
        )


@define(eq=False)
class Caller:
    """A caller that sends several requests on a persistent connection."""

    name: str
    now_ms: Callable[[], float]
    rng: random.Random
    directory_ips: list[str]
    proxy_address: Callable[[str], tuple[str, int]]
    calls: list[Call]
    prompts: Prompts = Factory(Prompts)
    _call_numbers: Any = field(factory=itertools.count)
    _addresses: list[str] = field(factory=list)
    _resolved_ms: float = float("-inf")
    _conn: tuple[str, asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, until_ms: float, pause_ms: float) -> None:
        """Send requests one at a time, with random pauses of mean ``pause_ms``."""
        while self.now_ms() < until_ms:
            await asyncio.sleep(self.rng.expovariate(1.0) * pause_ms / MS_PER_SECOND)
            await self.call()
        self._disconnect()

    async def call(self) -> None:
        """Make one call, and take its stream up again if it breaks off."""
        call = await self._attempt(None)
        for _ in range(MAX_RESUMPTIONS):
            if call is None or call.stream is None or not call.resumable:
                return
            call.stream.restart()
            call = await self._attempt(call)

    async def _attempt(self, broken: Call | None) -> Call | None:
        """Make one attempt and append it to ``calls``; return None if no entry node is reached.

        With ``broken`` it takes up the stream of that call.
        """
        await self._resolve()
        if not self._addresses:
            return None
        if self._conn is None or self.rng.random() < 0.2 or self._conn[0] not in self._addresses:
            await self._connect()
        if self._conn is None:
            return None
        entry, reader, writer = self._conn
        request_id = f"{self.name}-{next(self._call_numbers)}"
        if broken is not None:
            call = Call(request_id, broken.kind, broken.key, entry, self.now_ms())
            call.stream, call.takes_up = broken.stream, True
        else:
            key = REVOCABLE_KEY if self.rng.random() < 0.3 else PERMANENT_KEY
            kind = self.rng.choice(KINDS)
            call = Call(request_id, kind, key, entry, self.now_ms())
        self.calls.append(call)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / MS_PER_SECOND):
                reusable = await self._exchange(call, reader, writer)
        except (TimeoutError, _DroppedError):
            reusable = False
        except (*CONNECTION_ERRORS, ValueError):
            call.closed, reusable = True, False
        call.ended_ms = self.now_ms()
        if not reusable:
            self._disconnect()
        return call

    async def _exchange(
        self, call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a request and read the response; return whether the connection can be reused."""
        prompt = self.prompts.make(call.kind, call.request_id, self.rng)
        body = b"b" * self.rng.choice((0, 10, 3_000))
        target = f"/{call.kind}/{self.rng.randrange(100)}?q={call.request_id}"
        crashing_request = self.prompts.crashing_request_of(call.kind, self.rng)
        if crashing_request:
            target, body = f"/{call.kind}/{crashing_request}", CRASHING_BODY
        call.crashing_part = crashing_name(target, prompt)
        resume_headers: tuple[tuple[str, str], ...] = ()
        if call.stream is not None:
            target = call.stream.target
            last_event_id, _ = call.stream.events[-1]
            attempts = call.stream.first_request_id, call.stream.last_request_id
            resume_headers = (
                ("last-event-id", str(last_event_id)),
                ("resumes", self.rng.choice(attempts)),
            )
        headers = (
            ("host", HOST),
            (HEADER_PREFIX + "request-id", call.request_id),
            (HEADER_PREFIX + "deadline-ms", str(int(DEADLINE_MS))),
            ("x-api-key", call.key),
            (HEADER_PREFIX + "prompt-prefix", prompt),
            ("content-length", str(len(body))),
            *resume_headers,
        )
        writer.write(encode_head(f"POST {target} HTTP/1.1", headers) + body)
        await writer.drain()
        answer = await read_head(reader)
        status = int(answer.start_line[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            call.stream = call.stream or Stream(target)
            await self._read_stream(call, call.stream, reader)
        else:
            content = await reader.readexactly(int(answer.headers.get("content-length", "0")))
            call.blocked = any(code in content for code in BLOCKED_CODES)
            if status == 200:
                self._check_body(call, content == expected_body(call.request_id, target, body))
        call.status = status
        call.served = status == 200 and not call.mismatch
        self._check_head(call, answer)
        return answer.headers.get("connection", "") != "close"

    def _check_body(self, call: Call, matches: bool) -> None:
        if not matches:
            call.mismatch = "body of a successful response differs from the upstream's"

    def _check_head(self, call: Call, answer: MessageHead) -> None:
        answered_id = answer.headers.get(HEADER_PREFIX + "request-id", call.request_id)
        if answered_id != call.request_id:
            call.mismatch = f"response carries the request id {answered_id}"
        if call.status == 200 and HEADER_PREFIX + "server-stamp" not in answer.headers:
            call.mismatch = "successful response without an upstream's signature"

    async def _read_stream(self, call: Call, stream: Stream, reader: asyncio.StreamReader) -> None:
        first = len(stream.events)
        while chunk := await read_chunk(reader):
            if not stream.feed(call.request_id, chunk):
                call.mismatch = "event of a stream is not the next one"
            call.received = len(stream.events) - first
            if call.kind == "stream" and self.rng.random() < DROP_PROBABILITY:
                raise _DroppedError
        if not stream.complete and not call.mismatch:
            call.mismatch = (
                f"complete stream of {len(stream.events)} events, {STREAM_EVENTS} expected"
            )

    async def _resolve(self) -> None:
        """Ask up to three entry nodes for addresses; keep them for ``ADDRESS_CACHE_MS``."""
        if self.now_ms() - self._resolved_ms < ADDRESS_CACHE_MS:
            return
        for ip in self.rng.sample(self.directory_ips, min(3, len(self.directory_ips))):
            answer = await send_request(
                ip, DIRECTORY_PORT, "GET", f"/v1/resolve?name={HOST}&zone=z1"
            )
            if answer is not None and answer[0] == 200:
                self._addresses = json.loads(answer[1])["addresses"]
                self._resolved_ms = self.now_ms()
                return

    async def _connect(self) -> None:
        self._disconnect()
        entry = self.rng.choice(self._addresses)
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.proxy_address(entry))
        except (OSError, TimeoutError):
            return
        self._conn = (entry, reader, writer)

    def _disconnect(self) -> None:
        if self._conn is not None:
            self._conn[2].close()
            self._conn = None


async def send_request(
    ip: str, port: int, method: str, target: str, body: bytes = b""
) -> tuple[int, bytes] | None:
    """Send a request to a node's directory or control port; return status and body.

    Returns None if no complete response arrives within ``REQUEST_TIMEOUT_MS``.
    """
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_MS / MS_PER_SECOND):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                headers = (("host", HOST), ("content-length", str(len(body))))
                writer.write(encode_head(f"{method} {target} HTTP/1.1", headers) + body)
                answer = await read_head(reader)
                length = int(answer.headers.get("content-length", "0"))
                return int(answer.start_line[1]), await reader.readexactly(length)
            finally:
                writer.close()
    except (*CONNECTION_ERRORS, ValueError, TimeoutError):
        return None


@define(eq=False)
class Operators:
    """Operators that race with each other.

    ``violations`` lists responses that break a guarantee of the configuration API. The dicts are
    keyed by configuration version; times are in milliseconds since the start of the run.
    """

    now_ms: Callable[[], float]
    rng: random.Random
    control_ips: list[str]
    propagation_ms: float
    violations: list[str] = field(factory=list)
    manifests: dict[int, bytes] = field(factory=dict)
    # First acknowledgement of each version, and whether the version includes REVOCABLE_KEY.
    acknowledged_ms: dict[int, float] = field(factory=dict)
    includes_revocable_key: dict[int, bool] = field(factory=dict)
    sent_ms: dict[int, float] = field(factory=dict)
    services: dict[int, str] = field(factory=dict)  # The service of the paths below /read/.
    reads: int = 0
    _version: int = 0

    def newest_acknowledged(self, before_ms: float) -> int:
        """Return the newest version acknowledged before ``before_ms``, or 0 if there is none."""
        versions = (version for version, at_ms in self.acknowledged_ms.items() if at_ms < before_ms)
        return max(versions, default=0)

    async def run(self, until_ms: float) -> None:
        """Perform random actions, one at a time, until ``until_ms``."""
        actions = (
            self.change,
            self.race,
            self.resend,
            self.send_conflicting,
            self.send_invalid,
            self.read,
        )
        while self.now_ms() < until_ms:
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))
            await self.rng.choice(actions)()

    async def change(self, attempts: int = 8, service: str = "") -> int:
        """Send a new version until it is acknowledged or all attempts are used; return it.

        Its paths below /read/ go to ``service``, or to a random one.
        """
        self._version += self.rng.randrange(1, 4)
        version = self._version
        self.includes_revocable_key[version] = self.rng.random() < 0.5
        self.sent_ms[version] = self.now_ms()
        service = self.services[version] = service or self.rng.choice("ab")
        self.manifests[version] = encode_manifest(
            version, service, self.includes_revocable_key[version]
        )
        for _ in range(attempts):
            status = await self._send(self.manifests[version])
            if status == 200:
                self.acknowledged_ms.setdefault(version, self.now_ms())
                return version
            if status is not None and 400 <= status < 500:
                self.violations.append(f"valid version {version} was refused with status {status}")
                return version
            await asyncio.sleep(0.1)
        return version

    async def race(self) -> None:
        """Send two new versions concurrently."""
        await asyncio.gather(self.change(), self.change())

    async def resend(self) -> None:
        """Send an acknowledged version again, which must not be refused."""
        if self.acknowledged_ms:
            version = self.rng.choice(list(self.acknowledged_ms))
            status = await self._send(self.manifests[version])
            if status is not None and 400 <= status < 500:
                self.violations.append(
                    f"acknowledged version {version} got status {status} when sent again"
                )

    async def send_conflicting(self) -> None:
        """Send other content under the newest acknowledged version.

        ``read`` detects whether it came into force.
        """
        if self.acknowledged_ms:
            version = max(self.acknowledged_ms)
            await self._send(
                encode_manifest(version, "a", includes_revocable_key=True).replace(b"300", b"301")
            )

    async def send_invalid(self) -> None:
        """Send an invalid version, which must be refused."""
        invalid = encode_manifest(self._version + 1, "nowhere", includes_revocable_key=True)
        if await self._send(invalid) == 200:
            self.violations.append("an invalid configuration was acknowledged")

    async def read(self) -> None:
        """Read the configuration from a random control node and compare it with what was sent."""
        request_ms = self.now_ms()
        answer = await send_request(
            self.rng.choice(self.control_ips), OPERATOR_PORT, "GET", "/v1/Config.Read"
        )
        if answer is None or answer[0] != 200:
            return
        self.reads += 1
        version = json.loads(answer[1])["version"]
        if answer[1] != self.manifests.get(version):
            self.violations.append(
                f"version {version} was read with content that differs from what was sent"
            )
        newest_acknowledged = self.newest_acknowledged(request_ms - self.propagation_ms)
        if version < newest_acknowledged:
            self.violations.append(
                f"version {version} was read although {newest_acknowledged} had been acknowledged"
            )

    async def _send(self, body: bytes) -> int | None:
        ip = self.rng.choice(self.control_ips)
        answer = await send_request(ip, OPERATOR_PORT, "POST", "/v1/Config.Replace", body)
        return None if answer is None else answer[0]
