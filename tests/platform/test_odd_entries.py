"""Tests of entries of other writers in the platform's list of upstreams."""

from __future__ import annotations

import functools
import json
from collections.abc import Callable
from typing import Any

import anyio
import pytest
from attrs import define, field
from hypothesis import example, given, settings
from hypothesis import strategies as st
from tests.core.control_net import Net
from tests.core.test_control import SEEDS, commit, formed_net

from goldcrestridge_core import codec
from goldcrestridge_core.follow_types import (
    InstancesListed,
    InstancesReceived,
    UpstreamInstance,
)
from goldcrestridge_core.types import Count, NodeId
from goldcrestridge_platform.servers import Entry, ListReader, read_page

SOUND = [
    {
        "id": f"i-{number}",
        "service": "s",
        "address": f"10.0.0.{number}:80",
        "zone": "z",
        "slots": 6,
        "state": "ready",
        "version": "v1",
        "born": 1_764_840_000_000 + number,
        "models": [{"name": "m", "version": 1, "adapters": []}],
    }
    for number in range(1, 5)
]
ODD_VALUES: list[Any] = [
    10**24,
    10**400,
    -1,
    2**63,
    2**64,
    1.5,
    1e300,
    True,
    None,
    "",
    "²",
    "x\r\nHost: y",
    "\x00",
    "é",
    "x" * 5_000_000,
    [],
    {},
    [{"name": "m", "version": 10**30}],
    [{"name": "x" * 1_000, "version": 1}],
    "10.0.0.9:99999",
    "10.0.0.9:0",
    "10.0.0.9:²",
    "10.0.0.9",
    "name:80",
    "10.0.0.9:" + "9" * 5_000,
]
ODD_TEXTS = [
    b'{"id":"\x01"}',
    b'{"id":"\\ud800","service":"s","address":"10.0.0.9:80","state":"ready"}',
    b"\xff\xfe",
    b"[" * 100_000 + b"]" * 100_000,
    b'{"deep":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    b'{"a":' * 5_000 + b"1" + b"}" * 5_000,
    b"1e400",
    b"9" * 10_000,
]


def text_of(entry: Any) -> bytes:
    return json.dumps(entry, ensure_ascii=False).encode("utf-8", "surrogatepass")


def page_of(entries: list[bytes], next_token: str | None = None) -> bytes:
    return b'{"instances":[%s],"next":%s}' % (b",".join(entries), text_of(next_token))


def page_with(odd: bytes, place: int = 2) -> bytes:
    entries = list(map(text_of, SOUND))
    entries.insert(place, odd)
    return page_of(entries)


@define
class Recorder:
    """Record what is logged and counted."""

    lines: list[tuple[str, dict[str, Any]]] = field(factory=list)
    counts: list[Count] = field(factory=list)

    def info(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))

    def reader(self, fetch: Callable[[str], bytes | None]) -> ListReader:
        async def fetch_page(path: str) -> bytes | None:
            return fetch(path)

        return ListReader(fetch_page, self, self.counts.append)


def read(reader: ListReader) -> list[str] | None:
    instances = anyio.run(reader.read)
    return None if instances is None else [item.instance for item in instances]


@functools.cache
def leading_net() -> tuple[Net, NodeId]:
    """Return complete control nodes and an entry node that follows them."""
    net = formed_net(1)
    net.stream_services = frozenset({"s"})
    net.start_entry(NodeId("x:2"), SEEDS)
    commit(net, SEEDS[0], 1)
    return net, net.leaders()[0]


def check_instances(instances: tuple[UpstreamInstance, ...]) -> None:
    """Check that the sound entries are there, and that whole nodes take the list."""
    assert {entry["id"] for entry in SOUND} <= {item.instance for item in instances}
    for item in instances:
        assert codec.decode(codec.encode(item)).unwrap() == item
        item.instance.encode("ascii")
    net, leader = leading_net()
    net.effects.clear()
    net.post(leader, InstancesListed(()))
    net.run(1_500.0)
    net.post(leader, InstancesListed(instances))
    net.run(1_500.0)
    assert net.leaders() == [leader]
    lists = [effect for _, effect in net.effects if isinstance(effect, InstancesReceived)]
    assert lists[-1].instances == instances


@pytest.mark.parametrize("name", [name for name in Entry.__annotations__ if name != "spot"])
def test_an_odd_value_in_one_entry_hides_no_other_and_ends_no_process(name: str) -> None:
    # Guards against control nodes that end one after the other while an entry of another writer is
    # listed, and against a list that no longer follows its changes.
    for value in ODD_VALUES:
        odd = text_of({**SOUND[0], "id": "i-9", "address": "10.0.0.9:80", name: value})
        check_instances(read_page(page_with(odd)).unwrap().instances)


