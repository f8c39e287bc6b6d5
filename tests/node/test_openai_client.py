"""Tests of the edge with the OpenAI client library."""

from __future__ import annotations

from collections.abc import Callable

import anyio.to_thread
import openai
import pytest
from tests.node.path_helpers import KEY, World, run, world
from tests.node.test_edge_faults import control
from tests.node.test_edge_path import output


def ask(client: openai.OpenAI, stream: bool) -> str:
    """Return the text of a chat completion."""
    fields = {"model": "m1", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 9}
    if not stream:
        return client.chat.completions.create(**fields).choices[0].message.content or ""  # type: ignore[call-overload]
    chunks = client.chat.completions.create(**fields, stream=True)  # type: ignore[call-overload]
    return "".join(chunk.choices[0].delta.content or "" for chunk in chunks)


def with_client(w: World, use: Callable[[openai.OpenAI], object], key: str = KEY) -> object:
    with openai.OpenAI(api_key=key, base_url=f"{w.url}/v1", max_retries=0) as client:
        return use(client)


async def in_thread(w: World, use: Callable[[openai.OpenAI], object], key: str = KEY) -> object:
    return await anyio.to_thread.run_sync(with_client, w, use, key)


def test_the_client_reads_completions_streams_and_models() -> None:
    # Guards against responses that the client library cannot parse.
    async def scenario() -> None:
        async with world() as w:
            assert await in_thread(w, lambda c: ask(c, stream=False)) == output("hello", 9)
            assert await in_thread(w, lambda c: ask(c, stream=True)) == output("hello", 9)
            assert await in_thread(w, lambda c: [m.id for m in c.models.list()]) == ["m1"]

    run(scenario)


def test_a_broken_stream_raises_an_error_with_outcome_and_request_id() -> None:
    # Guards against a broken stream that the client takes for a complete one.
    async def scenario() -> None:
        async with world() as w:
            await control(w.engines[0], fail_after_tokens=3)
            with pytest.raises(openai.APIError) as raised:
                await in_thread(w, lambda c: ask(c, stream=True))
            body = raised.value.body
            assert isinstance(body, dict)
            assert body["outcome"] == "failed"
            assert len(body["request_id"]) == 32

    run(scenario)


def test_refusals_raise_the_error_types_of_the_client() -> None:
    # Guards against errors in a format that the client cannot classify.
    async def scenario() -> None:
        async with world() as w:
            with pytest.raises(openai.AuthenticationError):
                await in_thread(w, lambda c: ask(c, stream=False), "sk-wrong")
            await control(w.engines[0], leave=True)
            with pytest.raises(openai.InternalServerError) as raised:
                await in_thread(w, lambda c: ask(c, stream=False))
            assert raised.value.status_code == 503
            assert raised.value.response.headers["retry-after"] == "2"
            assert isinstance(raised.value.body, dict)
            assert raised.value.body["outcome"] == "not_run"

    run(scenario)
