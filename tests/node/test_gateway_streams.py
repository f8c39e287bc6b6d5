"""Tests of a gateway that resumes streams in front of upstreams of two software versions."""

from __future__ import annotations

import asyncio

import anyio
import httpcore
import pytest
from attrs import evolve
from tests.node.gateway_helpers import (
    RunningGateway,
    UpstreamExchange,
    event,
    running_gateway,
    scripted,
)

from goldcrestridge_core.follow_types import StreamVersion
from goldcrestridge_core.routes import EngineLimits, RoutedService, RouteTable, WeightedService

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def begin_or_resume(exchange: UpstreamExchange) -> None:
    """Break a new stream off after one event, and end a resumed one."""
    if "last-event-id" in exchange.headers:
        await exchange.stream(event(int(exchange.headers["last-event-id"]) + 1))
        return
    await exchange.stream(event(1), end=False)
    await asyncio.sleep(0.05)
    exchange.reset()


def resumed_at(running: RunningGateway) -> set[str]:
    """Return the versions of the upstreams at which streams were resumed."""
    return {
        upstream.version
        for upstream in running.upstreams
        for exchange in upstream.exchanges
        if "last-event-id" in exchange.headers
    }


@pytest.mark.parametrize("engine", [None, EngineLimits(24, 100_000)])
async def test_a_failed_stream_is_not_resumed_at_another_software_version(
    engine: EngineLimits | None,
) -> None:
    # Guards against an answer that holds events of two versions, which do not fit together.
    upstreams = (
        scripted("a", begin_or_resume, version="v1"),
        scripted("b", begin_or_resume, version="v2"),
    )
    async with running_gateway(*upstreams, engine=engine) as running:
        for number in range(6):
            with pytest.raises(httpcore.RemoteProtocolError):
                await running.call(f"/resume/{number}")
        assert resumed_at(running) == set()


@pytest.mark.parametrize("engine", [None, EngineLimits(24, 100_000)])
@pytest.mark.parametrize("held", ["0", "1"])
async def test_a_callers_retry_resumes_a_stream_only_at_the_version_that_began_it(
    engine: EngineLimits | None, held: str
) -> None:
    # Guards against a caller that gets events of two versions over its attempts, and against an
    # attempt to resume a stream whose beginning is unknown.
    upstreams = [scripted("a", begin_or_resume, version="v1")]
    upstreams += [scripted(f"b{number}", begin_or_resume, version="v2") for number in range(4)]
    async with running_gateway(*upstreams, engine=engine) as running:
        placement = running.gateway.dependencies.placement
        placement.set_instances([upstreams[0].instance()])
        with pytest.raises(httpcore.RemoteProtocolError):
            await running.call("/resume/x", x_goldcrestridge_request_id="first")
        # The list shows that the instance was not started again.
        running.list_upstreams(upstreams)
        for resumed in ("unheard", ""):
            response = await running.call("/resume/x", last_event_id=held, resumes=resumed)
            assert response.status == 503
            assert dict(response.headers)[b"x-goldcrestridge-outcome"] == b"not_run"
        assert resumed_at(running) == set()
        upstreams[0].script = [begin_or_resume]
        placement.record_success(upstreams[0].instance(), 0.0)
        for _ in range(6):
            await running.call("/resume/x", last_event_id=held, resumes="first")
        assert resumed_at(running) == {"v1"}


@pytest.mark.parametrize("held", ["0", "1"])
async def test_a_stream_of_a_split_route_goes_on_at_the_service_that_began_it(held: str) -> None:
    # Guards against a stream that can't go on, or goes on at a service with the same version name,
    # because the route gives the retry to another service.
    upstreams = scripted("a", begin_or_resume), scripted("b", begin_or_resume)
    async with running_gateway(*upstreams) as running:
        deps = running.gateway.dependencies
        table = deps.routes.table
        assert table is not None
        shares = (WeightedService("s", 1), WeightedService("other", 1_000_000))
        routes = tuple(evolve(route, services=shares) for route in table.routes)
        services = {**table.services, "other": RoutedService("other", 100)}
        other = evolve(upstreams[1].instance(), service="other")
        deps.placement.set_instances([upstreams[0].instance(), other])
        with pytest.raises(httpcore.RemoteProtocolError):
            await running.call("/resume/x", x_goldcrestridge_request_id="first")
        deps.routes.table = RouteTable(2, routes, services, table.limits, table.workspaces)
        deps.placement.record_success(upstreams[0].instance(), 0.0)
        # The list shows that the instance was not started again.
        deps.placement.set_instances([upstreams[0].instance(), other], deps.clock.now_ms())
        assert (await running.call("/resume/x", last_event_id=held, resumes="first")).status == 200
        assert "last-event-id" in upstreams[0].exchanges[-1].headers
        deps.routes.table = RouteTable(
            3,
            tuple(evolve(route, services=shares[1:]) for route in table.routes),
            services,
            table.limits,
            table.workspaces,
        )
        response = await running.call("/resume/x", last_event_id=held, resumes="first")
        assert response.status == 503
        assert b"retry-after" not in dict(response.headers)
        assert upstreams[1].exchanges == []


