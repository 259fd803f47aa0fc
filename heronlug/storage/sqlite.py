"""Stores accepted requests in SQLite: a write-ahead log, full synchronisation, and group commit in a thread of its own.

All changes that come while a commit is under way go into the next one, so that one synchronisation of the disk serves
many requests and the event loop never waits. One process has the file; another one that opens it gets an error. A
change that cannot be written is reported to its caller, so that new requests are rejected; a final state, which must
not be lost, is retried.
"""

import os
import sqlite3
import threading
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

from heronlug.requests.interfaces import EventLog
from heronlug.storage.model import DurabilityCallback, StoredRequest

FORMAT_VERSION = 1
"""The ``user_version`` of the file."""
RETRY_DELAY_S = 0.5
"""How long to wait before a commit that failed is retried."""
MAX_COMMIT_OPERATIONS = 4096
"""Operations in one commit at most."""
CLOSE_TIMEOUT_S = 10
"""How long closing waits for the last commits."""
BUSY_TIMEOUT_S = 0.2
"""How long SQLite waits for a file that another process has."""
EXIT_STATUS_KILLED = 137
"""The exit status of an injected fault, that of a killed process."""
CREATE_TABLE = """
create table if not exists jobs (
    jid text primary key, lane text not null, queue text not null, job blob not null, accepted_at real not null,
    remaining real not null, due real not null, delivered_at real not null, final text not null, ended_at real not null
) without rowid
"""
SELECT_REQUESTS = "select jid, lane, queue, job, accepted_at, remaining, due, delivered_at, final, ended_at from jobs"
INSERT_REQUEST = "insert or ignore into jobs values (?, ?, ?, ?, ?, ?, ?, ?, ?, ?)"
SET_DELIVERED_AT = "update jobs set delivered_at = ? where jid = ? and delivered_at = 0"
SET_FINAL_STATE = "update jobs set final = ?, ended_at = ?, job = x'' where jid = ? and final = ''"
DELETE_REQUEST = "delete from jobs where jid = ?"
FAULT_VARIABLE = "HERONLUG_STORE_FAULT"
"""For tests: ``KIND:NUMBER:before`` or ``after`` ends the process around the commit of that operation."""


class StoreError(ValueError):
    """The file cannot be used; the text says why."""


class FileSizes(NamedTuple):
    """The size of a file in bytes before and after it was compacted."""

    before: int
    after: int


class _Operation(NamedTuple):
    """A change to write; ``callback`` is None for one that is retried until it is durable."""

    kind: str
    sql: str
    values: tuple[Any, ...]
    callback: DurabilityCallback | None


class _InjectedFault:
    """Ends the process at a commit, for tests of what a kill leaves behind."""

    def __init__(self, kind: str, countdown: int, moment: str) -> None:
        self._kind, self._countdown, self._moment = kind, countdown, moment

    @classmethod
    def from_environment(cls) -> "_InjectedFault | None":
        """The fault that the environment asks for."""
        text = os.environ.get(FAULT_VARIABLE, "")
        if not text:
            return None
        kind, countdown, moment = text.split(":")
        return cls(kind, int(countdown), moment)

    def check(self, batch: list[_Operation], moment: str) -> None:
        """End the process if this is the commit, before or after it, that the fault is for."""
        if moment != self._moment:
            return
        self._countdown -= sum(operation.kind == self._kind for operation in batch)
        if self._countdown <= 0:
            os._exit(EXIT_STATUS_KILLED)


def connect(path: Path, create: bool = True) -> sqlite3.Connection:
    """Open a store and check it; raises :class:`StoreError`."""
    if not create and not path.is_file():
        msg = f"{path}: there is no such store"
        raise StoreError(msg)
    try:
        connection = sqlite3.connect(path, timeout=BUSY_TIMEOUT_S, isolation_level=None, check_same_thread=False)
    except sqlite3.Error as error:
        msg = f"{path}: {error}"
        raise StoreError(msg) from error
    try:
        _prepare(connection, path)
    except sqlite3.Error as error:
        connection.close()
        locked = "locked" in str(error)
        msg = f"{path}: {'another process has it' if locked else error}"
        raise StoreError(msg) from error
    except StoreError:
        connection.close()
        raise
    return connection


def _prepare(connection: sqlite3.Connection, path: Path) -> None:
    """Lock a store, check it, and create its table if it has none."""
    connection.execute("pragma locking_mode = exclusive")
    connection.execute("pragma journal_mode = wal")
    connection.execute("pragma synchronous = full")
    version = connection.execute("pragma user_version").fetchone()[0]
    if version not in (0, FORMAT_VERSION):
        msg = f"{path}: a store of format {version}, this program has {FORMAT_VERSION}"
        raise StoreError(msg)
    problems = connection.execute("pragma quick_check(5)").fetchall()
    if problems != [("ok",)]:
        msg = f"{path}: damaged: {'; '.join(str(row[0]) for row in problems)}"
        raise StoreError(msg)
    connection.execute("begin immediate")  # from here on no other process may write
    connection.execute(CREATE_TABLE)
    connection.execute(f"pragma user_version = {FORMAT_VERSION}")
    connection.execute("commit")


def read_requests(connection: sqlite3.Connection) -> Iterator[StoredRequest]:
    """All stored requests; raises :class:`StoreError`."""
    try:
        yield from (StoredRequest(*row) for row in connection.execute(SELECT_REQUESTS))
    except sqlite3.Error as error:
        raise StoreError(str(error)) from error


