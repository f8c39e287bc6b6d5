"""Edge: broken answers, limits, slow and vanishing callers, and junk on the wire."""

from __future__ import annotations

import socket

import anyio
import msgspec
import structlog
from attrs import evolve
from tests.node.path_helpers import (
    KEY,
    call,
    chat,
    chat_body,
    raw_connection,
    raw_request,
    read_all,
    read_until,
    run,
    running_stack,
    wait_until,
)

from goldcrestridge_lab.service_http import Fault
from goldcrestridge_lab.simple_engine import SimpleEngine
from goldcrestridge_node.exchange import EdgeOptions
from goldcrestridge_node.server import ServerOptions
from goldcrestridge_node.upstream import UpstreamOptions

ENDLESS = 50_000  # Tokens; more than any of these tests reads.
# More bytes than the kernel holds between a stand-in and a caller that does not read.
ABOVE_SOCKET_BUFFERS = 32_000_000


async def control(app: object, **fields: object) -> None:
    """Change a stand-in's behaviour without a connection."""

    async def receive() -> dict[str, object]:
        return {"type": "http.request", "body": msgspec.json.encode(fields), "more_body": False}

    async def send(_: object) -> None:
        return

    scope = {"method": "POST", "path": "/control", "headers": []}
    await app(scope, receive, send)  # type: ignore[operator]


def test_a_stream_that_breaks_gets_an_error_event_and_no_end_marker() -> None:
    # Guards against a broken stream that looks complete.
    async def scenario() -> None:
        async with running_stack() as stack:
            for error_event in (False, True):
                await control(stack.engines[0], fail_after_tokens=3, error_event=error_event)
                reply = await chat(stack, stream=True, max_tokens=9)
                assert reply.status == 200
                assert b"[DONE]" not in reply.body
                last = msgspec.json.decode(reply.events()[-1])
                assert last["outcome"] == "failed"
                assert last["request_id"] == reply.headers["x-goldcrestridge-request-id"]
                assert last["error"]["code"] == "upstream_lost"
                assert "x-goldcrestridge-outcome" not in reply.headers

    run(scenario)


def test_an_upstream_stream_without_its_end_marker_is_a_failure() -> None:
    # Guards against an answer cut at an event boundary with a proper end of the HTTP body.
    answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%b"
    event = b'data: {"id":"a","choices":[{"delta":{"content":"x"}}]}\n\n'

    async def serve_one(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await read_until(stream, b'"priority":3}')
            await stream.send(answer % (len(event), event))

    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve_one)
            async with running_stack(engine_address=f"127.0.0.1:{port}") as stack:
                reply = await chat(stack, stream=True)
                assert reply.events()[0] == event.strip().removeprefix(b"data: ")
                assert b"[DONE]" not in reply.body
                assert "end marker" in stack.path.failures[0].reason
            group.cancel_scope.cancel()

    run(scenario)


def test_a_long_body_of_known_length_is_broken_off() -> None:
    # Guards against a cut answer that the caller takes for a whole one.
    async def scenario() -> None:
        async with running_stack() as stack:
            await control(stack.service, answer_bytes=200_000, fault="cut")
            reply = await call(stack, "GET", "/services/bookings/status/1")
            assert reply.status == 200
            assert reply.broken

    run(scenario)


def test_a_short_answer_that_breaks_becomes_an_error_response() -> None:
    # Guards against a broken connection where the truthful outcome can still be told.
    async def scenario() -> None:
        async with running_stack() as stack:
            await control(stack.service, fault="cut")
            reply = await call(stack, "POST", "/services/bookings/book", b"{}")
            assert reply.status == 504
            assert reply.json()["outcome"] == "unknown"
            assert reply.headers["x-goldcrestridge-outcome"] == "unknown"
            assert reply.headers["x-should-retry"] == "false"
            assert reply.headers["retry-after"] == "2"  # 1200 ms, rounded up.

    run(scenario)


def test_a_service_that_closes_before_or_after_running_is_reported_as_sent() -> None:
    # Guards against "not run" for a call that may have run.
    async def scenario() -> None:
        async with running_stack() as stack:
            for fault, runs in ((Fault.CLOSE_BEFORE, 0), (Fault.CLOSE_AFTER, 1)):
                await control(stack.service, fault=fault.value)
                key = {"Idempotency-Key": fault.value}
                reply = await call(stack, "POST", "/services/bookings/book", b"{}", key)
                assert reply.json()["outcome"] == "unknown"
                assert stack.path.failures[-1].sent
                assert stack.service.runs[fault.value] == runs

    run(scenario)