@pytest.mark.parametrize("text", ODD_TEXTS, ids=lambda text: str(text[:12]))
@pytest.mark.parametrize("place", [0, 2, 4])
def test_an_entry_that_cannot_be_read_hides_no_other(text: bytes, place: int) -> None:
    # Guards against a leaving upstream that is used on, because one entry fails its whole page.
    instances = read_page(page_with(text, place)).unwrap().instances
    assert [item.instance for item in instances] == ["i-1", "i-2", "i-3", "i-4"]
    check_instances(instances)


@settings(max_examples=150)
@given(
    st.lists(
        st.tuples(st.integers(0, 400), st.integers(0, 6), st.binary(max_size=6)),
        min_size=1,
        max_size=4,
    )
)
@example([(1, 1, b"")])
def test_any_bytes_in_one_entry_end_no_process(edits: list[tuple[int, int, bytes]]) -> None:
    # Guards against faults of the same kind as the cases above.
    text = bytearray(text_of({**SOUND[0], "id": "i-9", "address": "10.0.0.9:80"}))
    for start, removed, added in edits:
        at = start % (len(text) + 1)
        text[at : at + removed] = added
    page = read_page(page_with(bytes(text), len(SOUND))).unwrap()
    check_instances(page.instances)


def test_odd_entries_on_any_page_leave_the_other_pages_as_they_are() -> None:
    # Guards against an odd entry or page token that hides the pages after the first.
    token = "p/2 é\r\n&x=1"
    pages = {
        "/instances": page_of([text_of(SOUND[0]), b"\xff", text_of(SOUND[1])], token),
        "/instances?page_token=p%2F2%20%C3%A9%0D%0A%26x%3D1": page_of(
            [*map(text_of, SOUND[2:]), b'{"id":"\x01"}']
        ),
    }
    assert read(Recorder().reader(pages.get)) == ["i-1", "i-2", "i-3", "i-4"]


def test_pages_without_an_end_are_an_unreadable_list() -> None:
    # Guards against calls for the same pages for ever.
    recorder = Recorder()
    calls: list[str] = []

    def fetch(path: str) -> bytes:
        calls.append(path)
        return page_of([], "p2")

    reader = recorder.reader(fetch)
    assert read(reader) is None
    assert len(calls) == 2
    assert [event for event, _ in recorder.lines] == ["platform_list_unreadable"]


def test_what_a_damaged_page_does_not_hold_stays_as_it_was() -> None:
    # Guards against upstreams that count as gone because the end of an entry was not found.
    sound = list(map(text_of, SOUND))
    leaving = text_of({**SOUND[2], "state": "draining"})
    pages = [
        page_of(sound),
        page_of([sound[0], b'{"id":"i-9', leaving]),
        page_of([sound[0], leaving]),
    ]
    recorder = Recorder()
    reader = recorder.reader(lambda _path: pages.pop(0))
    assert read(reader) == ["i-1", "i-2", "i-3", "i-4"]
    damaged = anyio.run(reader.read)
    assert damaged is not None
    assert [(item.instance, item.leaving) for item in damaged] == [
        ("i-1", False),
        ("i-2", False),
        ("i-3", True),
        ("i-4", False),
    ]
    assert read(reader) == ["i-1", "i-3"]
    events = [event for event, _ in recorder.lines]
    assert events == ["platform_list_unreadable", "platform_list_readable"]


def test_a_second_entry_of_an_id_replaces_it_only_if_its_run_began_later() -> None:
    # Guards against an entry of another writer that takes the place of a sound one.
    other = {key: value for key, value in SOUND[0].items() if key != "born"}
    later = {**SOUND[1], "address": "10.0.0.8:80", "born": SOUND[1]["born"] + 5}  # type: ignore[operator]
    entries = [*SOUND, {**other, "address": "10.0.0.9:80"}, later]
    reader = Recorder().reader(lambda _path: page_of(list(map(text_of, entries))))
    instances = anyio.run(reader.read)
    assert instances is not None
    assert [item.address for item in instances[:2]] == ["10.0.0.1:80", "10.0.0.8:80"]


def test_hundreds_of_odd_entries_give_one_line_in_the_log() -> None:
    # Guards against a log that grows with each poll while odd entries are listed.
    odd = [text_of({**SOUND[0], "id": number}) for number in range(300)]
    recorder = Recorder()
    reader = recorder.reader(lambda _path: page_of([*odd, *map(text_of, SOUND)]))
    for _ in range(20):
        assert read(reader) == ["i-1", "i-2", "i-3", "i-4"]
    assert [(event, fields["entries"]) for event, fields in recorder.lines] == [
        ("platform_entries_skipped", 300)
    ]
    assert sum(count.value for count in recorder.counts) == 20 * 300
    assert len(str(recorder.lines)) < 1_000
