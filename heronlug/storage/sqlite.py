"""Stores accepted requests in SQLite, with a write-ahead log, full synchronisation and group commit.

Commits run in a separate thread, so the event loop never waits for the disk. Changes that arrive during a commit go
into the next commit, so one disk synchronisation serves many requests. The process that opens the file holds an
exclusive lock, and any other process that opens the file gets an error. If a new request or a delivery cannot be
written, the caller gets the error, so that new requests are rejected. A final state must not be lost, so its write is
retried.
"""

import os
import sqlite3
import threading
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

from heronlug.requests.interfaces import EventLog, call_isolated
from heronlug.storage.clock_steps import follow_clock
from heronlug.storage.model import DurabilityCallback, JobCallback, StoredRequest

FORMAT_VERSION = 1
"""The ``user_version`` of a store file in the current format."""
RETRY_DELAY_S = 0.5
"""Delay in seconds before a failed commit is retried."""
MAX_COMMIT_OPERATIONS = 4096
"""Maximum number of operations in one commit."""
CLOSE_TIMEOUT_S = 10
"""Time in seconds for which :meth:`SqliteStore.close` waits for the last commits."""
BUSY_TIMEOUT_S = 0.2
"""Time in seconds for which SQLite waits for a file that another process has locked."""
EXIT_STATUS_KILLED = 137
"""Exit status of a process ended by an injected fault, equal to that of a process killed by SIGKILL."""
CREATE_TABLE = """
create table if not exists jobs (
    jid text primary key, lane text not null, queue text not null, job blob not null, accepted_at real not null,
    remaining real not null, due real not null, delivered_at real not null, final text not null, ended_at real not null
) without rowid
"""
# A table of its own, because older programs must be able to write the table of requests.
CREATE_REPEATS_TABLE = """
create table if not exists repeats (
    jid text primary key, effect text not null, repeat_window real not null, deliveries integer not null
) without rowid
"""
DELETE_ORPHANED_REPEATS = "delete from repeats where jid not in (select jid from jobs)"
SELECT_PORTION = """
select jobs.jid, lane, queue, job, accepted_at, remaining, due, delivered_at, final, ended_at,
    coalesce(effect, ''), coalesce(repeat_window, 0.0), coalesce(deliveries, 0)
from jobs left join repeats on repeats.jid = jobs.jid
where {} and jobs.jid > ? order by jobs.jid limit ?
"""
ALL, OPEN, ENDED = "true", "final = ''", "final != ''"
"""Conditions for all requests, for those that have not ended, and for those that have."""
PORTION_ROWS = 32
"""Number of requests that are read at once, of which each may have a job of the largest size."""
SELECT_JOB = "select job from jobs where jid = ? and final = ''"
INSERT_REQUEST = "insert or ignore into jobs values (?, ?, ?, ?, ?, ?, ?, ?, ?, ?)"
INSERT_REPEATS = "insert or replace into repeats values (?, ?, ?, ?)"
SET_DELIVERED_AT = "update jobs set delivered_at = ? where jid = ? and delivered_at = 0"
COUNT_DELIVERY = "update repeats set deliveries = deliveries + 1 where jid = ?"
SET_RELEASED_AT = "update jobs set due = ? where jid = ? and due < ? and final = ''"
SET_FINAL_STATE = "update jobs set final = ?, ended_at = ?, job = x'' where jid = ? and final = ''"
DELETE_REQUEST = "delete from jobs where jid = ?"
DELETE_REPEATS = "delete from repeats where jid = ?"
FAULT_VARIABLE = "HERONLUG_STORE_FAULT"
"""Environment variable for tests, in the form ``KIND:NUMBER:MOMENT`` with the moment ``before`` or ``after``.

The process ends immediately before or after the commit that contains the operation of this kind with this number,
counted from 1.
"""


class StoreError(ValueError):
    """Raised if a file cannot be used as a store; the text gives the reason."""


class FileSizes(NamedTuple):
    """Size of a file in bytes before and after compaction."""

    before: int
    after: int


class _Statement(NamedTuple):
    """An SQL statement and the values for its placeholders."""

    sql: str
    values: tuple[Any, ...]


class _Operation(NamedTuple):
    """A change to write.

    Attributes:
        kind: name of the change, by which an injected fault selects operations.
        statements: the statements; none for an operation that only waits for earlier changes.
        callback: called with the result of the commit; None for a change that is retried until it is durable.
    """

    kind: str
    statements: tuple[_Statement, ...] = ()
    callback: DurabilityCallback | None = None


class _Read(NamedTuple):
    """A job to read, and the callback for it."""

    jid: str
    callback: JobCallback


class _InjectedFault:
    """Ends the process at a commit, so that tests can check the state of the file after a kill."""

    def __init__(self, kind: str, countdown: int, moment: str) -> None:
        self._kind, self._countdown, self._moment = kind, countdown, moment

    @classmethod
    def from_environment(cls) -> "_InjectedFault | None":
        """Returns the fault that the environment variable requests, or None."""
        text = os.environ.get(FAULT_VARIABLE, "")
        if not text:
            return None
        kind, countdown, moment = text.split(":")
        return cls(kind, int(countdown), moment)

    def check(self, batch: list[_Operation], moment: str) -> None:
        """Ends the process if the fault applies to this batch at this moment."""
        if moment != self._moment:
            return
        self._countdown -= sum(operation.kind == self._kind for operation in batch)
        if self._countdown <= 0:
            os._exit(EXIT_STATUS_KILLED)


