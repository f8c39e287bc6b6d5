"""Decoded request and response heads, and the functions that translate them to headers."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from goldcrestridge_core.engine_cache import PromptPart
from goldcrestridge_core.types import Headers
from goldcrestridge_node.event_stream import EventId


@frozen
class CallerHead:
    """Decoded head of a caller's request.

    ``forwarded_headers`` are forwarded to the upstream unchanged. ``key`` is None if the request
    carries no API key. ``shared_prefix_id`` identifies the longest prompt prefix that other
    requests share, which has ``shared_tokens`` tokens; it is empty if there is none. A resumed
    stream continues after the event ``last_event_id``, which is None for a new stream;
    ``resumed_request_id`` is the id of the caller's attempt that brought its first event, or empty.
    ``invalid_position`` tells why it is not known after which event a stream continues, or is
    empty. ``prompt_parts`` are the parts of the prompt that other requests can share, in order.
    """

    request_id: bytes
    forwarded_headers: Headers
    key: str | None = None
    time_limit_ms: float | None = None
    shared_prefix_id: str = ""
    shared_tokens: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    last_event_id: EventId | None = None
    resumed_request_id: str = ""
    invalid_position: str = ""
    prompt_parts: tuple[PromptPart, ...] = ()


@frozen
class UpstreamRequestHead:
    """Values that the router sends with a request; ``priority`` 0 is the most urgent.

    ``fetch_from`` is the address of an engine from which the upstream gets the parts of the prompt
    that it does not hold itself; it is empty if there is none.
    """

    instance: str
    time_left_ms: int
    workspace: str
    priority: int
    last_event_id: EventId | None = None
    fetch_from: str = ""


@frozen
class UpstreamResponseHead:
    """Decoded head of an upstream's response.

    ``not_run`` is the upstream's guarantee that it did not run the request. ``misdirected`` means
    that another instance answered at the address. ``authentic`` tells whether the response is
    accepted as the upstream's own. ``load`` is the number of its running and waiting requests.
    ``idle_limit_ms`` is how long the upstream keeps an idle connection open: 0 if it closes this
    connection, None if it does not say. ``limit_per_second`` is the number of requests a second
    that it takes from all entry nodes together, or None if it names no limit. ``leaving`` tells
    whether it says that it leaves. ``rest_ms`` is for how long it wants no requests from this node.
    """

    request_id: bytes | None
    forwarded_headers: Headers
    not_run: bool = False
    misdirected: bool = False
    authentic: bool = False
    load: int | None = None
    idle_limit_ms: float | None = None
    limit_per_second: float | None = None
    leaving: bool = False
    rest_ms: float = 0.0


@frozen
class Dialect:
    """Functions that decode and encode the heads of one deployment's protocol."""

    read_caller: Callable[[Headers], CallerHead]
    write_upstream: Callable[[CallerHead, UpstreamRequestHead], list[tuple[bytes, bytes]]]
    read_upstream: Callable[[int, Headers], UpstreamResponseHead]
