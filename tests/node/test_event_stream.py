"""Tests of the division of a byte stream into events."""

from __future__ import annotations

import pytest
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
