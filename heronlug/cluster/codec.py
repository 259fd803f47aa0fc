"""Datagrams of the cluster: at most 256 bytes, of a fixed form, under a keyed BLAKE2 tag.

    byte 0      "H"
         1      version, 1
         2      which key
         3..6   tag of the sender's name
         7..14  stamp of the sender, above all of its stamps before
         15..   parts: a byte for the kind, then the part's own form
    last 12     BLAKE2b over all before, with the key

A datagram of an unknown version is counted and left.  One with a stamp that has been seen, or too far below the newest
of its sender, is a replay.
"""

import hmac
import struct
from collections import Counter
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

from heronlug.cluster.model import FencingToken, Health, MemberUpdate

PROTOCOL_VERSION, MAX_DATAGRAM_SIZE, AUTHENTICATION_TAG_SIZE = 1, 256, 12
HEADER = struct.Struct(">cBBIQ")
MAX_BODY_SIZE = MAX_DATAGRAM_SIZE - HEADER.size - AUTHENTICATION_TAG_SIZE
REPLAY_WINDOW = 64  # stamps below a sender's newest that may still come, each once
MAGIC = b"H"


class Ping(NamedTuple):
    """Answer with an :class:`Ack` of this number."""

    number: int


class Ack(NamedTuple):
    """The answer; also passed on by whoever was asked to probe."""

    number: int


class IndirectPing(NamedTuple):
    """Ping somebody for the sender, and pass the answer on."""

    number: int
    target: int  # tag


class Nack(NamedTuple):
    """Whoever was asked to probe has no answer: it is there, so the sender itself is not to blame (Lifeguard)."""

    number: int


class Sync(NamedTuple):
    """The sender has just come: tell it of everybody."""


class LeaseRequest(NamedTuple):
    """The sender wants a lease, or goes on with one.  ``freed`` is the fence of a predecessor that has let go.

    ``fence`` itself there says that the sender holds it already, its number with no owner that a promise will do.
    """

    lease: int
    token: FencingToken
    request_id: int
    released: FencingToken


class LeaseGrant(NamedTuple):
    """It has it, for the lease's time from when this was sent by the clock of who grants."""

    lease: int
    token: FencingToken
    request_id: int


class LeaseDenial(NamedTuple):
    """Another has it, or has had it with a higher fence."""

    lease: int
    highest: FencingToken
    request_id: int


class TransferOffer(NamedTuple):
    """Handover: take this duty after ``fence``."""

    lease: int
    token: FencingToken


class TransferAcceptance(NamedTuple):
    """Handover: yes."""

    lease: int
    token: FencingToken


class TransferCompletion(NamedTuple):
    """Handover: the sender acts no more under ``fence``."""

    lease: int
    token: FencingToken


class LeaseRelease(NamedTuple):
    """The sender has let go of this fence: votes for it are free."""

    lease: int
    token: FencingToken


class TableAnnouncement(NamedTuple):
    """A sheet is at this version: the owner's fence, the number of its publication or beat, the root of the table."""

    table: int
    token: FencingToken
    number: int
    root: int


class NodeRequest(NamedTuple):
    """The sender wants the nodes of these names, at most ``MAX_NODES_PER_REQUEST``."""

    names: tuple[int, ...]


class NodeData(NamedTuple):
    """A node of a sheet; its name is what it holds."""

    data: bytes


Part = (
    Ping
    | Ack
    | IndirectPing
    | Nack
    | Sync
    | LeaseRequest
    | LeaseGrant
    | LeaseDenial
    | TransferOffer
    | TransferAcceptance
    | TransferCompletion
    | LeaseRelease
    | MemberUpdate
    | TableAnnouncement
    | NodeRequest
    | NodeData
)

_LAYOUTS: dict[type, tuple[int, struct.Struct]] = {
    Ping: (1, struct.Struct(">I")),
    Ack: (2, struct.Struct(">I")),
    IndirectPing: (3, struct.Struct(">II")),
    Nack: (4, struct.Struct(">I")),
    Sync: (5, struct.Struct(">")),
    LeaseRequest: (6, struct.Struct(">IQIIQI")),
    LeaseGrant: (7, struct.Struct(">IQII")),
    LeaseDenial: (8, struct.Struct(">IQII")),
    TransferOffer: (9, struct.Struct(">IQI")),
    TransferAcceptance: (10, struct.Struct(">IQI")),
    TransferCompletion: (11, struct.Struct(">IQI")),
    LeaseRelease: (13, struct.Struct(">IQI")),
    TableAnnouncement: (14, struct.Struct(">IQIQQ")),
}
_BY_CODE = {kind: (part, form) for part, (kind, form) in _LAYOUTS.items()}
_NODE_REQUEST, _NODE_DATA = 15, 16  # then how many names, or bytes
MAX_NODES_PER_REQUEST = 24  # names in one part
_MEMBER_UPDATE, _MEMBER_UPDATE_LAYOUT = 12, struct.Struct(">QBBB")  # incarnation, health, lengths of name and address


def encode_part(part: Part) -> bytes:
    """One part."""
    if isinstance(part, MemberUpdate):
        name, address = part.name.encode(), part.address.encode()
        head = _MEMBER_UPDATE_LAYOUT.pack(part.incarnation, part.health, len(name), len(address))
        return bytes([_MEMBER_UPDATE]) + head + name + address
    if isinstance(part, NodeRequest):
        return struct.pack(f">BB{len(part.names)}Q", _NODE_REQUEST, len(part.names), *part.names)
    if isinstance(part, NodeData):
        return bytes((_NODE_DATA, len(part.data))) + part.data
    kind, form = _LAYOUTS[type(part)]
    flat: list[int] = []
    for value in part:
        flat += value if isinstance(value, FencingToken) else [value]
    return bytes([kind]) + form.pack(*flat)


