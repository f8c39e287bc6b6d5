"""The edge as OpenAI's own client sees it."""

from __future__ import annotations

from collections.abc import Callable

import anyio.to_thread
import openai
import pytest
from tests.node.path_helpers import KEY, Stack, run, running_stack
from tests.node.test_edge_faults import control
from tests.node.test_edge_path import output


def ask(client: openai.OpenAI, stream: bool) -> str:
    """Return the text of a chat answer."""
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


def test_answers_streams_and_models_are_understood() -> None:
    # Guards against answers that only our own tests can read.
    async def scenario() -> None:
        async with running_stack() as stack:
            assert await in_thread(stack, lambda c: ask(c, stream=False)) == output("hello", 9)
            assert await in_thread(stack, lambda c: ask(c, stream=True)) == output("hello", 9)
            assert await in_thread(stack, lambda c: [m.id for m in c.models.list()]) == ["m1"]

    run(scenario)


def test_a_broken_stream_raises_with_outcome_and_request_id() -> None:
    # Guards against a broken stream that the client takes for a whole one.
    async def scenario() -> None:
        async with running_stack() as stack:
            await control(stack.engines[0], fail_after_tokens=3)
            with pytest.raises(openai.APIError) as caught:
                await in_thread(stack, lambda c: ask(c, stream=True))
            body = caught.value.body
            assert isinstance(body, dict)
            assert body["outcome"] == "failed"
            assert len(body["request_id"]) == 32

    run(scenario)


def test_refusals_raise_the_clients_own_errors() -> None:
    # Guards against errors in a shape that the client cannot classify.
    async def scenario() -> None:
        async with running_stack() as stack:
            with pytest.raises(openai.AuthenticationError):
                await in_thread(stack, lambda c: ask(c, stream=False), "sk-wrong")
            await control(stack.engines[0], leave=True)
            with pytest.raises(openai.InternalServerError) as caught:
                await in_thread(stack, lambda c: ask(c, stream=False))
            assert caught.value.status_code == 503
            assert caught.value.response.headers["retry-after"] == "2"
            assert isinstance(caught.value.body, dict)
            assert caught.value.body["outcome"] == "not_run"

    run(scenario)
