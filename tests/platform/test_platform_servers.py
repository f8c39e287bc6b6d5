"""Tests of the platform's list of upstreams."""

from __future__ import annotations

import json
from typing import Any

import anyio
from returns.result import Failure

from goldcrestridge_platform.servers import read_list, read_page

GOOD = {
    "id": "i-1",
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
}


def page(*entries: Any, following: str | None = None) -> bytes:
    return json.dumps({"instances": entries, "next": following}).encode()


def test_entries_of_another_writer_are_left_out_and_the_others_hold() -> None:
    # Guards against one unusable entry that hides all upstreams, or one that is used.
    bad = [
        {**GOOD, "id": 7},
        {**GOOD, "state": "melting"},
        {**GOOD, "address": "nowhere"},
        {key: value for key, value in GOOD.items() if key != "service"},
        "rubbish",
        None,
    ]
    leaving = {**GOOD, "id": "i-2", "state": "draining"}
    instances, following = read_page(page(*bad, GOOD, leaving, following="p2")).unwrap()
    assert [(item.instance, item.leaving) for item in instances] == [("i-1", False), ("i-2", True)]
    assert following == "p2"


def test_a_page_that_cannot_be_read_is_a_failure() -> None:
    # Guards against an empty list in place of one that is not known.
    assert isinstance(read_page(b"<html>"), Failure)


def test_all_pages_are_read_and_a_missing_one_spoils_the_list() -> None:
    # Guards against upstreams that seem to be gone because their page was not had.
    pages = {
        "/instances": page(GOOD, following="p2"),
        "/instances?page_token=p2": page({**GOOD, "id": "i-2"}),
    }

    async def fetch(path: str) -> bytes | None:
        return pages.get(path)

    listed = anyio.run(read_list, fetch)
    assert listed is not None
    assert [item.instance for item in listed] == ["i-1", "i-2"]
    del pages["/instances?page_token=p2"]
    assert anyio.run(read_list, fetch) is None
