"""Translation between the headers on the wire and what the router needs to know of them."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from goldcrestridge_core.types import Headers


@frozen
class CallerHead:
    """What the head of a caller's request says.

    ``passed`` holds the headers that go to the upstream as they came. ``key`` is None without a
    key. ``shared_part`` names the longest part of the prompt that other requests share, or is
    empty; with the parts before it, it has ``shared_tokens``. ``after_event`` is the id of the
    event after which a resumed stream goes on.
    """

    request_id: bytes
    passed: Headers
    key: str | None = None
    time_limit_ms: float | None = None
    shared_part: str = ""
    shared_tokens: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    after_event: int | None = None


@frozen
class SendHead:
    """What the router tells an upstream with a request; ``priority`` 0 is the most urgent."""

    instance: str
    time_left_ms: int
    workspace: str
    priority: int
    after_event: int | None = None


@frozen
class UpstreamHead:
    """What the head of an upstream's answer says.

    ``not_run`` is the upstream's promise that it did not run the request, ``elsewhere`` that
    another instance answered. ``authentic`` tells whether the upstream signed the answer.
    ``load`` counts its running and waiting requests. ``idle_limit_ms`` is how long it keeps an
    idle connection open, 0 if it closes this one.
    """

    request_id: bytes | None
    passed: Headers
    not_run: bool = False
    elsewhere: bool = False
    authentic: bool = False
    load: int | None = None
    idle_limit_ms: float | None = None


@frozen
class Dialect:
    """The functions that read and write the heads of one deployment's protocol."""

    read_caller: Callable[[Headers], CallerHead]
    write_upstream: Callable[[CallerHead, SendHead], list[tuple[bytes, bytes]]]
    read_upstream: Callable[[int, Headers], UpstreamHead]
