"""Stand-ins for clients, servers, the operator and the provider, as PROTOCOL.md describes them."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections.abc import Awaitable, Callable

from fleet import Record

PREFIX = "x-goldcrestridge-"
REASONS = {200: "OK", 404: "Not Found", 421: "Misdirected Request", 503: "Service Unavailable"}


class Head:
    """Start line and headers of a message; names are in lower case."""

    def __init__(self, start: str, headers: dict[str, str]) -> None:
        self.start, self.headers = start, headers


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(start, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    if "chunked" in head.headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return b"".join(parts)
            parts.append(data[:-2])
    return await reader.readexactly(int(head.headers.get("content-length", 0)))


def response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 2.0,
) -> tuple[int, dict[str, str], bytes]:
    """Make one request on a new connection; the status is 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = {"Host": "{}:{}".format(*address), **(headers or {})}
            if body or method == "POST":
                lines["Content-Length"] = str(len(body))
            text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{text}\r\n".encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            return int(head.start.split()[1]), head.headers, await read_body(reader, head)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


class Provider:
    """The provider's list of servers; ``pages`` returns the bytes of the one page."""

    def __init__(self, record: Record, page: Callable[[], bytes]) -> None:
        self.record, self.page, self.calls = record, page, 0

    async def start(self, address: tuple[str, int]) -> None:
        await asyncio.start_server(self._serve, *address)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                await read_body(reader, head)
                self.calls += 1
                headers = {"Content-Type": "application/json"}
                writer.write(response(200, headers, self.page()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


Work = Callable[["Server", Head, bytes, asyncio.StreamWriter], Awaitable[None]]


async def answer_soon(
    server: Server, head: Head, _body: bytes, writer: asyncio.StreamWriter
) -> None:
    """Work for 30 ms and answer."""
    await asyncio.sleep(0.03)
    await server.answer(head, writer)


class Server:
    """One server of a service; ``work`` runs a request that it has accepted."""

    def __init__(
        self, record: Record, name: str, service: str, zone: str, address: tuple[str, int],
        slots: int = 6, work: Work = answer_soon, version: str = "v1",
    ) -> None:
        self.record, self.name, self.service, self.zone = record, name, service, zone
        self.address, self.slots, self.work, self.version = address, slots, work, version
        self.state = "ready"
        self.weights = 1  # Version of the weights of its model.
        self.running = 0
        self.runs: list[tuple[float, str]] = []  # Time and id of each request that began to run.
        self.born = 1_764_900_000_000
        self.readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self._server: asyncio.Server | None = None

    def entry(self) -> dict[str, object]:
        """Return the entry of this server in the provider's list."""
        return {
            "service": self.service, "address": "{}:{}".format(*self.address), "zone": self.zone,
            "version": self.version, "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "stage": "both", "models": [{"name": "m", "version": self.weights, "adapters": []}],
            "born": self.born, "id": self.name,
        }

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *self.address)

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def answer(
        self, head: Head, writer: asyncio.StreamWriter, status: int = 200, body: bytes = b""
    ) -> None:
        request_id = head.headers.get(PREFIX + "request-id", "")
        body = body or f"{self.name} answers {request_id}\n".encode()
        stamp = hashlib.sha256(body + request_id.encode()).hexdigest()[:16]
        headers = {
            "X-Goldcrestridge-Request-Id": request_id,
            "X-Goldcrestridge-Server-Stamp": stamp,
            "X-Goldcrestridge-Server-Load": f"{self.running},0,{self.slots}",
            "Content-Type": "application/octet-stream",
        }
        writer.write(response(status, headers, body))
        await writer.drain()

    def caller_is_gone(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether the connection of a request was closed or reset."""
        return self.readers[writer].at_eof() or writer.transport.is_closing()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.readers[writer] = reader
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                await self._handle(head, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            del self.readers[writer]
            writer.close()

    async def _handle(self, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        request_id = head.headers.get(PREFIX + "request-id", "")
        expected = head.headers.get(PREFIX + "expect-instance", self.name)
        if "healthz" in head.start:
            writer.write(response(200, {"X-Goldcrestridge-Instance-Id": self.name}, b""))
            return
        if expected != self.name or not request_id:
            headers = {"X-Goldcrestridge-Not-Executed": "1",
                       "X-Goldcrestridge-Instance-Id": self.name}
            writer.write(response(421 if request_id else 400, headers, b""))
            return
        if head.headers.get(PREFIX + "expect-version", str(self.weights)) != str(self.weights):
            self.record.add("other_weights", server=self.name, id=request_id)
            headers = {"X-Goldcrestridge-Not-Executed": "1",
                       "X-Goldcrestridge-Request-Id": request_id,
                       "X-Goldcrestridge-Instance-Id": self.name}
            writer.write(response(421, headers, b""))
            return
        self.runs.append((self.record.now(), request_id))
        self.record.add("run", server=self.name, id=request_id)
        self.running += 1
        try:
            await self.work(self, head, body, writer)
        finally:
            self.running -= 1


def page_of(servers: list[Server], *others: bytes) -> bytes:
    """Return a page of the list with the entries of servers and further ones as given."""
    entries = [json.dumps(server.entry()).encode() for server in servers]
    return b'{"instances":[' + b",".join([*entries, *others]) + b'],"next":null}'


HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


def manifest(version: int, keys: tuple[str, ...] = (KEY,), timeout_ms: int = 800) -> bytes:
    """Return a manifest with a route of each plain kind."""
    def route(name: str, prefix: str, kind: str, attempts: int) -> dict[str, object]:
        return {
            "name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 200, "priority": 2,
            "service": "orders", "attempts": attempts, "public": False, "sticky": False,
            "resumable": False, "max_gap_ms": 0,
        }
    return json.dumps({
        "version": version,
        "routes": [route("r-commit", "/commit/", "non_idempotent", 1),
                   route("r-status", "/status/", "idempotent", 2)],
        "services": [{"name": "orders", "health_path": "/healthz", "max_conns": 130,
                      "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": list(keys), "priority": 1}],
    }).encode()


async def send_manifest(
    record: Record, addresses: list[tuple[str, int]], document: bytes, within_s: float
) -> float | None:
    """Send a change again and again until it is acknowledged; return when, or None."""
    version = json.loads(document)["version"]
    record.add("change_sent", version=version)
    until = record.now() + within_s
    number = 0
    while record.now() < until:
        address = addresses[number % len(addresses)]
        number += 1
        status, _, _ = await call(address, "POST", "/v1/Config.Replace",
                                  {"Content-Type": "application/json"}, document, 1.5)
        if status == 200:
            record.add("change_acknowledged", version=version, by=address[0])
            return record.now()
        record.add("change_not_acknowledged", version=version, by=address[0], status=status)
        await asyncio.sleep(0.1)
    return None


async def request(
    record: Record, front: tuple[str, int], request_id: str, path: str = "/status/1",
    method: str = "GET", body: bytes = b"", deadline_ms: int = 1500,
) -> tuple[int, dict[str, str], bytes]:
    """Send one client attempt and record its answer."""
    headers = {
        "Host": HOST, "X-Goldcrestridge-Request-Id": request_id,
        "X-Goldcrestridge-Deadline-Ms": str(deadline_ms), "X-Api-Key": KEY,
    }
    record.add("sent", id=request_id, to=front[0], path=path, bytes=len(body))
    answer = await call(front, method, path, headers, body, deadline_ms / 1000)
    record.add("answered", id=request_id, status=answer[0])
    return answer


def stream_manifest(version: int, prefixes: tuple[str, ...] = ("/match/",)) -> bytes:
    """Return a manifest with resumable streaming routes to model servers, like profile-match."""
    def route(prefix: str) -> dict[str, object]:
        return {
            "name": "r-" + prefix.strip("/"), "host": HOST, "path_prefix": prefix,
            "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 1500, "priority": 2,
            "service": "llm", "attempts": 2, "public": False, "sticky": True, "resumable": True,
            "max_gap_ms": 600,
        }
    return json.dumps({
        "version": version,
        "routes": [route(prefix) for prefix in prefixes],
        "services": [{
            "name": "llm", "health_path": "/healthz", "max_conns": 520, "protocol": "h1",
            "tls": False,
            "engine": {"slots": 96, "kv_capacity": 221158, "kv_token_bytes": 262144,
                       "link_mbps": 260000.0, "moves": True, "backups": True, "stride": 4,
                       "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
                       "models": [{"name": "m"}]},
        }],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }).encode()


async def stream_events(
    server: Server, head: Head, _body: bytes, writer: asyncio.StreamWriter, *,
    events: int = 13, gap_s: float = 0.1,
) -> None:
    """Answer with a chunked stream of events; go on after Last-Event-Id."""
    request_id = head.headers[PREFIX + "request-id"]
    first = int(head.headers.get("last-event-id", 0)) + 1
    version = server.version  # That of the process which runs this request.
    writer.write(
        f"HTTP/1.1 200 OK\r\nX-Goldcrestridge-Request-Id: {request_id}\r\n"
        f"X-Goldcrestridge-Server-Stamp: {server.name}.{version}\r\n"
        f"X-Goldcrestridge-Weights-Version: {server.weights}\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    for number in range(first, events + 1):
        await asyncio.sleep(gap_s)
        event = f"id: {number}\ndata: {server.name} {version} {request_id} {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def read_stream(
    record: Record, front: tuple[str, int], request_id: str, prefix: str,
    headers: dict[str, str] | None = None, limit_s: float = 5.0, path: str = "/match/1",
) -> tuple[int, list[tuple[int, str, str]], bool]:
    """Request a stream; return its status, its events as (id, server, version), and its end.

    The last item tells whether the stream came to its proper end.
    """
    lines = {
        "Host": HOST, "X-Goldcrestridge-Request-Id": request_id, "X-Goldcrestridge-Model": "m",
        "X-Goldcrestridge-Token-Count": "1460,52",
        "X-Goldcrestridge-Prompt-Prefix": f"{prefix}:1200,{request_id}:260",
        "X-Goldcrestridge-Deadline-Ms": str(int(limit_s * 1000)), "X-Api-Key": KEY,
        **(headers or {}),
    }
    body = b'{"prompt":"%s"}' % request_id.encode()  # No two requests are the same.
    lines["Content-Length"] = str(len(body))
    record.add("sent", id=request_id, to=front[0], path=path, **(headers or {}))
    events: list[tuple[int, str, str]] = []
    status, whole, writer = 0, False, None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*front)
            text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(f"POST {path} HTTP/1.1\r\n{text}\r\n".encode() + body)
            head = await read_head(reader)
            if head is not None:
                status = int(head.start.split()[1])
                if "chunked" not in head.headers.get("transfer-encoding", ""):
                    await read_body(reader, head)
                    whole = True
                else:
                    buffer = b""
                    while True:
                        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                        data = await reader.readexactly(size + 2)
                        if not size:
                            whole = True
                            break
                        *done, buffer = (buffer + data[:-2]).split(b"\n\n")
                        for event in done:
                            words = event.decode().split()
                            events.append((int(words[1]), words[3], words[4]))
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    shown = ",".join(f"{number}:{server}:{version}" for number, server, version in events)
    record.add("answered", id=request_id, status=status, whole=int(whole), events=shown)
    return status, events, whole
