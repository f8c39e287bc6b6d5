"""Callers and operators of the fault soak; what they saw is checked afterwards."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections.abc import Callable
from typing import Any

from attrs import define, field

from goldcrestridge_core.clock import MS_PER_SECOND
from goldcrestridge_lab.soak_net import (
    CONNECTION_ERRORS,
    MessageHead,
    encode_head,
    read_chunk,
    read_head,
)
from goldcrestridge_lab.soak_nodes import DIRECTORY_PORT, OPERATOR_PORT
from goldcrestridge_lab.soak_servers import (
    HEADER_PREFIX,
    STREAM_EVENTS,
    encode_event,
    expected_body,
)

HOST = "h.example"
KINDS = ("once", "read", "stream", "single")
DEADLINE_MS = 3_000.0
# A caller waits a little longer than the time limit it tells.
CALL_TIMEOUT_MS = DEADLINE_MS + 1_000.0
ADDRESS_CACHE_MS = 2_000.0
REQUEST_TIMEOUT_MS = 1_000.0
PERMANENT_KEY, REVOCABLE_KEY = "k-lasting", "k-taken"
REFUSALS = (408, 421, 429, 503)


def encode_manifest(version: int, service: str, includes_revocable_key: bool) -> bytes:
    """Return a manifest; ``service`` serves /read/, ``with_key`` tells if it holds TAKEN_KEY."""

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


@define(eq=False)
class Call:
    """One request and what its caller got; times in milliseconds since the start of the run."""

    request_id: str
    kind: str
    key: str
    entry: str
    sent_ms: float
    status: int = 0  # 0 if the connection ended or the caller gave up without an answer.
    ended_ms: float = 0.0
    served: bool = False
    mismatch: str = ""  # What was wrong with an answer that looked complete.
    closed: bool = False  # The connection was closed without an answer.


@define(eq=False)
class Caller:
    """One caller, which keeps a connection open for several requests."""

    name: str
    now_ms: Callable[[], float]
    rng: random.Random
    directory_ips: list[str]
    proxy_address: Callable[[str], tuple[str, int]]
    calls: list[Call]
    _call_numbers: Any = field(factory=itertools.count)
    _addresses: list[str] = field(factory=list)
    _resolved_ms: float = float("-inf")
    _conn: tuple[str, asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, until_ms: float, pause_ms: float) -> None:
        """Send one request after the other."""
        while self.now_ms() < until_ms:
            await asyncio.sleep(self.rng.expovariate(1.0) * pause_ms / MS_PER_SECOND)
            await self.call()
        self._disconnect()

    async def call(self) -> None:
        """Make one call; its outcome is in ``calls``."""
        await self._resolve()
        if not self._addresses:
            return
        if self._conn is None or self.rng.random() < 0.2 or self._conn[0] not in self._addresses:
            await self._connect()
        if self._conn is None:
            return
        entry, reader, writer = self._conn
        key = REVOCABLE_KEY if self.rng.random() < 0.3 else PERMANENT_KEY
        kind = self.rng.choice(KINDS)
        call = Call(f"{self.name}-{next(self._call_numbers)}", kind, key, entry, self.now_ms())
        self.calls.append(call)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / MS_PER_SECOND):
                reusable = await self._exchange(call, reader, writer)
        except TimeoutError:
            reusable = False
        except (*CONNECTION_ERRORS, ValueError):
            call.closed, reusable = True, False
        call.ended_ms = self.now_ms()
        if not reusable:
            self._disconnect()

    async def _exchange(
        self, call: Call, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Send a request and read the answer; return whether the connection may be used again."""
        body = b"b" * self.rng.choice((0, 10, 3_000))
        target = f"/{call.kind}/{self.rng.randrange(100)}?q={call.request_id}"
        headers = (
            ("host", HOST),
            (HEADER_PREFIX + "request-id", call.request_id),
            (HEADER_PREFIX + "deadline-ms", str(int(DEADLINE_MS))),
            ("x-api-key", call.key),
            ("content-length", str(len(body))),
        )
        writer.write(encode_head(f"POST {target} HTTP/1.1", headers) + body)
        await writer.drain()
        answer = await read_head(reader)
        status = int(answer.start_line[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            await self._read_stream(call, reader)
        else:
            content = await reader.readexactly(int(answer.headers.get("content-length", "0")))
            if status == 200:
                self._check_body(call, content == expected_body(call.request_id, target, body))
        call.status = status
        call.served = status == 200 and not call.mismatch
        self._check_head(call, answer)
        return answer.headers.get("connection", "") != "close"

    def _check_body(self, call: Call, matches: bool) -> None:
        if not matches:
            call.mismatch = "the body of a success is not that of its upstream"

    def _check_head(self, call: Call, answer: MessageHead) -> None:
        answered_id = answer.headers.get(HEADER_PREFIX + "request-id", call.request_id)
        if answered_id != call.request_id:
            call.mismatch = f"the answer belongs to {answered_id}"
        if call.status == 200 and HEADER_PREFIX + "server-stamp" not in answer.headers:
            call.mismatch = "a success without an upstream's signature"

    async def _read_stream(self, call: Call, reader: asyncio.StreamReader) -> None:
        received = b""
        while chunk := await read_chunk(reader):
            received += chunk
        expected = b"".join(encode_event(call.request_id, n) for n in range(1, STREAM_EVENTS + 1))
        if received != expected:
            call.mismatch = f"a complete stream of {len(received)} bytes instead of {len(expected)}"

    async def _resolve(self) -> None:
        """Ask up to three nodes for addresses, as callers do, and keep the answer for a while."""
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
    """Make one call to a node's own pages; None if there is no answer in time."""
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_MS / MS_PER_SECOND):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                sized = (("host", HOST), ("content-length", str(len(body))))
                writer.write(encode_head(f"{method} {target} HTTP/1.1", sized) + body)
                answer = await read_head(reader)
                length = int(answer.headers.get("content-length", "0"))
                return int(answer.start_line[1]), await reader.readexactly(length)
            finally:
                writer.close()
    except (*CONNECTION_ERRORS, ValueError, TimeoutError):
        return None


@define(eq=False)
class Operators:
    """Operators that race with each other; ``problems`` lists answers that break a promise."""

    now_ms: Callable[[], float]
    rng: random.Random
    control_ips: list[str]
    propagation_ms: float
    violations: list[str] = field(factory=list)
    manifests: dict[int, bytes] = field(factory=dict)
    # When each version was first acknowledged, and whether it holds the key that comes and goes.
    acknowledged_ms: dict[int, float] = field(factory=dict)
    includes_revocable_key: dict[int, bool] = field(factory=dict)
    sent_ms: dict[int, float] = field(factory=dict)
    reads: int = 0
    _version: int = 0

    def newest_acknowledged(self, before_ms: float) -> int:
        """Return the newest version that was acknowledged before a moment."""
        versions = (version for version, at_ms in self.acknowledged_ms.items() if at_ms < before_ms)
        return max(versions, default=0)

    async def run(self, until_ms: float) -> None:
        """Change, race, send again, send what is invalid, and read."""
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

    async def change(self, attempts: int = 8) -> int:
        """Send a new version until it is acknowledged or the tries are over; return it."""
        self._version += self.rng.randrange(1, 4)
        version = self._version
        self.includes_revocable_key[version] = self.rng.random() < 0.5
        self.sent_ms[version] = self.now_ms()
        service = self.rng.choice("ab")
        self.manifests[version] = encode_manifest(
            version, service, self.includes_revocable_key[version]
        )
        for _ in range(attempts):
            status = await self._send(self.manifests[version])
            if status == 200:
                self.acknowledged_ms.setdefault(version, self.now_ms())
                return version
            if status is not None and 400 <= status < 500:
                self.violations.append(f"the valid version {version} was refused with {status}")
                return version
            await asyncio.sleep(0.1)
        return version

    async def race(self) -> None:
        """Send two versions at once."""
        await asyncio.gather(self.change(), self.change())

    async def resend(self) -> None:
        """Send an acknowledged version once more."""
        if self.acknowledged_ms:
            version = self.rng.choice(list(self.acknowledged_ms))
            status = await self._send(self.manifests[version])
            if status is not None and 400 <= status < 500:
                self.violations.append(f"the acknowledged version {version} got {status} later")

    async def send_conflicting(self) -> None:
        """Send other content under a version; reads tell whether it came into force."""
        if self.acknowledged_ms:
            version = max(self.acknowledged_ms)
            await self._send(
                encode_manifest(version, "a", includes_revocable_key=True).replace(b"300", b"301")
            )

    async def send_invalid(self) -> None:
        """Send an invalid version, which must be refused."""
        invalid = encode_manifest(self._version + 1, "nowhere", includes_revocable_key=True)
        if await self._send(invalid) == 200:
            self.violations.append("an invalid version was acknowledged")

    async def read(self) -> None:
        """Read the newest version at any node, and compare it with what was sent."""
        asked_ms = self.now_ms()
        answer = await send_request(
            self.rng.choice(self.control_ips), OPERATOR_PORT, "GET", "/v1/Config.Read"
        )
        if answer is None or answer[0] != 200:
            return
        self.reads += 1
        version = json.loads(answer[1])["version"]
        if answer[1] != self.manifests.get(version):
            self.violations.append(f"version {version} was read with content that was not sent")
        newest_acknowledged = self.newest_acknowledged(asked_ms - self.propagation_ms)
        if version < newest_acknowledged:
            self.violations.append(
                f"version {version} was read after {newest_acknowledged} was acknowledged"
            )

    async def _send(self, body: bytes) -> int | None:
        ip = self.rng.choice(self.control_ips)
        answer = await send_request(ip, OPERATOR_PORT, "POST", "/v1/Config.Replace", body)
        return None if answer is None else answer[0]
