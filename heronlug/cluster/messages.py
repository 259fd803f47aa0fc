"""Defines the messages between members; a datagram consists of one or more of these parts.

Messages identify leases, replicated tables and members by their tags, the 32-bit hashes of their names.
"""

from typing import NamedTuple

from heronlug.cluster.model import FencingToken, MemberUpdate

MAX_NODES_PER_REQUEST = 24
"""The largest number of replicated table nodes that one :class:`NodeRequest` may name."""


class Ping(NamedTuple):
    """A probe, which the receiver answers with an :class:`Ack` of the same number."""

    number: int


class Ack(NamedTuple):
    """The answer to a :class:`Ping`; a helper passes on the answer to the member that requested an indirect probe."""

    number: int


class IndirectPing(NamedTuple):
    """A request to a helper to ping another member and to pass on its answer (``ping-req`` of SWIM)."""

    number: int
    target: int
    """The tag of the member to ping."""


class Nack(NamedTuple):
    """The report of a helper that its indirect probe got no answer; shows that the helper is reachable (Lifeguard)."""

    number: int


class Sync(NamedTuple):
    """A request of a member that joins; the receiver answers with all its members and table announcements."""


def without_owner(token: FencingToken) -> FencingToken:
    """Returns the ``released`` value that marks a :class:`LeaseRequest` under ``token`` as a request for a promise."""
    return FencingToken(token.number, 0)


class LeaseRequest(NamedTuple):
    """A request of the sender for a lease, or for its renewal.

    The three kinds of request differ only in ``released``, since the datagram has no separate field for the kind:

    * a renewal (:attr:`is_renewal`): ``token`` itself, since the sender already holds the lease;
    * a request for a promise (:attr:`requests_promise`): the number of ``token`` with owner 0;
    * a request for a vote: the token of the predecessor that has handed over the lease, or ``NO_TOKEN`` for none.
    """

    lease: int
    token: FencingToken
    request_id: int
    released: FencingToken

    @property
    def is_renewal(self) -> bool:
        """Returns whether the sender states that it already holds the lease."""
        return self.released == self.token

    @property
    def requests_promise(self) -> bool:
        """Returns whether the request is for a promise of a vote rather than for the vote."""
        return self.released == without_owner(self.token)


class LeaseGrant(NamedTuple):
    """The grant of a vote or of a promise; its duration starts when the request arrives."""

    lease: int
    token: FencingToken
    request_id: int


class LeaseDenial(NamedTuple):
    """The refusal of a request, since the lease is granted to another member or was granted under a higher token."""

    lease: int
    highest: FencingToken
    """The highest token that the sender has granted or promised."""
    request_id: int


class TransferOffer(NamedTuple):
    """The offer of a lease by its holder to the preferred owner."""

    lease: int
    token: FencingToken


class TransferAcceptance(NamedTuple):
    """The acceptance of an offer by the preferred owner."""

    lease: int
    token: FencingToken


class TransferCompletion(NamedTuple):
    """The confirmation that the sender no longer acts under ``token``, so that the receiver may request the lease."""

    lease: int
    token: FencingToken


class LeaseRelease(NamedTuple):
    """The announcement that the sender has released its token, which frees all votes granted to the token."""

    lease: int
    token: FencingToken


class TableAnnouncement(NamedTuple):
    """The announcement of a new version of a replicated table, or the writer's heartbeat that confirms the version."""

    table: int
    token: FencingToken
    number: int
    """The sequence number of the publication or heartbeat under this token."""
    root: int
    """The name of the root of the table's trie."""


class NodeRequest(NamedTuple):
    """A request for the table nodes with these names, at most ``MAX_NODES_PER_REQUEST``."""

    names: tuple[int, ...]


class NodeData(NamedTuple):
    """A node of a replicated table; the node's name is the hash of ``data``."""

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
"""A message of any kind."""
