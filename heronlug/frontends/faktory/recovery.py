"""The store of accepted jobs: when a delivery has to be stored first, and what goes on after a restart."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from heronlug.balancer.settings import Effect, RequestClass
from heronlug.requests.interfaces import EventLog
from heronlug.storage.memory import MemoryStore
from heronlug.storage.model import FinalState, RecoveryAction, Store, StoredRequest, recovery_action


def open_store(path: str, log: EventLog, run_due: Callable[[], None]) -> Store:
    """The store in a file, or one in memory for an empty path; SQLite is imported only for a file.

    Args:
        path: of the file.
        log: where events are logged.
        run_due: called after each callback of the store.

    Raises:
        ValueError: the file cannot be used.
    """
    if not path:
        return MemoryStore()
    from heronlug.storage.sqlite import SqliteStore

    loop = asyncio.get_running_loop()

    def run_callback(callback: Callable[[], None]) -> None:
        """Run a callback of the store, and the deadlines that are due after it."""
        callback()
        run_due()

    def call_on_loop(callback: Callable[[], None]) -> None:
        """Pass a callback from the store's thread to the loop."""
        if not loop.is_closed():
            loop.call_soon_threadsafe(run_callback, callback)

    return SqliteStore(Path(path), call_on_loop, log)


def must_be_stored_before_delivery(policy: RequestClass) -> bool:
    """Whether a delivery must be durable before its first byte: that of any job that must not run twice at will."""
    return policy.effect is not Effect.IDEMPOTENT


def recover_records(
    store: Store, classes: dict[str, RequestClass], now: float, remember_ms: float
) -> tuple[list[tuple[StoredRequest, RecoveryAction]], dict[str, int]]:
    """Read the store at the start, and store the outcomes that follow from the restart.

    Args:
        store: the store.
        classes: the classes by name.
        now: Unix time in ms.
        remember_ms: time for which the jid of an ended job stays known.

    Returns:
        The jobs, each with what becomes of it, and how many jobs there were of each kind.
    """
    records: list[tuple[StoredRequest, RecoveryAction]] = []
    counts: dict[str, int] = {}
    for record in store.load():
        action = recovery_action(record, classes.get(record.class_name), now, remember_ms)
        counts[action.value] = counts.get(action.value, 0) + 1
        if action is RecoveryAction.FORGET:
            store.forget(record.jid)
            continue
        if action in (RecoveryAction.FAIL, RecoveryAction.REJECT):
            final_state = FinalState.FAILED if action is RecoveryAction.FAIL else FinalState.REFUSED
            store.record_final_state(record.jid, final_state.value, now)
            record = record._replace(final_state=final_state.value, ended_at=now)
        records.append((record, action))
    return records, counts
