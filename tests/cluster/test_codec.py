"""Datagrams: what goes in comes out, what is forged, replayed, cut off or of another version is counted and dropped."""

from contextlib import suppress

from hypothesis import given
from hypothesis import strategies as st

from heronlug.cluster import datagrams, messages
from heronlug.cluster.codec import decode_parts, encode_part
from heronlug.cluster.datagrams import MAX_DATAGRAM_SIZE, DatagramCodec
from heronlug.cluster.model import FencingToken, Health, MemberUpdate

WORD = st.integers(0, 2**32 - 1)
TOKEN = st.builds(FencingToken, st.integers(0, 2**63), WORD)
NAME = st.text("abcdefåäö-", min_size=1, max_size=20)
PARTS = st.one_of(
    st.builds(messages.Ping, WORD),
    st.builds(messages.Ack, WORD),
    st.builds(messages.IndirectPing, WORD, WORD),
    st.builds(messages.Nack, WORD),
    st.builds(messages.Sync),
    st.builds(messages.LeaseRequest, WORD, TOKEN, WORD, TOKEN),
    st.builds(messages.LeaseGrant, WORD, TOKEN, WORD),
    st.builds(messages.LeaseDenial, WORD, TOKEN, WORD),
    st.builds(messages.TransferOffer, WORD, TOKEN),
    st.builds(messages.TransferAcceptance, WORD, TOKEN),
    st.builds(messages.TransferCompletion, WORD, TOKEN),
    st.builds(MemberUpdate, NAME, NAME, st.integers(0, 2**63), st.sampled_from(Health)),
)


def seals() -> tuple[DatagramCodec, DatagramCodec]:
    return DatagramCodec(1, {1: b"a" * 32}, 0), DatagramCodec(2, {1: b"a" * 32}, 0)


@given(st.lists(PARTS, max_size=30))
def test_messages_round_trip_in_datagrams_of_256_bytes(parts: list[messages.Part]) -> None:
    sender, receiver = seals()
    got: list[messages.Part] = []
    for data in sender.pack(parts):
        assert len(data) <= MAX_DATAGRAM_SIZE
        opened = receiver.unpack(data)
        assert opened is not None
        assert opened[0] == 1
        got += opened[1]
    assert got == parts
    assert not receiver.dropped


@given(st.binary(max_size=300))
def test_no_bytes_raise(data: bytes) -> None:
    receiver = DatagramCodec(2, {1: b"a" * 32}, 0)
    assert receiver.unpack(data) is None
    assert receiver.dropped.total() == 1
    with suppress(ValueError):
        decode_parts(data)


def test_forged_truncated_replayed_and_of_another_version() -> None:
    sender, receiver = seals()
    (data,) = sender.pack([messages.Ping(7)])
    for place in range(len(data)):
        broken = bytearray(data)
        broken[place] ^= 1
        assert receiver.unpack(bytes(broken)) is None
    assert receiver.dropped["forged"] == len(data) - 3
    assert receiver.dropped["version"] == 1
    for length in range(len(data)):
        assert receiver.unpack(data[:length]) is None
    assert receiver.unpack(data) is not None
    assert receiver.unpack(data) is None
    assert receiver.dropped["replayed"] == 1


def test_reordered_datagrams_come_in_once_and_old_ones_do_not() -> None:
    sender, receiver = seals()
    sent = [sender.pack([messages.Ping(n)])[0] for n in range(100)]
    late = [sent[n] for n in (50, 3, 99, 98, 40, 35, 34)]
    assert [receiver.unpack(data) is not None for data in late] == [True, True, True, True, True, True, False]
    assert [receiver.unpack(data) for data in late] == [None] * 7


def test_a_key_is_replaced_in_service() -> None:
    """The new one is added everywhere, then signs everywhere, then the old one goes: at no step is anything dropped."""
    old, new = {1: b"a" * 32}, {2: b"b" * 32}
    steps = [old, {**old, **new}, {**new, **old}, new]
    one, other = DatagramCodec(1, old, 0), DatagramCodec(2, old, 0)
    for step in steps[1:]:
        for seal in (one, other):  # between the two they differ by a step
            seal.keys = dict(step)
            for sender, receiver in ((one, other), (other, one)):
                (data,) = sender.pack([messages.Ping(1)])
                assert receiver.unpack(data) is not None
    assert DatagramCodec(3, old, 0).unpack(one.pack([messages.Ping(1)])[0]) is None


def test_sizes_of_the_parts_that_matter() -> None:
    """A probe with its news, and six requests for leases, fit into one datagram."""
    news = MemberUpdate("dispatcher-12", "10.0.0.12:7947", 1_800_000_000_000, Health.SUSPECT)
    assert len(encode_part(messages.Ping(1))) == 5
    assert len(encode_part(news)) == 12 + len(news.name) + len(news.address)
    request = messages.LeaseRequest(1, FencingToken(1, 1), 1, FencingToken(1, 1))
    assert 6 * len(encode_part(request)) <= datagrams.MAX_BODY_SIZE
