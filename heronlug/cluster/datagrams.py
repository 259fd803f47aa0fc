"""Datagrams of the cluster: at most 256 bytes, authenticated by keyed BLAKE2 and protected against replay.

    byte 0      "H"
         1      version, 1
         2      number of the key
         3..6   tag of the sender's name
         7..14  stamp of the sender, above all of its earlier stamps
         15..   messages, see :mod:`heronlug.cluster.codec`
    last 12     BLAKE2b over all before, with the key

A datagram of an unknown version is counted and dropped.  One whose stamp was seen before, or lies too far below the
newest of its sender, is a replay.
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
"""The only version that is understood."""

MAX_DATAGRAM_SIZE = 256
"""Bytes of a datagram at most."""

AUTHENTICATION_TAG_SIZE = 12
"""Bytes of the BLAKE2b tag at the end."""

HEADER = struct.Struct(">cBBIQ")
"""Mark, version, key number, sender, stamp."""

MAX_BODY_SIZE = MAX_DATAGRAM_SIZE - HEADER.size - AUTHENTICATION_TAG_SIZE
"""Bytes of all messages of a datagram together."""

REPLAY_WINDOW = 64
"""How many stamps below a sender's newest are still accepted, each once."""

MAGIC = b"H"
"""The first byte of each datagram."""


class _SeenStamps(NamedTuple):
    newest: int
    seen_below: int
    """A bit for each stamp below the newest that was seen; the lowest bit is the one just below."""


class DatagramCodec:
    """Packs messages into datagrams and takes them out again.

    One or two keys are in use, by their number; the first one signs, all are accepted.  A key is replaced in service
    by adding the new one at every member, then putting it first everywhere, then removing the old one.

    Attributes:
        tag: The sender's tag.
        keys: The keys by their numbers.
        dropped: Datagrams that were dropped, by reason.
    """

    def __init__(self, tag: int, keys: Mapping[int, bytes], stamp: int) -> None:
        """Create a codec; ``stamp`` must be above every stamp that the sender has used."""
        self.tag = tag
        self.keys = dict(keys)
        self.dropped: Counter[str] = Counter()
        self._stamp = stamp
        self._seen: dict[int, _SeenStamps] = {}

    def pack(self, parts: Iterable[Part]) -> list[bytes]:
        """As few datagrams as hold all these messages in their order."""
        bodies: list[bytes] = [b""]
        for part in parts:
            data = encode_part(part)
            if len(bodies[-1]) + len(data) > MAX_BODY_SIZE:
                bodies.append(b"")
            bodies[-1] += data
        return [self._sign(body) for body in bodies if body]

    def unpack(self, data: bytes) -> tuple[int, list[Part]] | None:
        """The sender's tag and the messages; None for a datagram that is dropped, which is counted by its reason."""
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
        """Why a datagram is not authentic; empty if it is."""
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
        """Whether a stamp of this sender is new; it is remembered."""
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
