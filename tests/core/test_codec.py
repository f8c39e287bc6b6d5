"""Codec: round trips, unknown newer versions and rubbish."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from goldcrestridge_core import codec, types


def test_a_message_survives_the_round_trip() -> None:
    # Guards against fields that the decoder turns into another type.
    sent = types.SlotRefusal(
        types.RequestId("r"), 2, types.ShardId("p/0"), 7, types.Reason.LIMIT, 12.5
    )
    assert codec.decode(codec.encode(sent)).unwrap() == sent


def test_a_newer_format_version_is_refused_with_a_clear_error() -> None:
    # Guards against reading half of a newer record.
    data = msgspec.msgpack.encode((codec.FORMAT_VERSION + 1, "Ping", {}))
    error = codec.decode(data).failure()
    assert "Format version 2 is not supported" in error.reason


@given(st.binary(max_size=200))
def test_rubbish_never_raises(data: bytes) -> None:
    # Guards against an exception in the receiving task for bytes from a broken peer.
    assert not is_successful(codec.decode(data))
