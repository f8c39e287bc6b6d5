"""Tests of the edge: failed upstreams, limits, slow or disconnected callers and invalid input."""

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
from goldcrestridge_node.caller_connection import ServerOptions
from goldcrestridge_node.exchange import EdgeOptions
from goldcrestridge_node.upstream import UpstreamOptions

ENDLESS = 50_000  # Tokens; more than any of these tests reads.
# More bytes than the kernel buffers between a simulated upstream and a caller that does not read.
ABOVE_SOCKET_BUFFERS = 32_000_000


async def control(app: object, **fields: object) -> None:
    """Change the behaviour of a simulated upstream without a connection."""

    async def receive() -> dict[str, object]:
        return {"type": "http.request", "body": msgspec.json.encode(fields), "more_body": False}

    async def send(_: object) -> None:
        return

    scope = {"method": "POST", "path": "/control", "headers": []}
    await app(scope, receive, send)  # type: ignore[operator]


def test_a_failed_stream_gets_an_error_event_and_no_end_marker() -> None:
    # Guards against a failed stream that looks complete.
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
    # Guards against a response that is cut at an event boundary but whose HTTP body ends properly.
    response = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%b"
    event = b'data: {"id":"a","choices":[{"delta":{"content":"x"}}]}\n\n'

    async def serve_one(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await read_until(stream, b'"priority":3}')
            await stream.send(response % (len(event), event))

    async def scenario() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as group:
            group.start_soon(listener.serve, serve_one)
            async with running_stack(engine_address=f"127.0.0.1:{port}") as stack:
                reply = await chat(stack, stream=True)
                assert reply.events()[0] == event.strip().removeprefix(b"data: ")
                assert b"[DONE]" not in reply.body
                assert "end marker" in stack.forwarder.failures[0].reason
            group.cancel_scope.cancel()

    run(scenario)


def test_a_long_response_that_fails_is_cut() -> None:
    # Guards against a cut response that the caller takes for a complete one.
    async def scenario() -> None:
        async with running_stack() as stack:
            await control(stack.service, answer_bytes=200_000, fault="cut")
            reply = await call(stack, "GET", "/services/bookings/status/1")
            assert reply.status == 200
            assert reply.cut

    run(scenario)


def test_a_short_response_that_fails_becomes_an_error_response() -> None:
    # Guards against a closed connection where the outcome can still be reported.
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
    # Guards against the outcome "not run" for a call that may have run.
    async def scenario() -> None:
        async with running_stack() as stack:
            for fault, runs in ((Fault.CLOSE_BEFORE, 0), (Fault.CLOSE_AFTER, 1)):
                await control(stack.service, fault=fault.value)
                key = {"Idempotency-Key": fault.value}
                reply = await call(stack, "POST", "/services/bookings/book", b"{}", key)
                assert reply.json()["outcome"] == "unknown"
                assert stack.forwarder.failures[-1].sent
                assert stack.service.runs[fault.value] == runs

    run(scenario)


def test_a_request_whose_upstream_refuses_the_connection_is_not_run() -> None:
    # Guards against the outcome "failed" although nothing was sent.
    async def scenario() -> None:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{closed.getsockname()[1]}"
            async with running_stack(engine_address=address) as stack:
                reply = await chat(stack)
                assert reply.status == 503
                assert reply.json()["outcome"] == "not_run"
                assert not stack.forwarder.failures[0].sent

    run(scenario)


def test_a_disconnect_of_the_caller_cancels_its_attempt_at_once() -> None:
    # Guards against an engine that generates output without a caller, and against leaked requests.
    async def scenario() -> None:
        async with running_stack() as stack:
            body = chat_body(stream=True, max_tokens=ENDLESS)
            async with raw_connection(stack) as stream:
                await stream.send(raw_request(body))
                await read_until(stream, b"delta")
            await wait_until(lambda: len(stack.forwarder.disconnected) == 1)
            await wait_until(
                lambda: stack.forwarder.client.running == 0 and stack.forwarder.edge.in_flight == 0
            )
            stats = stack.engines[0].stats
            await wait_until(lambda: stats.cancelled + stats.completed == 1)
            assert stack.forwarder.edge.reserved_bytes == 0

    run(scenario)


def test_a_disconnect_before_the_first_token_cancels_the_attempt() -> None:
    # Guards against a request that holds its slot after its caller has disconnected.
    async def scenario() -> None:
        async with running_stack(engine=lambda: SimpleEngine(base_first_token_ms=1e9)) as stack:
            async with raw_connection(stack) as stream:
                await stream.send(raw_request(chat_body()))
                await wait_until(lambda: stack.engines[0].stats.started == 1)
            await wait_until(lambda: len(stack.forwarder.disconnected) == 1)
            await wait_until(lambda: stack.engines[0].stats.cancelled == 1)

    run(scenario)


def test_nothing_is_read_from_the_upstream_while_the_caller_does_not_read() -> None:
    # Guards against memory use that grows with the response while the caller does not read.
    async def scenario() -> None:
        async with running_stack() as stack, raw_connection(stack) as stream:
            await control(stack.service, answer_bytes=ABOVE_SOCKET_BUFFERS)
            request = raw_request(b"{}", "/services/bookings/status/1")
            await stream.send(request.replace(b"POST", b"GET"))
            await read_until(stream, b"\r\n\r\n")
            buffer = next(iter(stack.forwarder.edge._responses.values()))
            receiver = buffer._receiver
            await wait_until(lambda: receiver.statistics().tasks_waiting_send == 1)
            statistics = receiver.statistics()
            assert (
                statistics.current_buffer_used <= stack.forwarder.edge.options.max_buffered_chunks
            )
            assert stack.forwarder.edge.in_flight == 1
            # Other requests are not delayed.
            assert (await chat(stack, max_tokens=2)).status == 200
            assert stack.engines[0].stats.completed == 1

    run(scenario)


def test_a_caller_that_reads_nothing_is_disconnected() -> None:
    # Guards against a slot that a stalled caller holds indefinitely.
    async def scenario() -> None:
        options = EdgeOptions(send_timeout_ms=20.0)
        async with running_stack(edge_options=options) as stack, raw_connection(stack) as stream:
            await control(stack.service, answer_bytes=ABOVE_SOCKET_BUFFERS)
            request = raw_request(b"{}", "/services/bookings/status/1")
            await stream.send(request.replace(b"POST", b"GET"))
            await wait_until(lambda: len(stack.forwarder.disconnected) == 1)
            await wait_until(
                lambda: stack.forwarder.client.running == 0 and stack.forwarder.edge.in_flight == 0
            )

    run(scenario)


def test_a_body_above_the_limit_is_refused_with_or_without_a_length() -> None:
    # Guards against unbounded bodies, and against a reset that loses the error response.
    async def scenario() -> None:
        async with running_stack(edge_options=EdgeOptions(max_body_bytes=100_000)) as stack:
            big = b"x" * 3_000_000
            reply = await call(stack, "POST", "/v1/chat/completions", big)
            assert reply.status == 413
            async with raw_connection(stack) as stream:
                head = raw_request(b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
                await stream.send(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(big), big))
                assert b" 413 " in await read_all(stream)
            assert stack.forwarder.edge.reserved_bytes == 0
            assert stack.forwarder.calls == []

    run(scenario)


def test_the_total_size_of_all_bodies_is_bounded() -> None:
    # Guards against memory use that grows with the number of callers.
    async def scenario() -> None:
        options = EdgeOptions(max_reserved_bytes=5_000)
        async with running_stack(edge_options=options) as stack, raw_connection(stack) as first:
            body = chat_body("x" * 4_000)
            await first.send(raw_request(body)[:-10])
            await wait_until(lambda: stack.forwarder.edge.reserved_bytes > 3_000)
            reply = await chat(stack, "y" * 4_000)
            assert reply.status == 503
            assert reply.json()["error"]["code"] == "overloaded"
            assert reply.headers["retry-after"] == "1"
            await first.send(raw_request(body)[-10:])
            assert b" 200 " in await read_until(first, b"}")
            await wait_until(lambda: stack.forwarder.edge.reserved_bytes == 0)

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
            await wait_until(lambda: stack.forwarder.edge.in_flight == 1)
            assert (await chat(stack)).status == 503

    run(scenario)


def test_a_slow_body_and_a_slow_head_time_out() -> None:
    # Guards against callers that hold connections by sending very slowly.
    async def scenario() -> None:
        edge = EdgeOptions(body_timeout_ms=20.0)
        async with running_stack(edge_options=edge) as stack, raw_connection(stack) as stream:
            await stream.send(raw_request(chat_body())[:-5])
            reply = await read_until(stream, b"request_id")
            assert b" 408 " in reply
            assert b"body_timeout" in reply
            await wait_until(lambda: stack.forwarder.edge.reserved_bytes == 0)
        server = ServerOptions(head_timeout_ms=20.0)
        async with running_stack(server_options=server) as stack, raw_connection(stack) as stream:
            await stream.send(b"POST /v1/chat")
            reply = await read_all(stream)
            assert b" 408 " in reply
            assert b"head_timeout" in reply

    run(scenario)


def test_a_connection_without_a_complete_head_times_out() -> None:
    # Guards against callers that hold connections without a request, whether new or reused.
    async def scenario() -> None:
        server = ServerOptions(head_timeout_ms=500.0)
        async with running_stack(server_options=server) as stack:
            async with raw_connection(stack) as stream:
                assert b"head_timeout" in await read_all(stream)
            async with raw_connection(stack) as stream:
                await stream.send(raw_request(chat_body(max_tokens=1)))
                await read_until(stream, b"choices")
                await wait_until(lambda: stack.forwarder.edge.in_flight == 0)
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


def test_a_caller_that_expects_100_continue_gets_it_before_it_sends_its_body() -> None:
    # Guards against callers with large bodies that wait for the interim response.
    async def scenario() -> None:
        async with running_stack() as stack, raw_connection(stack) as stream:
            body = chat_body(max_tokens=1)
            request = raw_request(body, extra="Expect: 100-continue\r\n")
            await stream.send(request.removesuffix(body))
            assert b" 100 " in await read_until(stream, b"\r\n\r\n")
            await stream.send(body)
            assert b" 200 " in await read_until(stream, b"choices")

    run(scenario)


def test_a_refused_request_whose_body_never_ends_is_disconnected() -> None:
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


def test_a_chunked_response_that_fails_has_no_last_chunk() -> None:
    # Guards against a chunked response that is cut but looks complete.
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
                assert reply.cut
            group.cancel_scope.cancel()

    run(scenario)


def test_an_internal_error_is_reported_and_logged_without_the_request() -> None:
    # Guards against callers that get no response, and against keys in logs or errors.
    async def scenario() -> None:
        async with running_stack() as stack:

            def submit(event: object) -> None:
                raise RuntimeError(f"{KEY} {event}")

            stack.forwarder.edge.hooks = evolve(stack.forwarder.edge.hooks, submit=submit)
            with structlog.testing.capture_logs() as logs:
                reply = await chat(stack)
            assert reply.status == 500
            assert reply.json()["outcome"] == "unknown"
            assert [entry["event"] for entry in logs] == ["request_failed"]
            assert KEY not in str(logs)
            assert KEY.encode() not in reply.body

    run(scenario)


def test_a_head_above_the_limit_is_refused() -> None:
    # Guards against request heads of unbounded size.
    async def scenario() -> None:
        server = ServerOptions(max_head_bytes=4_096)
        async with running_stack(server_options=server) as stack, raw_connection(stack) as stream:
            await stream.send(b"GET /healthz HTTP/1.1\r\nX: " + b"y" * 10_000)
            reply = await read_all(stream)
            assert b" 431 " in reply
            assert b"head_too_large" in reply

    run(scenario)


def test_invalid_http_gets_a_json_error_and_the_connection_is_closed() -> None:
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


def test_invalid_pipelined_data_does_not_affect_the_response_before_it() -> None:
    # Guards against a response that is cut or altered by the data after its request.
    async def scenario() -> None:
        async with running_stack() as stack, raw_connection(stack) as stream:
            await stream.send(raw_request(chat_body(max_tokens=3)) + b"\x00junk\r\n\r\n" * 100)
            responses = await read_all(stream)
            assert responses.startswith(b"HTTP/1.1 200 ")
            assert responses.count(b"HTTP/1.1 ") == 2
            assert b"HTTP/1.1 400 " in responses

    run(scenario)


def test_bad_chunk_framing_during_the_body_is_refused() -> None:
    # Guards against an unhandled parser error while the application reads the body.
    async def scenario() -> None:
        async with running_stack() as stack:
            async with raw_connection(stack) as stream:
                head = raw_request(b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
                await stream.send(head + b"zz\r\n")
                assert b" 400 " in await read_all(stream)
            await wait_until(lambda: stack.forwarder.edge.reserved_bytes == 0)
            assert stack.forwarder.calls == []

    run(scenario)


def test_http_1_0_is_refused() -> None:
    # Guards against callers that cannot distinguish a cut response from a complete one.
    async def scenario() -> None:
        async with running_stack() as stack, raw_connection(stack) as stream:
            await stream.send(b"GET /healthz HTTP/1.0\r\n\r\n")
            assert b" 505 " in await read_all(stream)

    run(scenario)


def test_a_graceful_stop_completes_the_requests_in_flight() -> None:
    # Guards against P7: a shutdown that cuts responses.
    async def scenario() -> None:
        gate = SimpleEngine(base_first_token_ms=50.0)
        async with running_stack(engine=lambda: gate) as stack, anyio.create_task_group() as group:
            replies = []

            async def caller() -> None:
                replies.append(await chat(stack, stream=True, max_tokens=3))

            group.start_soon(caller)
            await wait_until(lambda: stack.forwarder.edge.in_flight == 1)
            stack.stop.set()
            await wait_until(lambda: len(replies) == 1)
            assert replies[0].events()[-1] == b"[DONE]"

    run(scenario)


def test_an_upstream_that_never_responds_times_out() -> None:
    # Guards against attempts that never end.
    async def scenario() -> None:
        options = UpstreamOptions(head_timeout_ms=20.0)
        slow = SimpleEngine(base_first_token_ms=1e9)
        async with running_stack(upstream_options=options, engine=lambda: slow) as stack:
            reply = await chat(stack)
            assert reply.status == 502
            assert "ReadTimeout" in stack.forwarder.failures[0].reason
            await wait_until(lambda: stack.engines[0].stats.cancelled == 1)

    run(scenario)
