"""Tests of the division of a byte stream into events."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.node.gateway_helpers import event

from goldcrestridge_node.event_stream import EventId, EventSplitter, parse_event_id

EVENTS = b": hello\n\n" + event(1) + event(2) + event(3)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
@pytest.mark.parametrize("step", [1, 2, 3, 7, 1_000])
def test_each_kind_of_line_end_ends_events_wherever_reads_divide_them(
    line_end: bytes, step: int
) -> None:
    # Guards against a sound stream that counts as broken off, and against repeated events, because
    # its lines do not end with LF.
    body = EVENTS.replace(b"\n", line_end)
    for last_id in (None, 1, 2, 3):
        splitter = EventSplitter(None if last_id is None else parse_event_id(b"%d" % last_id))
        passed_on = b"".join(
            splitter.feed(body[start : start + step]) for start in range(0, len(body), step)
        )
        assert not splitter.inside_event
        assert splitter.last_id == EventId(3, b"3")
        expected = [number for number in (1, 2, 3) if last_id is None or number > last_id]
        assert [number for number in (1, 2, 3) if b"piece %d" % number in passed_on] == expected
        if last_id is None:
            assert passed_on + splitter.remainder == body


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_a_stream_that_is_cut_anywhere_in_an_event_ends_inside_it(line_end: bytes) -> None:
    # Guards against a cut that happens to look like the end of an event.
    whole, half = (event(number).replace(b"\n", line_end) for number in (1, 2))
    for end in range(1, len(half) - len(line_end)):
        splitter = EventSplitter()
        assert splitter.feed(whole + half[:end]) == whole
        assert splitter.inside_event
        splitter.restart()
        assert splitter.feed(half) == half


@pytest.mark.parametrize("text", [b"0", b"7", b"007", b"18446744073709551616", b"9" * 1_000])
def test_an_id_is_kept_in_the_digits_of_its_sender(text: bytes) -> None:
    # Guards against an upstream that gets an id in another form than the one that it wrote.
    splitter = EventSplitter()
    body = b"id:%b\ndata: x\n\n" % text
    assert splitter.feed(body) == body
    assert splitter.last_id is not None
    assert (splitter.last_id.digits, splitter.last_id.number) == (text, int(text))
    assert parse_event_id(text) == splitter.last_id
    assert splitter.feed(body) == b""


@pytest.mark.parametrize(
    "text", [b"", b" 7", b"+7", b"-7", b"7.0", b"x", b"\xb2", b"9" * 1_001, b"9" * 5_000]
)
def test_what_is_no_number_is_the_id_of_no_event(text: bytes) -> None:
    # Guards against an id that ends the answer of its stream, and against one that the stream could
    # not be taken up with.
    assert parse_event_id(text) is None
    splitter = EventSplitter(EventId(5, b"5"))
    body = b"id: %b\ndata: x\n\n" % text
    assert splitter.feed(body) == body
    assert splitter.last_id == EventId(5, b"5")


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_data_without_an_id_is_noticed_until_the_next_id(line_end: bytes) -> None:
    # Guards against a stream that is resumed after its last id and repeats what came since.
    splitter = EventSplitter()
    for body, expected in (
        (b": hello\n\n", False),
        (b"retry: 5\n\n", False),
        (b"database: 1\n\n", False),
        (b"data: x\n\n", True),
        (b": still here\n\n", True),
        (event(0), False),
        (b"id: x\ndata\n\n", True),
        (event(0), True),
        (event(1), False),
    ):
        splitter.feed(body.replace(b"\n", line_end))
        assert splitter.ends_without_id == expected, body


@given(
    first=st.sampled_from((0, 1, 2**53, 2**64)) | st.integers(0, 10**30),
    steps=st.lists(st.integers(1, 10**6), max_size=8),
    line_end=st.sampled_from((b"\n", b"\r\n", b"\r")),
    blank=st.sampled_from((b"", b" ")),
    padding=st.integers(0, 25),
    cuts=st.lists(st.tuples(st.integers(0, 2), st.integers(0, 12), st.integers(0, 9)), max_size=4),
    step=st.integers(1, 60),
)
def test_a_stream_of_any_ids_and_form_arrives_once_over_all_attempts(
    first: int,
    steps: list[int],
    line_end: bytes,
    blank: bytes,
    padding: int,
    cuts: list[tuple[int, int, int]],
    step: int,
) -> None:
    # Guards against an event that is lost or repeated where an attempt ends, since its id has
    # another value or form than 1, 2, 3. Each attempt ends after some new events and some bytes of
    # the next one; its upstream repeats some events before the one after which it has to go on.
    ids = list(itertools.accumulate(steps, initial=first))
    events = [
        b"id:%b%0*d%bdata:%bpiece %d%b"
        % (blank, padding, number, line_end, blank, number, 2 * line_end)
        for number in ids
    ]
    splitter, passed_on = EventSplitter(), b""
    for new, extra, repeated in (*cuts, (len(events), 0, 0)):
        splitter.restart()
        begun = 0
        if splitter.last_id is not None:
            assert splitter.last_id.digits in events[ids.index(splitter.last_id.number)]
            begun = ids.index(splitter.last_id.number) + 1
        whole = b"".join(events[max(0, begun - repeated) : begun + new])
        body = whole + b"".join(events[begun + new :])[:extra]
        for start in range(0, len(body), step):
            passed_on += splitter.feed(body[start : start + step])
    assert passed_on + splitter.remainder == b"".join(events)
    assert not splitter.inside_event
    assert not splitter.ends_without_id
