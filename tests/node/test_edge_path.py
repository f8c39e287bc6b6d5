"""Edge and upstream client together, with real sockets: answers, errors and isolation."""

from __future__ import annotations

from tests.node.path_helpers import (
    KEY,
    OTHER_KEY,
    call,
    chat,
    chat_body,
    digest,
    run,
    running_stack,
)

from goldcrestridge_core.config import Configuration, Workspace
from goldcrestridge_lab.engine_http import CompletionRequest, Message, canonical_text
from goldcrestridge_lab.simple_engine import expected_output
from goldcrestridge_node.calls import Directory


def output(text: str, max_tokens: int) -> str:
    body = CompletionRequest("m1", [Message("user", text)])
    return "".join(expected_output(canonical_text(body)[0], max_tokens))


def test_a_chat_answer_passes_unchanged_with_outcome_and_request_id() -> None:
    # Guards against a lost or altered body and against missing outcome headers.
    async def scenario() -> None:
        async with running_stack() as stack:
            reply = await chat(stack, "hello", max_tokens=9)
            assert reply.status == 200
            answer = reply.json()
            assert answer["choices"][0]["message"]["content"] == output("hello", 9)
            assert reply.headers["x-goldcrestridge-outcome"] == "completed"
            assert len(reply.headers["x-goldcrestridge-request-id"]) == 32

    run(scenario)


def test_a_stream_passes_event_by_event_and_ends_with_one_marker() -> None:
    # Guards against lost, reordered or merged events and a doubled end marker.
    async def scenario() -> None:
        async with running_stack() as stack:
            reply = await chat(stack, "hello", stream=True, max_tokens=9)
            assert reply.text() == output("hello", 9)
            assert reply.events().count(b"[DONE]") == 1
            assert reply.events()[-1] == b"[DONE]"
            assert not reply.broken

    run(scenario)


def test_a_text_completion_stream_passes() -> None:
    # Guards against the second completion endpoint being read as chat.
    async def scenario() -> None:
        async with running_stack() as stack:
            body = b'{"model":"m1","prompt":"once","stream":true,"max_tokens":5}'
            reply = await call(stack, "POST", "/v1/completions", body)
            text = "".join(chunk["choices"][0]["text"] for chunk in reply.chunks())
            assert text == "".join(expected_output("once", 5))

    run(scenario)


def test_an_unknown_key_is_refused_and_never_quoted() -> None:
    # Guards against calls without a workspace and against keys in errors.
    async def scenario() -> None:
        async with running_stack() as stack:
            for key in ("sk-wrong", None):
                body = chat_body()
                reply = await call(stack, "POST", "/v1/chat/completions", body, key=key)
                assert reply.status == 401
                assert reply.json()["error"]["code"] == "invalid_api_key"
                assert reply.json()["outcome"] == "not_run"
                assert b"sk-wrong" not in reply.body
            assert stack.engines[0].stats.started == 0

    run(scenario)


def test_a_key_counts_only_as_a_whole() -> None:
    # Guards against a key that is accepted because the beginning of its digest is known.
    def directory(*digests: str) -> Directory:
        workspaces = {str(n): Workspace(str(n), "c", (d,)) for n, d in enumerate(digests)}
        return Directory(Configuration("t", workspaces=workspaces), lambda *_: "c", "home")

    right = digest(KEY)
    similar = [right[:-1] + "g", right[:8] + "0" * 56]
    headers = ((b"authorization", b"Bearer " + KEY.encode()),)
    assert directory(*similar).authenticate(headers) is None
    for position in range(3):
        found = directory(*similar[:position], right, *similar[position:]).authenticate(headers)
        assert found is not None
        assert found.name == str(position)
    assert directory(right.upper()).authenticate(headers) is not None
    assert directory(right).authenticate((*headers, *headers)) is None
    assert directory(right).authenticate(((b"authorization", KEY.encode()),)) is None


def test_a_workspace_sees_only_its_own_models_and_services() -> None:
    # Guards against one customer reading or using what belongs to another.
    async def scenario() -> None:
        async with running_stack() as stack:
            listed = await call(stack, "GET", "/v1/models", key=OTHER_KEY)
            assert [item["id"] for item in listed.json()["data"]] == ["m2"]
            foreign = await call(stack, "POST", "/v1/chat/completions", chat_body(), key=OTHER_KEY)
            unknown = await call(
                stack,
                "POST",
                "/v1/chat/completions",
                chat_body().replace(b"m1", b"m9"),
                key=OTHER_KEY,
            )
            assert foreign.status == unknown.status == 404
            assert foreign.json()["error"] | {"request_id": ""} == unknown.json()["error"] | {
                "request_id": ""
            }
            service = await call(stack, "GET", "/services/bookings/status/1", key=OTHER_KEY)
            assert service.status == 404
            assert stack.engines[0].stats.started == 0

    run(scenario)


def test_a_site_is_taken_from_the_caller_only_if_its_workspace_lists_it() -> None:
    # Guards against callers that pick another site's targets and limits.
    async def scenario() -> None:
        async with running_stack() as stack:
            for named, expected in (("gate", "gate"), ("elsewhere", "home")):
                header = {"x-goldcrestridge-site": named}
                await call(stack, "POST", "/v1/chat/completions", chat_body(max_tokens=1), header)
                assert stack.path.calls[-1].site == expected
                reply = await call(stack, "GET", "/addresses", headers=header)
                assert reply.json()["site"] == expected
                assert reply.json()["ttl_ms"] == 1000

    run(scenario)


