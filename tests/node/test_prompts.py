"""Tests of prompt decoding and of the event parser."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from goldcrestridge_node.prompts import (
    BLOCK_CHARS,
    MAX_BLOCKS,
    decode_chat,
    decode_text,
    prefix_hashes,
)
from goldcrestridge_node.sse import EventReader, StreamError, event_bytes


@given(st.text(max_size=1_200), st.text(max_size=600), st.text(max_size=600))
def test_hashes_are_equal_exactly_for_equal_prefixes(common: str, left: str, right: str) -> None:
    # Guards against hashes that ignore earlier blocks, and hashes that differ for equal prefixes.
    left_hashes, right_hashes = (
        prefix_hashes("m", common + left),
        prefix_hashes("m", common + right),
    )
    blocks = [
        [text[i : i + BLOCK_CHARS] for i in range(0, len(text), BLOCK_CHARS)]
        for text in (common + left, common + right)
    ]
    same = True
    for number, (a, b) in enumerate(zip(left_hashes, right_hashes, strict=False)):
        same = same and blocks[0][number] == blocks[1][number]
        assert (a == b) == same
    assert len(left_hashes) == len(common + left) // BLOCK_CHARS


def test_hashes_are_bounded_and_differ_by_model() -> None:
    # Guards against slot requests that grow with the prompt, and against matches across models.
    text = "x" * BLOCK_CHARS * (MAX_BLOCKS + 5)
    assert len(prefix_hashes("a", text)) == MAX_BLOCKS
    assert prefix_hashes("a", text)[0] != prefix_hashes("b", text)[0]


def test_the_hashes_are_the_same_in_every_process() -> None:
    # Guards against hashes that differ between processes, which no cache event would match.
    assert prefix_hashes("m1", "a" * BLOCK_CHARS) == (EXPECTED_HASH,)


def test_the_canonical_body_has_every_field_once_and_no_reserved_one() -> None:
    # Guards against an engine that reads another value than the one checked, for example because
    # of a duplicate field or an escape sequence in a field name.
    body = (
        b'{"model":"a","prior\\u0069ty":1,"messages":[{"role":"user","content":"x"}],'
        b'"resume_from":3,"model":"b","extra":{"kept":[1.50]}}'
    )
    prompt = decode_chat(body)
    assert prompt.model == "b"
    assert msgspec.json.decode(prompt.body) == {
        "model": "b",
        "messages": [{"role": "user", "content": "x"}],
        "extra": {"kept": [1.5]},
    }


@pytest.mark.parametrize(
    ("fields", "continuable"),
    [
        ({}, True),
        ({"stream": False}, False),
        ({"n": 2}, False),
        ({"tools": []}, False),
        ({"logprobs": True}, False),
        ({"response_format": {"type": "json_object"}}, False),
        ({"messages": [{"role": "assistant", "content": "x"}]}, False),
    ],
)
def test_only_plain_streams_of_one_choice_are_continuable(
    fields: dict[str, object], continuable: bool
) -> None:
    # Guards against a continuation that does not give the same output as an unbroken stream.
    base = {"model": "m", "messages": [{"role": "user", "content": "x"}], "stream": True}
    assert decode_chat(msgspec.json.encode(base | fields)).continuable is continuable


def test_a_list_of_prompts_is_not_continuable() -> None:
    # Guards against the completions of several prompts in a stream being continued as one.
    assert not decode_text(b'{"model":"m","prompt":["a","b"],"stream":true}').continuable
    assert decode_text(b'{"model":"m","prompt":"a","stream":true}').continuable


EXPECTED_HASH = 7698944964994305262  # XXH64 of the model name and the block.


def chunk(text: str) -> bytes:
    return msgspec.json.encode({"choices": [{"delta": {"content": text}}]})


@given(st.lists(st.text(max_size=5), max_size=8), st.lists(st.integers(1, 30), max_size=40))
def test_events_do_not_depend_on_how_the_stream_is_split(texts: list[str], cuts: list[int]) -> None:
    # Guards against events that are lost or merged at the boundaries of reads.
    data = b"".join(event_bytes(chunk(text)) for text in texts) + b"data: [DONE]\n\ndata: x\n\n"
    reader = EventReader(1_000)
    events = []
    for size in [*cuts, len(data)]:
        events += reader.feed(data[:size])
        data = data[size:]
    assert [event.text for event in events] == texts
    assert sum(event.tokens for event in events) == sum(map(bool, texts))
    assert reader.ended


@pytest.mark.parametrize("newline", [b"\n", b"\r\n"])
def test_comments_and_other_fields_do_not_reach_the_caller(newline: bytes) -> None:
    # Guards against keep-alive comments counted as output, and unsupported line endings.
    lines = [b": ping", b"", b"event: x", b"data:" + chunk("a"), b"id: 1", b"", b""]
    events = EventReader(1_000).feed(newline.join(lines))
    assert [event.text for event in events] == ["a"]


def test_a_cumulative_usage_gives_the_token_counts() -> None:
    # Guards against one token per chunk if the engine sends several tokens in a chunk.
    reader = EventReader(1_000)
    events = [
        {"choices": [{"text": "ab"}], "usage": {"completion_tokens": 2}},
        {"choices": [{"text": "c"}], "usage": {"completion_tokens": 5}},
    ]
    parsed = reader.feed(b"".join(event_bytes(msgspec.json.encode(item)) for item in events))
    assert [event.tokens for event in parsed] == [2, 3]


@pytest.mark.parametrize("data", [b"data: {\n\n", b'data: {"error":{}}\n\n', b"data: []\n\n"])
def test_events_that_are_not_chunks_are_stream_errors(data: bytes) -> None:
    # Guards against errors of the engine that are forwarded as part of a successful response.
    with pytest.raises(StreamError):
        EventReader(1_000).feed(data)
