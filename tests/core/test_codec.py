"""Codec: round trips, newer format versions and malformed data."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from goldcrestridge_core import codec, types


def test_a_message_survives_the_round_trip() -> None:
    # Guards against fields that are decoded as another type.
    sent = types.SlotRefusal(
        types.RequestId("r"), 2, types.ShardId("p/0"), 7, types.Reason.LIMIT, 12.5
    )
    assert codec.decode(codec.encode(sent)).unwrap() == sent


def test_a_newer_format_version_is_refused_with_an_error() -> None:
    # Guards against partially decoding a newer record.
    data = msgspec.msgpack.encode((codec.FORMAT_VERSION + 1, "Ping", {}))
    error = codec.decode(data).failure()
    assert "Format version 2 is not supported" in error.reason


@given(st.binary(max_size=200))
def test_decoding_malformed_data_never_raises(data: bytes) -> None:
    # Guards against an exception in the receiving task caused by data from a faulty peer.
    assert not is_successful(codec.decode(data))
