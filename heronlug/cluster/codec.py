"""Encodes and decodes messages: a byte for the kind, then fields of fixed size or fields preceded by their length."""

import struct

from heronlug.cluster.errors import MalformedMessageError
from heronlug.cluster.messages import (
    Ack,
    IndirectPing,
    LeaseDenial,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Nack,
    NodeData,
    NodeRequest,
    Part,
    Ping,
    Sync,
    TableAnnouncement,
    TransferAcceptance,
    TransferCompletion,
    TransferOffer,
)
from heronlug.cluster.model import FencingToken, Health, MemberUpdate

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
"""The code and the layout of each kind of message whose fields all have a fixed size."""

_BY_CODE = {code: (kind, layout) for kind, (code, layout) in _LAYOUTS.items()}

_MEMBER_UPDATE = 12
"""The code of a :class:`MemberUpdate`; the name and the address follow ``_MEMBER_UPDATE_LAYOUT``."""

_MEMBER_UPDATE_LAYOUT = struct.Struct(">QBBB")
"""Incarnation, health, byte length of the name, byte length of the address."""

_NODE_REQUEST = 15
"""The code of a :class:`NodeRequest`: one byte with the number of names, then 8 bytes for each name."""

_NODE_DATA = 16
"""The code of a :class:`NodeData`: one byte with the length of the node, then the node."""

_NAME_SIZE = 8
"""The size of a node's name in bytes."""


def encode_part(part: Part) -> bytes:
    """Returns the binary form of one message."""
    if isinstance(part, MemberUpdate):
        name, address = part.name.encode(), part.address.encode()
        header = _MEMBER_UPDATE_LAYOUT.pack(part.incarnation, part.health, len(name), len(address))
        return bytes([_MEMBER_UPDATE]) + header + name + address
    if isinstance(part, NodeRequest):
        return struct.pack(f">BB{len(part.names)}Q", _NODE_REQUEST, len(part.names), *part.names)
    if isinstance(part, NodeData):
        return bytes((_NODE_DATA, len(part.data))) + part.data
    code, layout = _LAYOUTS[type(part)]
    fields: list[int] = []
    for value in part:
        fields += value if isinstance(value, FencingToken) else [value]
    return bytes([code]) + layout.pack(*fields)


def decode_parts(body: bytes) -> list[Part]:
    """Returns all messages of a datagram's body.

    Raises:
        MalformedMessageError: If a message is truncated, or has an unknown code or an invalid field.
    """
    parts: list[Part] = []
    offset = 0
    try:
        while offset < len(body):
            part, offset = _decode_part(body, offset)
            parts.append(part)
    except (struct.error, KeyError, IndexError, ValueError) as error:
        raise MalformedMessageError(offset, repr(error)) from error
    return parts


def _decode_part(body: bytes, offset: int) -> tuple[Part, int]:
    """Returns the message at an offset and the offset of the next message."""
    code = body[offset]
    offset += 1
    if code == _MEMBER_UPDATE:
        return _decode_member_update(body, offset)
    if code == _NODE_REQUEST:
        count = body[offset]
        names = struct.unpack_from(f">{count}Q", body, offset + 1)
        return NodeRequest(names), offset + 1 + _NAME_SIZE * count
    if code == _NODE_DATA:
        end = offset + 1 + body[offset]
        if end > len(body):
            msg = "the table node is truncated"
            raise ValueError(msg)
        return NodeData(body[offset + 1 : end]), end
    kind, layout = _BY_CODE[code]
    return _from_fields(kind, layout.unpack_from(body, offset)), offset + layout.size


def _decode_member_update(body: bytes, offset: int) -> tuple[MemberUpdate, int]:
    incarnation, health, name_size, address_size = _MEMBER_UPDATE_LAYOUT.unpack_from(body, offset)
    name_at = offset + _MEMBER_UPDATE_LAYOUT.size
    address_at = name_at + name_size
    end = address_at + address_size
    if end > len(body) or not name_size:
        msg = "the member update is truncated, or its name is empty"
        raise ValueError(msg)
    name, address = body[name_at:address_at].decode(), body[address_at:end].decode()
    return MemberUpdate(name, address, incarnation, Health(health)), end


def _from_fields(kind: type, fields: tuple[int, ...]) -> Part:
    """Returns a message of fixed size built from its unpacked integers; a fencing token takes two of the integers."""
    if kind in (LeaseGrant, LeaseDenial):
        return kind(fields[0], FencingToken(*fields[1:3]), fields[3])  # type: ignore[no-any-return]
    if kind in (TransferOffer, TransferAcceptance, TransferCompletion, LeaseRelease):
        return kind(fields[0], FencingToken(*fields[1:3]))  # type: ignore[no-any-return]
    if kind is TableAnnouncement:
        return TableAnnouncement(fields[0], FencingToken(*fields[1:3]), fields[3], fields[4])
    if kind is LeaseRequest:
        return LeaseRequest(fields[0], FencingToken(*fields[1:3]), fields[3], FencingToken(*fields[4:6]))
    return kind(*fields)  # type: ignore[no-any-return]