@pytest.mark.parametrize("held", ["0", "1"])
async def test_a_caller_that_names_no_attempt_takes_a_stream_up_if_only_one_version_served(
    held: str,
) -> None:
    # Guards against refusing callers that send Last-Event-Id alone while all upstreams are alike.
    upstreams = (
        scripted("a", begin_or_resume, version="v8"),
        scripted("b", begin_or_resume, version="v8"),
    )
    async with running_gateway(*upstreams) as running:
        assert (await running.call("/resume/x", last_event_id=held)).status == 503
        running.stream_versions[0] = (StreamVersion("s", "v7"), StreamVersion("s", "v8"))
        assert (await running.call("/resume/x", last_event_id=held)).status == 503
        running.stream_versions[0] = (StreamVersion("s", "v8"),)
        assert (await running.call("/resume/x", last_event_id=held)).status == 200


@pytest.mark.parametrize("held", ["0", "1"])
async def test_a_stream_is_not_taken_up_at_the_service_to_which_its_route_was_moved(
    held: str,
) -> None:
    # Guards against a stream that goes on at another service, whose only version has the same name,
    # after all entry nodes were killed and the route was moved.
    upstreams = scripted("a", begin_or_resume), scripted("b", begin_or_resume)
    async with running_gateway(*upstreams) as running:
        deps = running.gateway.dependencies
        table = deps.routes.table
        assert table is not None
        version = upstreams[0].instance().version
        other = evolve(upstreams[1].instance(), service="other", version=version)
        deps.placement.set_instances([upstreams[0].instance(), other])
        services = {**table.services, "other": RoutedService("other", 100)}
        moved = (WeightedService("other", 1),)
        routes = tuple(evolve(route, services=moved) for route in table.routes)
        deps.routes.table = RouteTable(2, routes, services, table.limits, table.workspaces)
        running.stream_versions[0] = (
            StreamVersion("other", version),
            StreamVersion("s", version),
        )
        response = await running.call("/resume/x", last_event_id=held, resumes="first")
        assert response.status == 503
        assert all(not upstream.exchanges for upstream in upstreams)


async def test_a_stream_that_was_taken_up_can_be_taken_up_again() -> None:
    # Guards against a third attempt that is refused, or goes on at any version, since no node holds
    # an origin under the id of the second one.
    upstreams = [scripted(name, begin_or_resume, version="v1") for name in ("a", "b")]
    upstreams.append(scripted("c", begin_or_resume, version="v2"))
    async with running_gateway(*upstreams) as running:
        placement = running.gateway.dependencies.placement
        placement.set_instances([upstreams[0].instance()])
        with pytest.raises(httpcore.RemoteProtocolError):
            await running.call("/resume/x", x_goldcrestridge_request_id="1")
        placement.set_instances([upstream.instance() for upstream in upstreams])
        for number in range(2, 6):
            response = await running.call(
                "/resume/x",
                x_goldcrestridge_request_id=str(number),
                last_event_id=str(number - 1),
                resumes=str(number - 1),
            )
            assert response.status == 200
        assert resumed_at(running) == {"v1"}


async def test_a_slow_stream_is_not_cut_within_the_time_limit_of_its_route() -> None:
    # Guards against a sound stream that is cut because its events are far apart.
    async def slow(exchange: UpstreamExchange) -> None:
        await exchange.write(exchange.head(200, transfer_encoding="chunked"))
        for number in range(1, 5):
            await exchange.write(b"%x\r\n%b\r\n" % (len(event(number)), event(number)))
            await anyio.sleep(0.4)
        await exchange.write(b"0\r\n\r\n")

    async with running_gateway(scripted("a", slow)) as running:
        response = await running.call("/stream/x")
        assert response.content == b"".join(event(number) for number in range(1, 5))


@pytest.mark.parametrize("drip", [b": still here\n\n", b"data: half "])
async def test_a_stalled_stream_that_sends_bytes_now_and_then_ends_at_its_time_limit(
    drip: bytes,
) -> None:
    # Guards against a stream that sends comments or half an event for ever, and that is never
    # ended or looks complete at its end.
    stopped = anyio.Event()

    async def stall(exchange: UpstreamExchange) -> None:
        await exchange.write(exchange.head(200, transfer_encoding="chunked"))
        await exchange.write(b"%x\r\n%b\r\n" % (len(event(1)), event(1)))
        try:
            while True:
                await exchange.write(b"%x\r\n%b\r\n" % (len(drip), drip))
                await anyio.sleep(0.05)
        finally:
            stopped.set()

    async with running_gateway(scripted("a", stall)) as running:
        clock = running.gateway.dependencies.clock
        started_ms = clock.now_ms()
        with pytest.raises(httpcore.RemoteProtocolError), anyio.fail_after(10):
            await running.call("/stream/x", x_goldcrestridge_deadline_ms="700")
        assert 600.0 < clock.now_ms() - started_ms < 2_000.0
        with anyio.fail_after(5):
            await stopped.wait()
