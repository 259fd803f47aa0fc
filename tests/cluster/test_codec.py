"""Checks that datagrams round-trip, and that forged, replayed, truncated and unknown-version ones are dropped."""

from contextlib import suppress

from hypothesis import given
from hypothesis import strategies as st

from heronlug.cluster import datagrams, messages
from heronlug.cluster.codec import decode_parts, encode_part
from heronlug.cluster.datagrams import MAX_DATAGRAM_SIZE, DatagramCodec
from heronlug.cluster.model import FencingToken, Health, MemberUpdate

UINT32 = st.integers(0, 2**32 - 1)
TOKEN = st.builds(FencingToken, st.integers(0, 2**63), UINT32)
NAME = st.text("abcdefåäö-", min_size=1, max_size=20)
PARTS = st.one_of(
    st.builds(messages.Ping, UINT32),
    st.builds(messages.Ack, UINT32),
    st.builds(messages.IndirectPing, UINT32, UINT32),
    st.builds(messages.Nack, UINT32),
    st.builds(messages.Sync),
    st.builds(messages.LeaseRequest, UINT32, TOKEN, UINT32, TOKEN),
    st.builds(messages.LeaseGrant, UINT32, TOKEN, UINT32),
    st.builds(messages.LeaseDenial, UINT32, TOKEN, UINT32),
    st.builds(messages.TransferOffer, UINT32, TOKEN),
    st.builds(messages.TransferAcceptance, UINT32, TOKEN),
    st.builds(messages.TransferCompletion, UINT32, TOKEN),
    st.builds(MemberUpdate, NAME, NAME, st.integers(0, 2**63), st.sampled_from(Health)),
)


def codec_pair() -> tuple[DatagramCodec, DatagramCodec]:
    """Returns the codecs of two members, tags 1 and 2, that share a key."""
    return DatagramCodec(1, {1: b"a" * 32}, 0), DatagramCodec(2, {1: b"a" * 32}, 0)


@given(st.lists(PARTS, max_size=30))
def test_messages_round_trip_in_datagrams_of_256_bytes(parts: list[messages.Part]) -> None:
    """Guards against messages that change in transit, or that overfill a datagram when several are packed together."""
    sender, receiver = codec_pair()
    received: list[messages.Part] = []
    for data in sender.pack(parts):
        assert len(data) <= MAX_DATAGRAM_SIZE
        unpacked = receiver.unpack(data)
        assert unpacked is not None
        assert unpacked[0] == 1
        received += unpacked[1]
    assert received == parts
    assert not receiver.dropped


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_dropped_and_counted(data: bytes) -> None:
    """Guards against an exception from received bytes that are not a datagram of this cluster."""
    receiver = DatagramCodec(2, {1: b"a" * 32}, 0)
    assert receiver.unpack(data) is None
    assert receiver.dropped.total() == 1
    with suppress(ValueError):
        decode_parts(data)


def test_forged_truncated_replayed_and_unknown_version_datagrams_are_dropped() -> None:
    """Guards against accepting a datagram with the lowest bit of a byte flipped, cut at any length, or received twice.

    A flipped bit is counted as forged except in three bytes: magic, version and key number.
    """
    sender, receiver = codec_pair()
    (data,) = sender.pack([messages.Ping(7)])
    for position in range(len(data)):
        corrupted = bytearray(data)
        corrupted[position] ^= 1
        assert receiver.unpack(bytes(corrupted)) is None
    assert receiver.dropped["forged"] == len(data) - 3
    assert receiver.dropped["version"] == 1
    for length in range(len(data)):
        assert receiver.unpack(data[:length]) is None
    assert receiver.unpack(data) is not None
    assert receiver.unpack(data) is None
    assert receiver.dropped["replayed"] == 1


def test_reordered_datagrams_are_accepted_once_within_the_replay_window() -> None:
    """Guards against dropping datagrams that the network reorders, and against accepting one twice or too late."""
    sender, receiver = codec_pair()
    sent = [sender.pack([messages.Ping(n)])[0] for n in range(100)]
    reordered = [sent[n] for n in (50, 3, 99, 98, 40, 35, 34)]
    assert [receiver.unpack(data) is not None for data in reordered] == [True, True, True, True, True, True, False]
    assert [receiver.unpack(data) for data in reordered] == [None] * 7


def test_key_rotation_drops_no_datagram() -> None:
    """Guards against dropped datagrams while a key is replaced at one member after the other.

    The new key is added at every member, then signs at every member, then the old key is removed.
    """
    old, new = {1: b"a" * 32}, {2: b"b" * 32}
    steps = [old, {**old, **new}, {**new, **old}, new]
    first, second = DatagramCodec(1, old, 0), DatagramCodec(2, old, 0)
    for step in steps[1:]:
        for codec in (first, second):  # after the first codec, the two members differ by one step
            codec.keys = dict(step)
            for sender, receiver in ((first, second), (second, first)):
                (data,) = sender.pack([messages.Ping(1)])
                assert receiver.unpack(data) is not None
    assert DatagramCodec(3, old, 0).unpack(first.pack([messages.Ping(1)])[0]) is None


def test_a_probe_with_an_update_and_six_lease_requests_fit_into_one_datagram() -> None:
    """Guards against growth of the message encodings: a probe with an update, and six lease requests, must fit."""
    update = MemberUpdate("dispatcher-12", "10.0.0.12:7947", 1_800_000_000_000, Health.SUSPECT)
    assert len(encode_part(messages.Ping(1))) == 5
    assert len(encode_part(update)) == 12 + len(update.name) + len(update.address)
    request = messages.LeaseRequest(1, FencingToken(1, 1), 1, FencingToken(1, 1))
    assert 6 * len(encode_part(request)) <= datagrams.MAX_BODY_SIZE
