"""Messages between members: a datagram consists of one or more of these parts.

Leases, replicated tables and members appear in them by their tags, 32-bit hashes of their names.
"""

from typing import NamedTuple

from heronlug.cluster.model import FencingToken, MemberUpdate

MAX_NODES_PER_REQUEST = 24
"""Nodes of a replicated table that one :class:`NodeRequest` may ask for."""


class Ping(NamedTuple):
    """A probe: the receiver answers with an :class:`Ack` of this number."""

    number: int


class Ack(NamedTuple):
    """The answer to a :class:`Ping`; a helper forwards it to the member that asked for an indirect probe."""

    number: int


class IndirectPing(NamedTuple):
    """A request to ping another member and to forward its answer (``ping-req`` of SWIM)."""

    number: int
    target: int
    """The tag of the member to ping."""


class Nack(NamedTuple):
    """A helper got no answer to an indirect probe; it is reachable itself (Lifeguard)."""

    number: int


class Sync(NamedTuple):
    """The sender has joined: the receiver tells it of all members and tables."""


def without_owner(token: FencingToken) -> FencingToken:
    """The value of ``LeaseRequest.released`` by which a request under ``token`` asks for a promise."""
    return FencingToken(token.number, 0)


class LeaseRequest(NamedTuple):
    """The sender requests a lease, or renews it.

    There are three kinds of request, which differ only in ``released``, since the datagram has no other field for it:

    * a renewal (:attr:`is_renewal`): ``token`` itself, for the sender holds the lease already;
    * a request for a promise (:attr:`requests_promise`): the number of ``token`` with owner 0;
    * a request for a vote: the token of the predecessor that has handed the lease over, or ``NO_TOKEN`` for none.
    """

    lease: int
    token: FencingToken
    request_id: int
    released: FencingToken

    @property
    def is_renewal(self) -> bool:
        """Whether the sender states that it holds the lease already."""
        return self.released == self.token

    @property
    def requests_promise(self) -> bool:
        """Whether the sender asks for a promise of a vote, not for the vote."""
        return self.released == without_owner(self.token)


class LeaseGrant(NamedTuple):
    """The lease, or a promise of it, is granted for its duration from when the request arrived."""

    lease: int
    token: FencingToken
    request_id: int


class LeaseDenial(NamedTuple):
    """The lease is granted to another member, or was granted under a higher token."""

    lease: int
    highest: FencingToken
    """The highest token that the sender has granted or promised."""
    request_id: int


class TransferOffer(NamedTuple):
    """The holder offers the lease to the preferred owner."""

    lease: int
    token: FencingToken


class TransferAcceptance(NamedTuple):
    """The preferred owner accepts an offer."""

    lease: int
    token: FencingToken


class TransferCompletion(NamedTuple):
    """The sender no longer acts under ``token``: the receiver may request the lease."""

    lease: int
    token: FencingToken


class LeaseRelease(NamedTuple):
    """The sender has released its token: votes that were given to it are free."""

    lease: int
    token: FencingToken


class TableAnnouncement(NamedTuple):
    """A replicated table has reached a version, or the writer's heartbeat confirms it."""

    table: int
    token: FencingToken
    number: int
    """The number of the publication or heartbeat under this token."""
    root: int
    """The name of the root of the table's trie."""


class NodeRequest(NamedTuple):
    """The sender needs the nodes of these names, at most ``MAX_NODES_PER_REQUEST``."""

    names: tuple[int, ...]


class NodeData(NamedTuple):
    """A node of a replicated table; its name is the hash of its content."""

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
"""Any message."""
