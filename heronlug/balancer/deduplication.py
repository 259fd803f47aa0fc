"""Determines which servers may receive a repeat of a request that is idempotent by key."""

from typing import NamedTuple

from heronlug.balancer.model import Request, Server
from heronlug.balancer.settings import Effect, KeyScope

WHOLE_ZONE = -1


class DeduplicationGroup(NamedTuple):
    """Servers that drop repeats of requests that have run at any server of the group.

    Attributes:
        zone: the number of the zone.
        cell: the number of the cell within the zone, or ``WHOLE_ZONE``.
    """

    zone: int
    cell: int = WHOLE_ZONE

    @classmethod
    def of(cls, scope: KeyScope, server: Server) -> "DeduplicationGroup":
        """Returns the deduplication group of a server for this scope."""
        return cls(server.zone, server.cell if scope is KeyScope.CELL else WHOLE_ZONE)


def required_group(request: Request) -> DeduplicationGroup | None:
    """Returns the group that a request is restricted to after an attempt that may have run; None if any server fits."""
    scope = request.policy.key_scope
    if request.policy.effect is not Effect.IDEMPOTENT_BY_KEY or scope is KeyScope.ALL:
        return None
    ran_at = next((attempt.server for attempt in request.attempts if attempt.may_have_run), None)
    return DeduplicationGroup.of(scope, ran_at) if ran_at is not None else None


def drops_repeats(request: Request, server: Server) -> bool:
    """Returns whether a server drops repeats of every attempt of a request that may have run at another server."""
    scope = request.policy.key_scope
    if request.policy.effect is not Effect.IDEMPOTENT_BY_KEY or scope is KeyScope.ALL:
        return True
    return all(
        attempt.server.zone == server.zone and (scope is not KeyScope.CELL or attempt.server.cell == server.cell)
        for attempt in request.attempts
        if attempt.may_have_run
    )
