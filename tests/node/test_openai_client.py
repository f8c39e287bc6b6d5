"""Tests of the edge with the OpenAI client library."""

from __future__ import annotations

from collections.abc import Callable

import anyio.to_thread
import openai
import pytest
from tests.node.path_helpers import KEY, Stack, run, running_stack
from tests.node.test_edge_faults import control
from tests.node.test_edge_path import output


def ask(client: openai.OpenAI, stream: bool) -> str:
    """Return the text of a chat completion."""
    fields = {"model": "m1", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 9}
    if not stream:
        return client.chat.completions.create(**fields).choices[0].message.content or ""  # type: ignore[call-overload]
    chunks = client.chat.completions.create(**fields, stream=True)  # type: ignore[call-overload]
    return "".join(chunk.choices[0].delta.content or "" for chunk in chunks)


def with_client(stack: Stack, use: Callable[[openai.OpenAI], object], key: str = KEY) -> object:
    with openai.OpenAI(api_key=key, base_url=f"{stack.url}/v1", max_retries=0) as client:
        return use(client)


async def in_thread(stack: Stack, use: Callable[[openai.OpenAI], object], key: str = KEY) -> object:
    return await anyio.to_thread.run_sync(with_client, stack, use, key)


def test_the_client_reads_completions_streams_and_models() -> None:
    # Guards against responses that the client library cannot parse.
    async def scenario() -> None:
        async with running_stack() as stack:
            assert await in_thread(stack, lambda c: ask(c, stream=False)) == output("hello", 9)
            assert await in_thread(stack, lambda c: ask(c, stream=True)) == output("hello", 9)
            assert await in_thread(stack, lambda c: [m.id for m in c.models.list()]) == ["m1"]

    run(scenario)


def test_a_broken_stream_raises_an_error_with_outcome_and_request_id() -> None:
    # Guards against a broken stream that the client takes for a complete one.
    async def scenario() -> None:
        async with running_stack() as stack:
            await control(stack.engines[0], fail_after_tokens=3)
            with pytest.raises(openai.APIError) as raised:
                await in_thread(stack, lambda c: ask(c, stream=True))
            body = raised.value.body
            assert isinstance(body, dict)
            assert body["outcome"] == "failed"
            assert len(body["request_id"]) == 32

    run(scenario)


def test_refusals_raise_the_error_types_of_the_client() -> None:
    # Guards against errors in a format that the client cannot classify.
    async def scenario() -> None:
        async with running_stack() as stack:
            with pytest.raises(openai.AuthenticationError):
                await in_thread(stack, lambda c: ask(c, stream=False), "sk-wrong")
            await control(stack.engines[0], leave=True)
            with pytest.raises(openai.InternalServerError) as raised:
                await in_thread(stack, lambda c: ask(c, stream=False))
            assert raised.value.status_code == 503
            assert raised.value.response.headers["retry-after"] == "2"
            assert isinstance(raised.value.body, dict)
            assert raised.value.body["outcome"] == "not_run"

    run(scenario)