def decode_parts(body: bytes) -> list[Part]:
    """All parts; raises ``ValueError`` where the bytes make no sense."""
    parts: list[Part] = []
    at = 0
    try:
        while at < len(body):
            kind, at = body[at], at + 1
            if kind == _MEMBER_UPDATE:
                incarnation, health, name, address = _MEMBER_UPDATE_LAYOUT.unpack_from(body, at)
                at += _MEMBER_UPDATE_LAYOUT.size
                if at + name + address > len(body) or not name:
                    raise ValueError("news is cut off")
                words = body[at : at + name].decode(), body[at + name : at + name + address].decode()
                parts.append(MemberUpdate(*words, incarnation, Health(health)))
                at += name + address
            elif kind == _NODE_REQUEST:
                parts.append(NodeRequest(struct.unpack_from(f">{body[at]}Q", body, at + 1)))
                at += 1 + 8 * body[at]
            elif kind == _NODE_DATA:
                end = at + 1 + body[at]
                if end > len(body):
                    raise ValueError("a piece is cut off")
                parts.append(NodeData(body[at + 1 : end]))
                at = end
            else:
                part, form = _BY_CODE[kind]
                parts.append(_part(part, form.unpack_from(body, at)))
                at += form.size
    except (struct.error, KeyError, IndexError) as error:
        raise ValueError(f"no part: {error!r}") from None
    return parts


def _part(kind: type, flat: tuple[int, ...]) -> Part:
    if kind in (LeaseGrant, LeaseDenial):
        return kind(flat[0], FencingToken(*flat[1:3]), flat[3])  # type: ignore[no-any-return]
    if kind in (TransferOffer, TransferAcceptance, TransferCompletion, LeaseRelease):
        return kind(flat[0], FencingToken(*flat[1:3]))  # type: ignore[no-any-return]
    if kind is TableAnnouncement:
        return TableAnnouncement(flat[0], FencingToken(*flat[1:3]), flat[3], flat[4])
    if kind is LeaseRequest:
        return LeaseRequest(flat[0], FencingToken(*flat[1:3]), flat[3], FencingToken(*flat[4:6]))
    return kind(*flat)  # type: ignore[no-any-return]


class DatagramCodec:
    """Puts parts into datagrams and takes them out: keys, stamps and counts of what was dropped.

    ``keys`` are one or two by their number; the first one signs, all are accepted.  So a key is replaced in service by
    adding the new one everywhere, then putting it first everywhere, then taking the old one out.
    """

    def __init__(self, tag: int, keys: Mapping[int, bytes], stamp: int) -> None:
        self.tag, self.keys = tag, dict(keys)
        self.dropped: Counter[str] = Counter()
        self._stamp = stamp
        self._seen: dict[int, tuple[int, int]] = {}  # newest stamp of a sender, and which below it have come

    def pack(self, parts: Iterable[Part]) -> list[bytes]:
        """Datagrams with all these parts, as few as will do."""
        bodies: list[bytes] = [b""]
        for part in parts:
            data = encode_part(part)
            if len(bodies[-1]) + len(data) > MAX_BODY_SIZE:
                bodies.append(b"")
            bodies[-1] += data
        return [self._sealed(body) for body in bodies if body]

    def unpack(self, data: bytes) -> tuple[int, list[Part]] | None:
        """The sender's tag and the parts; None for what is dropped, which is counted by its reason."""
        reason = self._reason(data)
        if reason:
            self.dropped[reason] += 1
            return None
        _, _, _, sender, stamp = HEADER.unpack_from(data)
        try:
            parts = decode_parts(data[HEADER.size : -AUTHENTICATION_TAG_SIZE])
        except ValueError:
            self.dropped["malformed"] += 1
            return None
        if not self._fresh(sender, stamp):
            self.dropped["replayed"] += 1
            return None
        return sender, parts

    def _sealed(self, body: bytes) -> bytes:
        self._stamp += 1
        key = next(iter(self.keys))
        data = HEADER.pack(MAGIC, PROTOCOL_VERSION, key, self.tag, self._stamp) + body
        return data + blake2b(data, digest_size=AUTHENTICATION_TAG_SIZE, key=self.keys[key]).digest()

    def _reason(self, data: bytes) -> str:
        if len(data) < HEADER.size + AUTHENTICATION_TAG_SIZE or len(data) > MAX_DATAGRAM_SIZE or data[:1] != MAGIC:
            return "truncated" if data[:1] == MAGIC else "malformed"
        if data[1] != PROTOCOL_VERSION:
            return "version"
        key = self.keys.get(data[2])
        if key is None:
            return "unknown_key"
        tag = blake2b(data[:-AUTHENTICATION_TAG_SIZE], digest_size=AUTHENTICATION_TAG_SIZE, key=key).digest()
        return "" if hmac.compare_digest(tag, data[-AUTHENTICATION_TAG_SIZE:]) else "forged"

    def _fresh(self, sender: int, stamp: int) -> bool:
        newest, below = self._seen.get(sender, (0, 0))
        if stamp > newest:
            below = (below << (stamp - newest) | 1 << (stamp - newest - 1)) if stamp - newest < REPLAY_WINDOW else 0
            self._seen[sender] = stamp, below & ((1 << REPLAY_WINDOW) - 1)
            return True
        bit = 1 << (newest - stamp - 1) if stamp < newest else 0
        if not bit or newest - stamp > REPLAY_WINDOW or below & bit:
            return False
        self._seen[sender] = newest, below | bit
        return True
