"""Stand-ins: fencing, lagging load reports, gaps in cache events, and the commands."""

from __future__ import annotations

import subprocess
import sys
from typing import Any

import anyio
import httpcore
import msgspec
import pytest
from tests.node.path_helpers import run, wait_until

from goldcrestridge_core.clock import MS_PER_SECOND, ManualClock
from goldcrestridge_core.config import Upstream
from goldcrestridge_core.types import UpstreamId, UpstreamResting
from goldcrestridge_lab.engine_http import EngineApp, PrefixCache
from goldcrestridge_lab.service_http import ServiceApp
from goldcrestridge_lab.simple_engine import SimpleEngine
from goldcrestridge_node.reports import POLL_INTERVAL_MS, ReportPoller
from goldcrestridge_node.server import listen, serve


async def call_app(app: Any, method: str, path: str, value: object = None) -> tuple[int, Any]:
    """Call an ASGI application directly; return the status and the decoded body."""
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        body = b"" if value is None else msgspec.json.encode(value)
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    path, _, query = path.partition("?")
    scope = {"method": method, "path": path, "query_string": query.encode(), "headers": []}
    await app(scope, receive, send)
    return sent[0]["status"], msgspec.json.decode(sent[1]["body"])


def test_an_outdated_fencing_number_is_refused_only_by_engines_that_check_it() -> None:
    # Guards against a stand-in that hides the behaviour of engines without fencing.
    async def scenario() -> None:
        for check_fencing, last_status in ((True, 409), (False, 200)):
            app = EngineApp(SimpleEngine(), check_fencing=check_fencing)
            statuses = [
                (await call_app(app, "POST", "/orders", {"fencing": number, "kind": "load"}))[0]
                for number in (3, 3, 2)
            ]
            assert statuses == [200, 200, last_status]

    run(scenario)


def test_load_reports_lag() -> None:
    # Guards against a stand-in whose load reports are fresher than those of real engines.
    async def scenario() -> None:
        manual_clock = ManualClock()
        engine = SimpleEngine(slots=1, load_lag_ms=100.0, clock=manual_clock.clock())
        app = EngineApp(engine)
        manual_clock.advance(1_000.0)
        await engine.acquire(0)
        manual_clock.advance(99.0)
        assert (await call_app(app, "GET", "/load"))[1]["running"] == 0
        manual_clock.advance(1.0)
        report = (await call_app(app, "GET", "/load"))[1]
        assert (report["running"], report["time_ms"]) == (1, 1_000.0)

    run(scenario)


def test_the_lowest_priority_number_gets_the_next_slot() -> None:
    # Guards against a stand-in that ignores priorities or leaks slots of cancelled requests.
    async def scenario() -> None:
        engine = SimpleEngine(slots=1)
        await engine.acquire(0)
        order: list[int] = []

        async def worker(priority: int) -> None:
            await engine.acquire(priority)
            order.append(priority)
            engine.release()

        async with anyio.create_task_group() as group:
            scope = anyio.CancelScope()

            async def cancelled() -> None:
                with scope:
                    await worker(0)

            for priority in (2, 1, 3):
                group.start_soon(worker, priority)
            group.start_soon(cancelled)
            await wait_until(lambda: engine.load().waiting == 4)
            scope.cancel()
            await wait_until(lambda: engine.load().waiting == 3)
            engine.release()
        assert order == [1, 2, 3]
        assert engine.running == 0

    run(scenario)


def test_cache_events_are_numbered_and_late_readers_see_a_gap() -> None:
    # Guards against a prefix index that misses evictions without detecting the gap.
    cache = PrefixCache(capacity=2)
    cache.add((1, 2, 3))
    events = cache.events_after(0)
    assert [event["sequence"] for event in events] == [1, 2, 3, 4]
    assert [(event["kind"], event["block"]) for event in events][-1] == ("evicted", 1)
    assert cache.events_after(4) == []
    cache.add(tuple(range(10, 3_000)))
    assert cache.events_after(4)[0]["sequence"] > 5


@pytest.mark.parametrize("name", ["engine_http", "service_http"])
def test_the_commands_serve_until_they_are_told_to_crash(name: str) -> None:
    # Guards against commands that do not start, print no address or keep running after a crash.
    command = [sys.executable, "-m", f"goldcrestridge_lab.{name}", "--port", "0"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        assert process.stdout is not None
        address = process.stdout.readline().strip()

        async def scenario() -> None:
            async with httpcore.AsyncConnectionPool(retries=0) as pool:
                url = f"http://{address}/control"
                assert (await pool.request("POST", url, content=b'{"crash":true}')).status == 200

        run(scenario)
        assert process.wait(timeout=30) == 70


@pytest.mark.parametrize("app", [EngineApp(SimpleEngine()), ServiceApp()])
def test_the_limit_of_a_stand_in_is_read_from_its_load_report(app: Any) -> None:
    # Guards against a field of the load report that the stand-ins and the poller name differently.
    async def scenario() -> None:
        await call_app(app, "POST", "/control", {"limit_per_second": 2.5})
        sock = listen("127.0.0.1", 0)
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        upstream = Upstream(UpstreamId("u"), address, "dc", 4)
        reports: list[Any] = []
        poller = ReportPoller(
            lambda: {upstream.name: upstream}, lambda _: False, reports.append, lambda _: None
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(serve, app, [sock], anyio.Event())
            tasks.start_soon(poller.run)
            await wait_until(lambda: bool(reports))
            await call_app(app, "POST", "/control", {"limit_per_second": None})
            await wait_until(lambda: reports[-1].limit_per_second is None)
            tasks.cancel_scope.cancel()
        assert reports[0].limit_per_second == 2.5

    run(scenario)


@pytest.mark.parametrize("asking", ["/load", "/cache_events"])
def test_an_upstream_that_asks_a_poll_for_a_rest_is_not_polled_until_its_end(asking: str) -> None:
    # Guards against polls in a rest that was asked for in the answer to either of them.
    paths: list[str] = []

    async def app(scope: Any, _receive: Any, send: Any) -> None:
        paths.append(scope["path"])
        rests = scope["path"] == asking
        body = b"" if rests else b'{"running":0,"waiting":0,"slots":4,"events":[]}'
        headers = [(b"content-length", b"%d" % len(body))]
        headers += [(b"retry-after", b"60")] if rests else []
        status = 503 if rests else 200
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    async def scenario() -> None:
        sock = listen("127.0.0.1", 0)
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        upstream = Upstream(UpstreamId("u"), address, "dc", 4)
        reports: list[Any] = []

        def wanted() -> dict[UpstreamId, Upstream]:
            resting = any(isinstance(item, UpstreamResting) for item in reports)
            return {} if resting else {upstream.name: upstream}

        poller = ReportPoller(wanted, lambda _: True, reports.append, lambda _: None)
        async with anyio.create_task_group() as tasks:
            await tasks.start(serve, app, [sock], anyio.Event())
            tasks.start_soon(poller.run)
            await wait_until(lambda: asking in paths)
            # Two intervals in which further polls would come.
            await anyio.sleep(2.2 * POLL_INTERVAL_MS / MS_PER_SECOND)
            tasks.cancel_scope.cancel()
        assert paths.count(asking) == 1
        rests = [item for item in reports if isinstance(item, UpstreamResting)]
        assert [item.left_ms for item in rests] == [60_000.0]

    run(scenario)
