"""Where a repeat of a request may go: servers of one group drop repeats of what has run at another of them."""

from typing import NamedTuple

from heronlug.balancer.model import Request, Server
from heronlug.balancer.settings import Effect, KeyScope

WHOLE_ZONE = -1


class DeduplicationGroup(NamedTuple):
    """Servers of which each drops a repeat of what has run at another: those of a zone, or of one cell of it."""

    zone: int
    cell: int = WHOLE_ZONE

    @classmethod
    def of(cls, scope: KeyScope, server: Server) -> "DeduplicationGroup":
        """The group of a server within this scope."""
        return cls(server.zone, server.cell if scope is KeyScope.CELL else WHOLE_ZONE)


def required_group(request: Request) -> DeduplicationGroup | None:
    """The only group that a request may go to after what may have run; None where any server may have it."""
    scope = request.policy.key_scope
    if request.policy.effect is not Effect.IDEMPOTENT_BY_KEY or scope is KeyScope.ALL:
        return None
    ran_at = next((attempt.server for attempt in request.attempts if attempt.may_have_run), None)
    return DeduplicationGroup.of(scope, ran_at) if ran_at is not None else None


def drops_repeats(request: Request, server: Server) -> bool:
    """Whether a server drops repeats of all attempts of a request that may have run elsewhere."""
    scope = request.policy.key_scope
    if request.policy.effect is not Effect.IDEMPOTENT_BY_KEY or scope is KeyScope.ALL:
        return True
    return all(
        attempt.server.zone == server.zone and (scope is not KeyScope.CELL or attempt.server.cell == server.cell)
        for attempt in request.attempts
        if attempt.may_have_run
    )