def connect(path: Path, create: bool = True) -> sqlite3.Connection:
    """Opens a store file, locks it and checks its integrity.

    Args:
        path: path of the file.
        create: whether to create a missing file.

    Raises:
        StoreError: if the file is missing, locked, damaged or of an unsupported format.
    """
    if not create and not path.is_file():
        msg = f"{path}: store file does not exist"
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
        msg = f"{path}: {'another process has locked the store' if locked else error}"
        raise StoreError(msg) from error
    except StoreError:
        connection.close()
        raise
    return connection


def _prepare(connection: sqlite3.Connection, path: Path) -> None:
    """Locks a store, checks its integrity and creates the table if it is missing."""
    connection.execute("pragma locking_mode = exclusive")
    connection.execute("pragma journal_mode = wal")
    connection.execute("pragma synchronous = full")
    version = connection.execute("pragma user_version").fetchone()[0]
    if version not in (0, FORMAT_VERSION):
        msg = f"{path}: store format {version} is not supported; this program supports format {FORMAT_VERSION}"
        raise StoreError(msg)
    problems = connection.execute("pragma quick_check(5)").fetchall()
    if problems != [("ok",)]:
        msg = f"{path}: store is damaged: {'; '.join(str(row[0]) for row in problems)}"
        raise StoreError(msg)
    connection.execute("begin immediate")  # acquires the exclusive lock, so no other process can write from here on
    connection.execute(CREATE_TABLE)
    connection.execute(CREATE_REPEATS_TABLE)
    connection.execute(DELETE_ORPHANED_REPEATS)
    connection.execute(f"pragma user_version = {FORMAT_VERSION}")
    connection.execute("commit")


def read_requests(connection: sqlite3.Connection, condition: str = ALL) -> Iterator[StoredRequest]:
    """Yields the stored requests in the order of their jids, of which ``PORTION_ROWS`` at a time are in memory.

    Args:
        connection: connection to the store file.
        condition: the requests to read, as an SQL condition.

    Raises:
        StoreError: if the file cannot be read.
    """
    last_jid = ""
    try:
        while rows := connection.execute(SELECT_PORTION.format(condition), (last_jid, PORTION_ROWS)).fetchall():
            last_jid = rows[-1][0]
            yield from (StoredRequest(*row) for row in rows)
    except sqlite3.Error as error:
        raise StoreError(str(error)) from error