class SqliteStore:
    """A store in a file; see :class:`heronlug.storage.model.Store`.

    Attributes:
        commits: that were made.
        written: operations in them.
        failures: commits that failed.
    """

    is_durable = True

    def __init__(self, path: Path, call_soon: Callable[[Callable[[], None]], object], log: EventLog) -> None:
        """Open the file and start the thread that writes; raises :class:`StoreError`.

        Args:
            path: of the file.
            call_soon: makes a call on the event loop, from any thread.
            log: where failures are logged.
        """
        self._connection = connect(path)
        self._call_soon, self._log = call_soon, log
        self._operations: deque[_Operation] = deque()
        self._condition = threading.Condition()
        self._closing = False
        self._commits_failing = False
        self._fault = _InjectedFault.from_environment()
        self.commits = 0
        self.written = 0
        self.failures = 0
        self._thread = threading.Thread(target=self._write_operations, name="store", daemon=True)
        self._thread.start()

    def load(self) -> Iterable[StoredRequest]:
        """All that is stored."""
        return list(read_requests(self._connection))

    def accept(self, request: StoredRequest, callback: DurabilityCallback) -> None:
        """Store a request that is about to be accepted."""
        self._enqueue(_Operation("accept", INSERT_REQUEST, tuple(request), callback))

    def deliver(self, jid: str, delivered_at: float, callback: DurabilityCallback) -> None:
        """Store that a request is about to be given to a worker."""
        self._enqueue(_Operation("deliver", SET_DELIVERED_AT, (delivered_at, jid), callback))

    def record_final_state(self, jid: str, final_state: str, ended_at: float) -> None:
        """Store how a request ended."""
        self._enqueue(_Operation("end", SET_FINAL_STATE, (final_state, ended_at, jid), None))

    def forget(self, jid: str) -> None:
        """Delete a request."""
        self._enqueue(_Operation("forget", DELETE_REQUEST, (jid,), None))

    def when_durable(self, callback: DurabilityCallback) -> None:
        """Call back when all changes before this one are durable."""
        self._enqueue(_Operation("after", "", (), callback))

    def close(self) -> None:
        """Write what is outstanding, and release the file."""
        with self._condition:
            self._closing = True
            self._condition.notify()
        self._thread.join(CLOSE_TIMEOUT_S)
        self._connection.close()

    def _enqueue(self, operation: _Operation) -> None:
        with self._condition:
            self._operations.append(operation)
            self._condition.notify()

    # -- in the thread

    def _write_operations(self) -> None:
        while batch := self._next_batch():
            error = self._commit(batch)
            self._log_health(error)
            callbacks = [operation.callback for operation in batch if operation.callback is not None]
            if callbacks:
                self._call_soon(partial(_call_all, callbacks, error))
            uncommitted = [operation for operation in batch if error and operation.callback is None]
            if uncommitted and not self._retry_later(uncommitted):
                return

    def _next_batch(self) -> list[_Operation]:
        """Wait for operations; none once the store is closing and all are written."""
        with self._condition:
            while not self._operations and not self._closing:
                self._condition.wait()
            count = min(MAX_COMMIT_OPERATIONS, len(self._operations))
            return [self._operations.popleft() for _ in range(count)]

    def _commit(self, batch: list[_Operation]) -> str:
        """Make one commit; returns why it could not be made, or an empty text."""
        try:
            self._connection.execute("begin immediate")
            for operation in batch:
                if operation.sql:
                    self._connection.execute(operation.sql, operation.values)
            self._check_fault(batch, "before")
            self._connection.execute("commit")
            self._check_fault(batch, "after")
        except sqlite3.Error as error:
            self.failures += 1
            self._roll_back()
            return str(error) or type(error).__name__
        self.commits += 1
        self.written += len(batch)
        return ""

    def _roll_back(self) -> None:
        if not self._connection.in_transaction:
            return
        try:
            self._connection.execute("rollback")
        except sqlite3.Error as error:
            self._log("store_failed", error=f"rollback: {error}")

    def _check_fault(self, batch: list[_Operation], moment: str) -> None:
        if self._fault is not None:
            self._fault.check(batch, moment)

    def _log_health(self, error: str) -> None:
        """Log when commits begin to fail, and when they succeed again."""
        if error and not self._commits_failing:
            self._log("store_failed", error=error)
        elif not error and self._commits_failing:
            self._log("store_well")
        self._commits_failing = bool(error)

    def _retry_later(self, uncommitted: list[_Operation]) -> bool:
        """Put operations back and wait; False if the store is closing, so that they are lost."""
        with self._condition:
            if self._closing:
                self._log("store_lost", operations=len(uncommitted))
                return False
            self._operations.extendleft(reversed(uncommitted))
            self._condition.wait(RETRY_DELAY_S)
            return True


def _call_all(callbacks: list[DurabilityCallback], error: str) -> None:
    for callback in callbacks:
        callback(error)


def compact(path: Path) -> FileSizes:
    """Give free pages of the file back; raises :class:`StoreError`."""
    connection = connect(path, create=False)
    try:
        before = path.stat().st_size
        connection.execute("vacuum")
        connection.execute("pragma wal_checkpoint(truncate)")
        return FileSizes(before, path.stat().st_size)
    except sqlite3.Error as error:
        msg = f"{path}: {error}"
        raise StoreError(msg) from error
    finally:
        connection.close()