def test_the_priority_is_the_routers_and_the_request_id_goes_along() -> None:
    # Guards against callers that raise their own priority or resume another request.
    async def scenario() -> None:
        async with running_stack() as stack:
            await chat(stack, max_tokens=1, priority=-9, resume_from=4)
            sent = stack.engines[0].requests[-1]
            assert sent["priority"] == stack.path.priority
            assert "resume_from" not in sent

    run(scenario)


def test_a_field_given_twice_reaches_the_engine_once() -> None:
    # Guards against an engine that reads another value than the one that was checked.
    async def scenario() -> None:
        async with running_stack() as stack:
            body = chat_body(max_tokens=1).replace(b'"model":"m1"', b'"model":"m2","model":"m1"')
            reply = await call(stack, "POST", "/v1/chat/completions", body)
            assert reply.status == 200
            assert stack.path.calls[-1].body.count(b'"model"') == 1
            assert stack.path.calls[-1].model == "m1"

    run(scenario)


def test_bad_bodies_get_a_clear_error() -> None:
    # Guards against 5xx answers and attempts for requests that cannot be right.
    async def scenario() -> None:
        async with running_stack() as stack:
            bodies = [
                b"",
                b"{",
                b"[]",
                b'{"model":"m1"}',
                b'{"model":7,"messages":[]}',
                b'{"model":"m1","messages":[]}',
                b'{"model":"m1","messages":[{"role":"user"}],"max_tokens":"9"}',
                b'{"model":"m1","messages":[{"role":"user"}],"max_tokens":-1}',
                b'{"model":"m1","messages":[{"role":"user"}],"stream":"yes"}',
                b'{"model":"\xff","messages":[{"role":"user"}]}',
                b'{"model":"m1","messages":' + b"[" * 100_000,
            ]
            for body in bodies:
                reply = await call(stack, "POST", "/v1/chat/completions", body)
                assert reply.status == 400, body[:60]
                assert reply.json()["error"]["code"] == "invalid_body"
                assert reply.json()["error"]["type"] == "invalid_request_error"
            assert stack.path.calls == []

    run(scenario)


def test_unknown_paths_and_methods_get_a_clear_error() -> None:
    # Guards against empty answers for mistaken addresses.
    async def scenario() -> None:
        async with running_stack() as stack:
            assert (await call(stack, "GET", "/nothing")).status == 404
            assert (await call(stack, "GET", "/v1/chat/completions")).status == 405
            assert (await call(stack, "POST", "/v1/models")).status == 405
            for path in ("/healthz", "/readyz", "/metrics"):
                assert (await call(stack, "GET", path, key=None)).status == 200

    run(scenario)


def test_a_service_call_passes_method_path_query_body_and_headers() -> None:
    # Guards against altered calls, and against the bearer key or hop-by-hop headers upstream.
    async def scenario() -> None:
        async with running_stack() as stack:
            headers = {
                "Idempotency-Key": "k1",
                "X-Crew": "7",
                "Connection": "x-private",
                "X-Private": "1",
                "TE": "trailers",
            }
            reply = await call(
                stack, "PUT", "/services/bookings/visits/a%2Fb?day=mon&x=%20", b"\x00body", headers
            )
            seen = reply.json()
            assert reply.headers["x-service"] == "stand-in"
            assert seen["method"] == "PUT"
            assert seen["path"] == "/visits/a%2Fb"
            assert seen["query"] == "day=mon&x=%20"
            assert seen["body"] == "\x00body"
            sent = dict(seen["headers"])
            assert sent["x-crew"] == "7"
            assert sent["idempotency-key"] == "k1"
            assert sent["x-request-id"] == reply.headers["x-goldcrestridge-request-id"]
            assert not {"authorization", "te", "x-private", "connection"} & sent.keys()
            assert stack.path.calls[-1].key == "k1"
            assert not stack.path.calls[-1].repeatable
            await call(stack, "GET", "/services/bookings/status/1")
            assert stack.path.calls[-1].repeatable

    run(scenario)


def test_a_head_request_passes_with_the_length_and_without_a_body() -> None:
    # Guards against a connection that waits for a body that never comes.
    async def scenario() -> None:
        async with running_stack() as stack:
            head = await call(stack, "HEAD", "/services/bookings/status/1")
            assert head.status == 200
            assert int(head.headers["content-length"]) > 0
            assert head.body == b""
            assert not head.broken

    run(scenario)


def test_a_path_with_dot_segments_never_passes_for_a_repeatable_call() -> None:
    # Guards against a booking that matches the rule for status lookups and is then repeated.
    async def scenario() -> None:
        async with running_stack() as stack:
            for path in ("/status/../book", "/status/%2e%2e/book", "/status/..;a/book", "/a%0ab"):
                reply = await call(stack, "GET", f"/services/bookings{path}")
                assert reply.status == 400
                assert reply.json()["error"]["code"] == "invalid_path"
            assert stack.service.runs == {}

    run(scenario)
