"""Tests of the translation of the platform's headers."""

from __future__ import annotations

import pytest

from goldcrestridge_core.codec import encode
from goldcrestridge_core.demand import demand_of
from goldcrestridge_core.engine_types import EngineRequest, SharedPrompt
from goldcrestridge_node.dialect import UpstreamRequestHead
from goldcrestridge_platform.headers import MAX_TOKENS, read_caller, read_upstream, write_upstream

CALLER = (
    (b"host", b"h.example"),
    (b"x-goldcrestridge-request-id", b"r1"),
    (b"x-goldcrestridge-token-count", b"1460,80"),
    (b"x-goldcrestridge-prompt-prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"x-goldcrestridge-deadline-ms", b"5000"),
    (b"x-goldcrestridge-length-hint", b"40"),
    (b"x-api-key", b"secret"),
    (b"accept", b"text/event-stream"),
)
REQUEST_HEAD = UpstreamRequestHead("i-1", 4_000, "w1", 2, None)


def test_a_callers_head_is_decoded() -> None:
    # Guards against a key, time limit or prompt segment that is decoded wrongly.
    head = read_caller(CALLER)
    assert (head.request_id, head.key, head.time_limit_ms) == (b"r1", "secret", 5_000)
    assert (head.prompt_tokens, head.output_tokens) == (1_460, 40)
    assert (head.shared_prefix_id, head.shared_tokens) == ("91bd3f06", 1_210)
    assert read_caller(((b"x-goldcrestridge-prompt-prefix", b"ab:3"),)).shared_prefix_id == "ab"
    assert read_caller(()).shared_prefix_id == ""


def test_the_upstream_gets_the_callers_headers_but_never_the_key() -> None:
    # Guards against forwarding the API key, and against headers that are changed or lost.
    sent = dict(write_upstream(read_caller(CALLER), REQUEST_HEAD))
    assert b"secret" not in sent.values()
    assert b"x-api-key" not in sent
    for name in (b"request-id", b"token-count", b"prompt-prefix", b"length-hint"):
        key = b"x-goldcrestridge-" + name
        assert sent[key] == dict(CALLER)[key]
    assert sent[b"accept"] == b"text/event-stream"
    assert sent[b"x-goldcrestridge-deadline-ms"] == b"4000"
    assert sent[b"x-goldcrestridge-expect-instance"] == b"i-1"
    assert sent[b"x-goldcrestridge-tenant"] == b"w1"
    assert sent[b"x-goldcrestridge-request-priority"] == b"2"


def test_headers_that_only_the_router_may_set_are_not_forwarded_from_the_caller() -> None:
    # Guards against a caller that sets its own workspace, priority, instance or cache options.
    names = (
        b"x-goldcrestridge-tenant",
        b"x-goldcrestridge-request-priority",
        b"x-goldcrestridge-expect-instance",
        b"x-goldcrestridge-hold",
        b"x-goldcrestridge-pin-ms",
        b"x-goldcrestridge-kv-backup",
        b"kv-from",
        b"kv-fetch",
    )
    forged = tuple((name, b"forged") for name in names)
    request_head = UpstreamRequestHead("i-1", 1, "", 5, None)
    sent = write_upstream(read_caller(forged), request_head)
    assert b"forged" not in [value for _, value in sent]


def test_an_engine_is_told_where_to_fetch_missing_parts() -> None:
    # Guards against a header without a source, which engines would reject.
    head = UpstreamRequestHead("i-1", 1, "", 5, fetch_from="10.0.0.1:80")
    assert dict(write_upstream(read_caller(CALLER), head))[b"kv-fetch"] == b"10.0.0.1:80"
    assert b"kv-fetch" not in dict(write_upstream(read_caller(CALLER), REQUEST_HEAD))


def test_the_shared_parts_of_a_prompt_are_decoded_in_order_with_their_sizes() -> None:
    # Guards against a model of an engine's cache that misses or mixes up parts.
    parts = read_caller(CALLER).prompt_parts
    assert [(part.key, part.tokens) for part in parts] == [("5c1e07a2", 800), ("91bd3f06", 410)]
    assert read_caller(((b"x-goldcrestridge-prompt-prefix", b"ab:3"),)).prompt_parts == ()


def test_absurd_sizes_of_a_prompt_are_bounded() -> None:
    # Guards against a caller whose numbers no message between nodes can hold, nor a float.
    for digits in (12, 25, 400, 6_000):
        huge = b"9" * digits
        head = read_caller(
            (
                (b"x-goldcrestridge-token-count", huge + b"," + huge),
                (b"x-goldcrestridge-length-hint", huge),
                (b"x-goldcrestridge-prompt-prefix", b"ab:" + huge + b",cd:1"),
                (b"x-goldcrestridge-deadline-ms", huge),
            )
        )
        assert (head.prompt_tokens, head.output_tokens) == (MAX_TOKENS, MAX_TOKENS)
        assert [part.tokens for part in head.prompt_parts] == [MAX_TOKENS]
        assert (head.time_limit_ms is None) == (digits > 1_000)
        demand = demand_of(
            "ab", head.shared_tokens, head.prompt_tokens, 1, False, head.prompt_parts
        )
        prompt = SharedPrompt(demand.parts, demand.prompt_tokens, demand.cached_work)
        encode(EngineRequest("t", "i", demand.work, 1.0, 1.0, 1, 0, 1.0, 1.0, prompt=prompt))


@pytest.mark.parametrize(
    ("hint", "expected"),
    [(None, 80), (b"", 80), (b"x", 80), (b"-1", 80), (b"0", 0), (b"1", 1), (b"90", 90)],
)
def test_the_expected_output_is_the_hint_or_else_the_maximum(
    hint: bytes | None, expected: int
) -> None:
    # Guards against a hint of 0 that counts as none, so that the maximum is expected.
    headers = [(b"x-goldcrestridge-token-count", b"1460,80")]
    if hint is not None:
        headers.append((b"x-goldcrestridge-length-hint", hint))
    assert read_caller(tuple(headers)).output_tokens == expected


def test_connection_specific_headers_are_not_forwarded() -> None:
    # Guards against forwarding framing or hop-by-hop headers in either direction.
    listed = (
        (b"connection", b"keep-alive, x-mine"),
        (b"x-mine", b"1"),
        (b"keep-alive", b"timeout=5"),
        (b"transfer-encoding", b"chunked"),
        (b"content-length", b"3"),
        (b"x-other", b"2"),
    )
    assert read_caller(listed).forwarded_headers == ((b"x-other", b"2"),)
    answer = read_upstream(200, listed)
    assert answer.forwarded_headers == ((b"x-other", b"2"),)
    assert answer.idle_limit_ms == 4_500.0


def test_an_upstreams_head_is_decoded() -> None:
    # Guards against accepting an unsigned success or an encoded body, and against taking a request
    # for one that was not run although the header that confirms it is missing.
    signed = ((b"x-goldcrestridge-server-stamp", b"s"), (b"x-goldcrestridge-server-load", b"3,2,8"))
    head = read_upstream(200, signed)
    assert head.authentic
    assert not head.not_run
    assert head.load == 5
    assert (b"x-goldcrestridge-server-stamp", b"s") in head.forwarded_headers
    assert not read_upstream(200, ()).authentic
    assert not read_upstream(200, (*signed, (b"content-encoding", b"gzip"))).authentic
    assert read_upstream(503, ((b"x-goldcrestridge-not-executed", b"1"),)).not_run
    assert not read_upstream(503, ()).not_run
    assert read_upstream(421, ()).misdirected
    assert read_upstream(200, ((b"connection", b"close"),)).idle_limit_ms == 0.0


def test_the_limit_that_an_upstream_names_is_decoded() -> None:
    # Guards against a limit that is not read, also in the answer to a rejected request, and against
    # a malformed value that is taken for a limit.
    assert read_upstream(200, ()).limit_per_second is None
    assert read_upstream(503, ((b"server-limit", b"2.5"),)).limit_per_second == 2.5
    assert read_upstream(200, ((b"server-limit", b"0"),)).limit_per_second == 0.0
    for malformed in (b"", b"-1", b"1e9", b"nan", b"inf", b"1 2", b"\xb2", b"9" * 40):
        assert read_upstream(200, ((b"server-limit", malformed),)).limit_per_second is None


def test_the_attempt_whose_stream_a_caller_takes_up_is_decoded() -> None:
    # Guards against a resumed stream whose beginning the router does not look up.
    headers = ((b"resumes", b"abc"), (b"last-event-id", b"7"))
    assert read_caller(headers).resumed_request_id == "abc"
    assert read_caller(()).resumed_request_id == ""


def test_an_upstream_that_leaves_says_so_in_any_answer() -> None:
    # Guards against a notice that is read from one kind of answer only, or from another value.
    for status in (200, 404, 503):
        assert read_upstream(status, ((b"server-leaving", b"1"),)).leaving
    for value in (b"", b"0", b"true"):
        assert not read_upstream(200, ((b"server-leaving", value),)).leaving
    assert not read_upstream(200, ()).leaving


def test_the_rest_that_an_upstream_asks_for_is_decoded() -> None:
    # Guards against fractions that are cut off, and against a date or a malformed value that is
    # taken for a rest; only a rejection asks for one.
    for value, rest_ms in ((b"2", 2_000.0), (b"0.25", 250.0), (b" 1. ", 1_000.0), (b"0", 0.0)):
        assert read_upstream(503, ((b"retry-after", value),)).rest_ms == rest_ms
    malformed = (b"", b"-1", b"soon", b"1e9", b"nan", b"Fri, 04 Dec 2026 09:00:00 GMT", b"1,2")
    for value in malformed:
        assert read_upstream(503, ((b"retry-after", value),)).rest_ms == 0.0
    assert read_upstream(429, ((b"retry-after", b"2"),)).rest_ms == 0.0
    assert read_upstream(200, ((b"retry-after", b"2"),)).rest_ms == 0.0
    assert read_upstream(503, ((b"retry-after", b"9" * 25),)).rest_ms > 0.0
