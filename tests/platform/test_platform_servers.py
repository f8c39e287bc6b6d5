"""Tests of the platform's list of upstreams."""

from __future__ import annotations

import json
from typing import Any

import anyio
import structlog
from returns.result import Failure

from goldcrestridge_platform.servers import Fetch, ListReader, read_page

VALID = {
    "id": "i-1",
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
}


def page(*entries: Any, next_token: str | None = None) -> bytes:
    return json.dumps({"instances": entries, "next": next_token}).encode()


def reader_of(fetch: Fetch, log: Any = None, count: Any = None) -> ListReader:
    return ListReader(fetch, log or structlog.get_logger(), count or (lambda _count: None))


def test_invalid_entries_are_skipped_and_the_others_are_used() -> None:
    # Guards against an invalid entry that makes the whole page invalid, or that is used.
    invalid = [
        {**VALID, "id": 7},
        {**VALID, "state": "melting"},
        {**VALID, "address": "nowhere"},
        {key: value for key, value in VALID.items() if key != "service"},
        "rubbish",
        None,
    ]
    leaving = {**VALID, "id": "i-2", "state": "draining"}
    read = read_page(page(*invalid, VALID, leaving, next_token="p2")).unwrap()
    assert [(item.instance, item.leaving) for item in read.instances] == [
        ("i-1", False),
        ("i-2", True),
    ]
    assert read.next_token == "p2"
    assert len(read.skipped) == len(invalid)


def test_a_page_that_cannot_be_read_is_a_failure() -> None:
    # Guards against treating an unreadable list as an empty one.
    assert isinstance(read_page(b"<html>"), Failure)


def test_all_pages_are_read_and_a_missing_page_makes_the_list_unavailable() -> None:
    # Guards against treating upstreams as removed because their page could not be read.
    pages = {
        "/instances": page(VALID, next_token="p2"),
        "/instances?page_token=p2": page({**VALID, "id": "i-2"}),
    }

    async def fetch(path: str) -> bytes | None:
        return pages.get(path)

    instances = anyio.run(reader_of(fetch).read)
    assert instances is not None
    assert [item.instance for item in instances] == ["i-1", "i-2"]
    del pages["/instances?page_token=p2"]
    assert anyio.run(reader_of(fetch).read) is None


def test_the_software_version_of_an_instance_is_read_and_not_that_of_its_weights() -> None:
    # Guards against streams that are joined by the version of the weights.
    entry = {**VALID, "version": "v1.2", "models": [{"name": "m", "version": 7, "adapters": []}]}
    read = read_page(page(entry, {**VALID, "id": "i-2"})).unwrap()
    assert [item.version for item in read.instances] == ["v1.2", ""]


def test_the_start_of_an_instance_tells_two_runs_of_one_name_apart() -> None:
    # Guards against a new run that is taken for the one before it, which said that it leaves.
    first, again = ({**VALID, "born": born} for born in (1_764_840_000_000, 1_764_840_050_000))
    lives = [read_page(page(entry)).unwrap().instances[0].life for entry in (first, again, VALID)]
    assert len(set(lives)) == 3
    assert read_page(page({**VALID, "born": "soon"})).unwrap().instances == ()


def test_the_weights_of_an_instance_are_told_apart_by_model_and_version() -> None:
    # Guards against engines of different weights that hand parts of prompts to each other.
    models = [{"name": "m", "version": 7, "adapters": []}, {"name": "a", "version": 1}]
    page_of_two = page({**VALID, "models": models}, {**VALID, "id": "i-2"})
    read = read_page(page_of_two).unwrap()
    assert [item.weights for item in read.instances] == ["a:1,m:7", ""]
