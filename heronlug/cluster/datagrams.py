"""Packs and unpacks datagrams of at most 256 bytes, authenticated by keyed BLAKE2b and protected against replay.

    byte 0      "H"
         1      protocol version, 1
         2      number of the key
         3..6   tag of the sender's name
         7..14  stamp of the sender, above all its earlier stamps
         15..   messages, see :mod:`heronlug.cluster.codec`
    last 12     keyed BLAKE2b hash of all preceding bytes

A datagram of an unknown version is counted and dropped. A datagram is dropped as a replay if its stamp was already
received, or is more than ``REPLAY_WINDOW`` below the newest stamp of its sender.
"""

import hmac
import struct
from collections import Counter
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

from heronlug.cluster.codec import decode_parts, encode_part
from heronlug.cluster.errors import MalformedMessageError
from heronlug.cluster.messages import Part

PROTOCOL_VERSION = 1
"""The only protocol version that is accepted."""

MAX_DATAGRAM_SIZE = 256
"""The largest size of a datagram in bytes."""

AUTHENTICATION_TAG_SIZE = 12
"""The size of the BLAKE2b authentication tag at the end of a datagram, in bytes."""

HEADER = struct.Struct(">cBBIQ")
"""The first byte, protocol version, key number, tag of the sender, stamp."""

MAX_BODY_SIZE = MAX_DATAGRAM_SIZE - HEADER.size - AUTHENTICATION_TAG_SIZE
"""The largest total size of the messages in a datagram, in bytes."""

REPLAY_WINDOW = 64
"""The number of stamps below the newest stamp of a sender that are still accepted, each one once."""

MAGIC = b"H"
"""The first byte of each datagram."""


class _SeenStamps(NamedTuple):
    newest: int
    seen_below: int
    """A bit mask of the stamps received below ``newest``; the lowest bit stands for ``newest - 1``."""


class DatagramCodec:
    """Packs messages into signed datagrams, and checks and unpacks received datagrams.

    One or two numbered keys are in use: the first key signs, and every key is accepted. To replace a key in a running
    cluster, add the new key at every member, then put the new key first at every member, then remove the old key.

    Attributes:
        tag: The tag of this member, the sender of packed datagrams.
        keys: The keys by number; the first key signs.
        dropped: The number of received datagrams that were dropped, by reason.
    """

    def __init__(self, tag: int, keys: Mapping[int, bytes], stamp: int) -> None:
        """Creates a codec.

        Args:
            tag: The tag of this member.
            keys: The keys by number; the first key signs.
            stamp: A number above every stamp that this member has used; the stamp of the first datagram is one higher.
        """
        self.tag = tag
        self.keys = dict(keys)
        self.dropped: Counter[str] = Counter()
        self._stamp = stamp
        self._seen: dict[int, _SeenStamps] = {}

    def pack(self, parts: Iterable[Part]) -> list[bytes]:
        """Returns signed datagrams that contain the messages in order, each filled before the next is started."""
        bodies: list[bytes] = [b""]
        for part in parts:
            data = encode_part(part)
            if len(bodies[-1]) + len(data) > MAX_BODY_SIZE:
                bodies.append(b"")
            bodies[-1] += data
        return [self._sign(body) for body in bodies if body]

    def unpack(self, data: bytes) -> tuple[int, list[Part]] | None:
        """Returns the tag of the sender and the messages, or None if the datagram is dropped and counted."""
        reason = self._rejection_reason(data)
        if reason:
            self.dropped[reason] += 1
            return None
        _, _, _, sender, stamp = HEADER.unpack_from(data)
        try:
            parts = decode_parts(data[HEADER.size : -AUTHENTICATION_TAG_SIZE])
        except MalformedMessageError:
            self.dropped["malformed"] += 1
            return None
        if not self._accept_stamp(sender, stamp):
            self.dropped["replayed"] += 1
            return None
        return sender, parts

    def _sign(self, body: bytes) -> bytes:
        self._stamp += 1
        key_number = next(iter(self.keys))
        data = HEADER.pack(MAGIC, PROTOCOL_VERSION, key_number, self.tag, self._stamp) + body
        return data + _authentication_tag(data, self.keys[key_number])

    def _rejection_reason(self, data: bytes) -> str:
        """Returns the reason for which a datagram is dropped, or an empty string if it is authentic."""
        if data[:1] != MAGIC:
            return "malformed"
        if not HEADER.size + AUTHENTICATION_TAG_SIZE <= len(data) <= MAX_DATAGRAM_SIZE:
            return "truncated"
        if data[1] != PROTOCOL_VERSION:
            return "version"
        key = self.keys.get(data[2])
        if key is None:
            return "unknown_key"
        expected = _authentication_tag(data[:-AUTHENTICATION_TAG_SIZE], key)
        return "" if hmac.compare_digest(expected, data[-AUTHENTICATION_TAG_SIZE:]) else "forged"

    def _accept_stamp(self, sender: int, stamp: int) -> bool:
        """Returns whether a stamp of this sender is new, and records the stamp if it is."""
        newest, seen_below = self._seen.get(sender, _SeenStamps(0, 0))
        if stamp > newest:
            advance = stamp - newest
            shifted = (seen_below << advance | 1 << (advance - 1)) if advance < REPLAY_WINDOW else 0
            self._seen[sender] = _SeenStamps(stamp, shifted & ((1 << REPLAY_WINDOW) - 1))
            return True
        bit = 1 << (newest - stamp - 1) if stamp < newest else 0
        if not bit or newest - stamp > REPLAY_WINDOW or seen_below & bit:
            return False
        self._seen[sender] = _SeenStamps(newest, seen_below | bit)
        return True


def _authentication_tag(data: bytes, key: bytes) -> bytes:
    return blake2b(data, digest_size=AUTHENTICATION_TAG_SIZE, key=key).digest()