def test_a_refused_connection_is_not_run() -> None:
    # Guards against "failed" where it is certain that nothing was sent.
    async def scenario() -> None:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{closed.getsockname()[1]}"
            async with running_stack(engine_address=address) as stack:
                reply = await chat(stack)
                assert reply.status == 503
                assert reply.json()["outcome"] == "not_run"
                assert not stack.path.failures[0].sent

    run(scenario)


def test_a_caller_that_goes_away_stops_the_work_at_once() -> None:
    # Guards against an engine that generates for nobody, and against leaked requests.
    async def scenario() -> None:
        async with running_stack() as stack:
            body = chat_body(stream=True, max_tokens=ENDLESS)
            async with raw_connection(stack) as stream:
                await stream.send(raw_request(body))
                await read_until(stream, b"delta")
            await wait_until(lambda: len(stack.path.gone) == 1)
            await wait_until(
                lambda: stack.path.client.running == 0 and stack.path.edge.in_flight == 0
            )
            stats = stack.engines[0].stats
            await wait_until(lambda: stats.cancelled + stats.completed == 1)
            assert stack.path.edge.held_bytes == 0

    run(scenario)


def test_a_caller_that_goes_while_it_waits_is_noticed() -> None:
    # Guards against a request that keeps its place after its caller left.
    async def scenario() -> None:
        async with running_stack(engine=lambda: SimpleEngine(base_first_token_ms=1e9)) as stack:
            async with raw_connection(stack) as stream:
                await stream.send(raw_request(chat_body()))
                await wait_until(lambda: stack.engines[0].stats.started == 1)
            await wait_until(lambda: len(stack.path.gone) == 1)
            await wait_until(lambda: stack.engines[0].stats.cancelled == 1)

    run(scenario)


def test_a_slow_caller_stops_the_reading_from_the_upstream() -> None:
    # Guards against memory that grows with the answer while the caller does not read.
    async def scenario() -> None:
        async with running_stack() as stack, raw_connection(stack) as stream:
            await control(stack.service, answer_bytes=ABOVE_SOCKET_BUFFERS)
            request = raw_request(b"{}", "/services/bookings/status/1")
            await stream.send(request.replace(b"POST", b"GET"))
            await read_until(stream, b"\r\n\r\n")
            answer = next(iter(stack.path.edge._answers.values()))
            receiver = answer._receiver
            await wait_until(lambda: receiver.statistics().tasks_waiting_send == 1)
            held = receiver.statistics()
            assert held.current_buffer_used <= stack.path.edge.options.chunk_buffer
            assert stack.path.edge.in_flight == 1
            assert (await chat(stack, max_tokens=2)).status == 200  # Nobody else is held up.
            assert stack.engines[0].stats.completed == 1

    run(scenario)


def test_a_caller_that_takes_nothing_is_cut_off() -> None:
    # Guards against a slot that one stalled caller holds for ever.
    async def scenario() -> None:
        options = EdgeOptions(send_timeout_ms=20.0)
        async with running_stack(edge_options=options) as stack, raw_connection(stack) as stream:
            await control(stack.service, answer_bytes=ABOVE_SOCKET_BUFFERS)
            request = raw_request(b"{}", "/services/bookings/status/1")
            await stream.send(request.replace(b"POST", b"GET"))
            await wait_until(lambda: len(stack.path.gone) == 1)
            await wait_until(
                lambda: stack.path.client.running == 0 and stack.path.edge.in_flight == 0
            )

    run(scenario)


def test_a_body_above_the_limit_is_refused_with_or_without_a_length() -> None:
    # Guards against unbounded bodies, and against a reset that hides the error.
    async def scenario() -> None:
        async with running_stack(edge_options=EdgeOptions(max_body_bytes=100_000)) as stack:
            big = b"x" * 3_000_000
            reply = await call(stack, "POST", "/v1/chat/completions", big)
            assert reply.status == 413
            async with raw_connection(stack) as stream:
                head = raw_request(b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
                await stream.send(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(big), big))
                assert b" 413 " in await read_all(stream)
            assert stack.path.edge.held_bytes == 0
            assert stack.path.calls == []

    run(scenario)


def test_all_bodies_together_are_bounded() -> None:
    # Guards against memory that grows with the number of callers.
    async def scenario() -> None:
        options = EdgeOptions(max_held_bytes=5_000)
        async with running_stack(edge_options=options) as stack, raw_connection(stack) as first:
            body = chat_body("x" * 4_000)
            await first.send(raw_request(body)[:-10])
            await wait_until(lambda: stack.path.edge.held_bytes > 3_000)
            reply = await chat(stack, "y" * 4_000)
            assert reply.status == 503
            assert reply.json()["error"]["code"] == "overloaded"
            assert reply.headers["retry-after"] == "1"
            await first.send(raw_request(body)[-10:])
            assert b" 200 " in await read_until(first, b"}")
            await wait_until(lambda: stack.path.edge.held_bytes == 0)

    run(scenario)


