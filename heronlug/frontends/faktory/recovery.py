"""The Faktory front's jobs and the store of accepted work: what is kept when, and what goes on after a restart."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from heronlug.balancer.settings import Effect, RequestClass
from heronlug.storage.memory import MemoryStore
from heronlug.storage.model import Done, Final, Kept, Store, Way, left, settle


def open_store(path: str, log: Callable[..., None], turn: Callable[[], None]) -> Store:
    """The store in a file, or none that lasts; raises ``ValueError``.  SQLite is loaded only for a file."""
    if not path:
        return MemoryStore()
    from heronlug.storage.sqlite import SqliteStore

    loop = asyncio.get_running_loop()

    def happen(what: Callable[[], None]) -> None:
        what()
        turn()

    def soon(what: Callable[[], None]) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(happen, what)

    return SqliteStore(Path(path), soon, log)


def must_be_kept_first(terms: RequestClass) -> bool:
    """Whether a delivery has to be on the disk before its first byte: what may not run twice at will."""
    return terms.effect is not Effect.IDEMPOTENT


def recovered(
    store: Store, classes: dict[str, RequestClass], now: float, remember: float
) -> tuple[list[tuple[Kept, Way]], dict[str, int]]:
    """What is kept, each with what becomes of it; outcomes that follow from the restart are kept at once."""
    found: list[tuple[Kept, Way]] = []
    counts: dict[str, int] = {}
    for job in store.load():
        way = settle(job, classes.get(job.lane), now, remember)
        counts[way.value] = counts.get(way.value, 0) + 1
        if way is Way.FORGET:
            store.forget(job.jid)
            continue
        if way in (Way.FAILED, Way.REFUSED):
            final = Final.FAILED if way is Way.FAILED else Final.REFUSED
            store.end(job.jid, final.value, now)
            job = job._replace(final=final.value, ended_at=now)
        found.append((job, way))
    return found, counts


__all__ = ["Done", "Kept", "Store", "Way", "left", "must_be_kept_first", "open_store", "recovered"]