class SqliteStore:
    """Stores requests in a file; see :class:`heronlug.storage.model.Store`.

    Attributes:
        is_durable: always True.
        commits: number of successful commits.
        written: number of operations in the successful commits.
        failures: number of failed commits.
    """

    is_durable = True

    def __init__(
        self,
        path: Path,
        call_soon: Callable[[Callable[[], None]], object],
        log: EventLog,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """Opens the file and starts the writer thread.

        Args:
            path: path of the file.
            call_soon: schedules a call on the event loop from any thread.
            log: the event log.
            clock: returns the Unix time in ms by which the stored times are corrected after a step of the wall clock;
                None corrects nothing.

        Raises:
            StoreError: if the file cannot be used as a store.
        """
        self._connection = connect(path)
        if clock is not None:
            self._follow_clock(path, clock, log)
        self._call_soon, self._log = call_soon, log
        self._operations: deque[_Operation | _Read] = deque()
        self._condition = threading.Condition()
        self._closing = False
        self._commits_failing = False
        self._fault = _InjectedFault.from_environment()
        self.commits = 0
        self.written = 0
        self.failures = 0
        self._thread = threading.Thread(target=self._write_operations, name="store", daemon=True)
        self._thread.start()

    def _follow_clock(self, path: Path, clock: Callable[[], float], log: EventLog) -> None:
        try:
            step_ms = follow_clock(self._connection, clock())
        except sqlite3.Error as error:
            self._connection.close()
            msg = f"{path}: {error}"
            raise StoreError(msg) from error
        if step_ms:
            log("store_clock_step", ms=round(step_ms))

    def load(self) -> Iterator[StoredRequest]:
        """Yields all stored requests, the open ones first; see :class:`heronlug.storage.model.Store`.

        Raises:
            StoreError: if the file cannot be read.
        """
        yield from read_requests(self._connection, OPEN)
        yield from read_requests(self._connection, ENDED)

    def read_job(self, jid: str, callback: JobCallback) -> None:
        """Reads the job of an open request, after all earlier changes."""
        self._enqueue(_Read(jid, callback))

    def accept(self, request: StoredRequest, callback: DurabilityCallback) -> None:
        """Stores a request before it is accepted."""
        *row, effect, repeat_window_ms, deliveries = request
        statements = (
            _Statement(INSERT_REQUEST, tuple(row)),
            _Statement(INSERT_REPEATS, (request.jid, effect, repeat_window_ms, deliveries)),
        )
        self._enqueue(_Operation("accept", statements, callback))

    def deliver(self, jid: str, delivered_at: float, callback: DurabilityCallback) -> None:
        """Stores the time of the first delivery of a request, and counts it, before the request is sent to a worker."""
        statements = (_Statement(SET_DELIVERED_AT, (delivered_at, jid)), _Statement(COUNT_DELIVERY, (jid,)))
        self._enqueue(_Operation("deliver", statements, callback))

    def release(self, jid: str, released_at: float) -> None:
        """Stores the time from which the allowed time of a request counts whose last parent has ended."""
        self._enqueue(_Operation("release", (_Statement(SET_RELEASED_AT, (released_at, jid, released_at)),)))

    def record_final_state(self, jid: str, final_state: str, ended_at: float) -> None:
        """Stores the final state of a request; the first stored state is kept."""
        self._enqueue(_Operation("end", (_Statement(SET_FINAL_STATE, (final_state, ended_at, jid)),)))

    def forget(self, jid: str) -> None:
        """Deletes a request."""
        statements = (_Statement(DELETE_REQUEST, (jid,)), _Statement(DELETE_REPEATS, (jid,)))
        self._enqueue(_Operation("forget", statements))

    def when_durable(self, callback: DurabilityCallback) -> None:
        """Calls back once all earlier changes are durable or have failed."""
        self._enqueue(_Operation("after", callback=callback))

    def close(self) -> None:
        """Writes the pending changes and releases the file."""
        with self._condition:
            self._closing = True
            self._condition.notify()
        self._thread.join(CLOSE_TIMEOUT_S)
        self._connection.close()

    def _enqueue(self, operation: _Operation | _Read) -> None:
        with self._condition:
            self._operations.append(operation)
            self._condition.notify()

    # -- in the writer thread

    def _write_operations(self) -> None:
        while batch := self._next_batch():
            changes = [operation for operation in batch if isinstance(operation, _Operation)]
            error = self._commit_changes(changes)
            calls = [call for operation in batch if (call := self._completion(operation, error)) is not None]
            if calls:
                self._call_soon(partial(self._call_all, calls))
            uncommitted = [change for change in changes if error and change.callback is None]
            if uncommitted and not self._retry_later(uncommitted):
                return

    def _next_batch(self) -> list[_Operation | _Read]:
        """Waits for operations and returns the next batch; the batch is empty once the store is closing and idle."""
        with self._condition:
            while not self._operations and not self._closing:
                self._condition.wait()
            count = min(MAX_COMMIT_OPERATIONS, len(self._operations))
            return [self._operations.popleft() for _ in range(count)]

    def _call_all(self, callbacks: list[Callable[[], None]]) -> None:
        """Calls the callbacks of a batch on the event loop, each by itself."""
        for callback in callbacks:
            call_isolated(self._log, "store", callback)

    def _commit_changes(self, changes: list[_Operation]) -> str:
        """Commits the changes of a batch, if any; returns the error text, or an empty string on success."""
        if not changes:
            return ""
        error = self._commit(changes)
        self._log_health(error)
        return error

    def _completion(self, operation: _Operation | _Read, error: str) -> Callable[[], None] | None:
        """Returns the callback of an operation with its result; None if the operation has no callback."""
        if isinstance(operation, _Read):
            return partial(operation.callback, *self._read(operation.jid))
        return partial(operation.callback, error) if operation.callback is not None else None

    def _read(self, jid: str) -> tuple[bytes, str]:
        """Returns the job of an open request, or no bytes and the reason why it cannot be read."""
        try:
            row = self._connection.execute(SELECT_JOB, (jid,)).fetchone()
        except sqlite3.Error as error:
            return b"", str(error) or type(error).__name__
        return (row[0], "") if row is not None else (b"", "the job is not stored")

    def _commit(self, batch: list[_Operation]) -> str:
        """Commits a batch; returns the error text, or an empty string on success."""
        try:
            self._connection.execute("begin immediate")
            for operation in batch:
                for statement in operation.statements:
                    self._connection.execute(*statement)
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
        """Logs the first of consecutive failed commits and the first successful commit after them."""
        if error and not self._commits_failing:
            self._log("store_failed", error=error)
        elif not error and self._commits_failing:
            self._log("store_well")
        self._commits_failing = bool(error)

    def _retry_later(self, uncommitted: list[_Operation]) -> bool:
        """Puts operations back into the queue and waits ``RETRY_DELAY_S``.

        Returns:
            False if the store is closing; the operations are then lost, which is logged.
        """
        with self._condition:
            if self._closing:
                self._log("store_lost", operations=len(uncommitted))
                return False
            self._operations.extendleft(reversed(uncommitted))
            self._condition.wait(RETRY_DELAY_S)
            return True


def compact(path: Path) -> FileSizes:
    """Returns free pages of the file to the file system.

    Raises:
        StoreError: if the file cannot be opened or compacted.
    """
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