def test_too_many_requests_at_once_are_refused() -> None:
    # Guards against unbounded requests in flight.
    async def scenario() -> None:
        options = EdgeOptions(max_requests=1)
        slow = SimpleEngine(base_first_token_ms=1e9)
        async with (
            running_stack(edge_options=options, engine=lambda: slow) as stack,
            raw_connection(stack) as stream,
        ):
            await stream.send(raw_request(chat_body()))
            await wait_until(lambda: stack.path.edge.in_flight == 1)
            assert (await chat(stack)).status == 503

    run(scenario)


def test_a_slow_body_and_a_slow_head_run_into_a_timeout() -> None:
    # Guards against callers that hold connections by sending a byte now and then.
    async def scenario() -> None:
        edge = EdgeOptions(body_timeout_ms=20.0)
        async with running_stack(edge_options=edge) as stack, raw_connection(stack) as stream:
            await stream.send(raw_request(chat_body())[:-5])
            reply = await read_until(stream, b"request_id")
            assert b" 408 " in reply
            assert b"body_timeout" in reply
            await wait_until(lambda: stack.path.edge.held_bytes == 0)
        server = ServerOptions(head_timeout_ms=20.0)
        async with running_stack(server_options=server) as stack, raw_connection(stack) as stream:
            await stream.send(b"POST /v1/chat")
            reply = await read_all(stream)
            assert b" 408 " in reply
            assert b"head_timeout" in reply

    run(scenario)


def test_a_connection_without_a_request_runs_into_the_head_timeout() -> None:
    # Guards against callers that hold connections without a request, at first or later.
    async def scenario() -> None:
        server = ServerOptions(head_timeout_ms=500.0)
        async with running_stack(server_options=server) as stack:
            async with raw_connection(stack) as stream:
                assert b"head_timeout" in await read_all(stream)
            async with raw_connection(stack) as stream:
                await stream.send(raw_request(chat_body(max_tokens=1)))
                await read_until(stream, b"choices")
                await wait_until(lambda: stack.path.edge.in_flight == 0)
                await stream.send(b"POST /v1/chat")
                assert b"head_timeout" in await read_all(stream)

    run(scenario)


def test_too_many_connections_are_refused_with_an_error() -> None:
    # Guards against unbounded connections, each with its own buffers.
    async def scenario() -> None:
        server = ServerOptions(max_connections=1)
        async with running_stack(server_options=server) as stack:
            async with raw_connection(stack) as first:
                await first.send(raw_request(chat_body(max_tokens=1)))
                await read_until(first, b"choices")
                async with raw_connection(stack) as second:
                    assert b" 503 " in await read_all(second)
            assert stack.engines[0].stats.started == 1

    run(scenario)


def test_a_caller_that_asks_before_it_sends_its_body_is_told_to_go_on() -> None:
    # Guards against callers with large bodies that wait for the interim answer.
    async def scenario() -> None:
        async with running_stack() as stack, raw_connection(stack) as stream:
            body = chat_body(max_tokens=1)
            request = raw_request(body, extra="Expect: 100-continue\r\n")
            await stream.send(request.removesuffix(body))
            assert b" 100 " in await read_until(stream, b"\r\n\r\n")
            await stream.send(body)
            assert b" 200 " in await read_until(stream, b"choices")

    run(scenario)


def test_a_refused_request_whose_body_never_ends_loses_its_connection() -> None:
    # Guards against callers that hold a connection after an early refusal.
    async def scenario() -> None:
        async with (
            running_stack(edge_options=EdgeOptions(drain_timeout_ms=20.0)) as stack,
            raw_connection(stack) as stream,
        ):
            request = raw_request(chat_body()).replace(b"Bearer", b"Basic")
            await stream.send(request[:-5])
            assert b" 401 " in await read_all(stream)

    run(scenario)


def test_a_body_of_unknown_length_that_breaks_has_no_last_chunk() -> None:
    # Guards against a chunked answer that is cut and still ended properly.
    async def serve_one(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await read_until(stream, b'"priority":3}')
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            await stream.send(head + b"3\r\nabc\r\n")

    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve_one)
            async with running_stack(engine_address=f"127.0.0.1:{port}") as stack:
                reply = await chat(stack)
                assert reply.body == b"abc"
                assert reply.broken
            group.cancel_scope.cancel()

    run(scenario)


def test_a_fault_of_the_router_is_answered_and_logged_without_the_request() -> None:
    # Guards against hanging callers, and against keys in logs or errors.
    async def scenario() -> None:
        async with running_stack() as stack:

            def submit(event: object) -> None:
                raise RuntimeError(f"{KEY} {event}")

            stack.path.edge.hooks = evolve(stack.path.edge.hooks, submit=submit)
            with structlog.testing.capture_logs() as logs:
                reply = await chat(stack)
            assert reply.status == 500
            assert reply.json()["outcome"] == "unknown"
            assert [entry["event"] for entry in logs] == ["request_failed"]
            assert KEY not in str(logs)
            assert KEY.encode() not in reply.body

    run(scenario)


def test_a_head_above_the_limit_is_refused() -> None:
    # Guards against unbounded heads.
    async def scenario() -> None:
        server = ServerOptions(max_head_bytes=4_096)
        async with running_stack(server_options=server) as stack, raw_connection(stack) as stream:
            await stream.send(b"GET /healthz HTTP/1.1\r\nX: " + b"y" * 10_000)
            reply = await read_all(stream)
            assert b" 431 " in reply
            assert b"head_too_large" in reply

    run(scenario)


def test_junk_gets_a_json_error_and_the_connection_is_closed() -> None:
    # Guards against exceptions in the parser's callback and against plain-text errors.
    async def scenario() -> None:
        async with running_stack() as stack:
            for junk in (b"\x16\x03\x01\x02\x00\n\n", b"GET\r\n\r\n", b"GET / HTTP/9\r\n\r\n"):
                async with raw_connection(stack) as stream:
                    await stream.send(junk)
                    head, _, body = (await read_all(stream)).partition(b"\r\n\r\n")
                    assert b" 400 " in head
                    assert msgspec.json.decode(body)["outcome"] == "not_run"

    run(scenario)


def test_pipelined_junk_does_not_disturb_the_answer_before_it() -> None:
    # Guards against an answer cut or mixed by what follows its request on the connection.
    async def scenario() -> None:
        async with running_stack() as stack, raw_connection(stack) as stream:
            await stream.send(raw_request(chat_body(max_tokens=3)) + b"\x00junk\r\n\r\n" * 100)
            answers = await read_all(stream)
            assert answers.startswith(b"HTTP/1.1 200 ")
            assert answers.count(b"HTTP/1.1 ") == 2
            assert b"HTTP/1.1 400 " in answers

    run(scenario)


def test_bad_chunk_framing_during_the_body_is_refused() -> None:
    # Guards against an unhandled parser error while the application reads the body.
    async def scenario() -> None:
        async with running_stack() as stack:
            async with raw_connection(stack) as stream:
                head = raw_request(b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
                await stream.send(head + b"zz\r\n")
                assert b" 400 " in await read_all(stream)
            await wait_until(lambda: stack.path.edge.held_bytes == 0)
            assert stack.path.calls == []

    run(scenario)


def test_http_1_0_is_refused() -> None:
    # Guards against callers that cannot tell a broken answer from a whole one.
    async def scenario() -> None:
        async with running_stack() as stack, raw_connection(stack) as stream:
            await stream.send(b"GET /healthz HTTP/1.0\r\n\r\n")
            assert b" 505 " in await read_all(stream)

    run(scenario)


def test_a_graceful_stop_lets_the_requests_in_flight_end() -> None:
    # Guards against P7: a shutdown that breaks answers off.
    async def scenario() -> None:
        gate = SimpleEngine(base_first_token_ms=50.0)
        async with running_stack(engine=lambda: gate) as stack, anyio.create_task_group() as group:
            replies = []

            async def caller() -> None:
                replies.append(await chat(stack, stream=True, max_tokens=3))

            group.start_soon(caller)
            await wait_until(lambda: stack.path.edge.in_flight == 1)
            stack.stop.set()
            await wait_until(lambda: len(replies) == 1)
            assert replies[0].events()[-1] == b"[DONE]"

    run(scenario)


def test_an_upstream_that_never_answers_runs_into_the_head_timeout() -> None:
    # Guards against attempts that hang for ever.
    async def scenario() -> None:
        options = UpstreamOptions(head_timeout_ms=20.0)
        slow = SimpleEngine(base_first_token_ms=1e9)
        async with running_stack(upstream_options=options, engine=lambda: slow) as stack:
            reply = await chat(stack)
            assert reply.status == 502
            assert "ReadTimeout" in stack.path.failures[0].reason
            await wait_until(lambda: stack.engines[0].stats.cancelled == 1)

    run(scenario)
