"""Accepted work in SQLite: a write-ahead log, full synchronisation, and group commit in a thread of its own.

All that has come while a commit was under way goes into the next one, so one synchronisation of the disk serves many
jobs, and the loop never waits. One process has the file: another that opens it is told so. What cannot be written is
told to who asked (so new work is refused), and what must not be forgotten, an outcome, is tried again.
"""

import os
import sqlite3
import threading
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

from heronlug.storage.model import Done, Kept

FORMAT = 1
RETRY = 0.5  # s, when an outcome could not be written
MOST = 4096  # operations in one commit
SCHEMA = """
create table if not exists jobs (
    jid text primary key, lane text not null, queue text not null, job blob not null, accepted_at real not null,
    remaining real not null, due real not null, delivered_at real not null, final text not null, ended_at real not null
) without rowid
"""
SELECT = "select jid, lane, queue, job, accepted_at, remaining, due, delivered_at, final, ended_at from jobs"
INSERT = "insert or ignore into jobs values (?, ?, ?, ?, ?, ?, ?, ?, ?, ?)"
DELIVER = "update jobs set delivered_at = ? where jid = ? and delivered_at = 0"
END = "update jobs set final = ?, ended_at = ?, job = x'' where jid = ? and final = ''"
FORGET = "delete from jobs where jid = ?"
FAULT = "HERONLUG_STORE_FAULT"  # for tests: KIND:NUMBER:before or after ends the process round that commit


class StoreError(ValueError):
    """The file cannot be used; says why."""


class _Op(NamedTuple):
    """One thing to write."""

    kind: str
    sql: str
    values: tuple[Any, ...]
    done: Done | None


def connect(path: Path, create: bool = True) -> sqlite3.Connection:
    """Open a store and check it; raises :class:`StoreError`."""
    if not create and not path.is_file():
        raise StoreError(f"{path}: there is no such store")
    try:
        db = sqlite3.connect(path, timeout=0.2, isolation_level=None, check_same_thread=False)
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from None
    try:
        db.execute("pragma locking_mode = exclusive")
        db.execute("pragma journal_mode = wal")
        db.execute("pragma synchronous = full")
        found = db.execute("pragma user_version").fetchone()[0]
        if found not in (0, FORMAT):
            raise StoreError(f"{path}: a store of format {found}, this program has {FORMAT}")
        wrong = db.execute("pragma quick_check(5)").fetchall()
        if wrong != [("ok",)]:
            raise StoreError(f"{path}: damaged: {'; '.join(str(row[0]) for row in wrong)}")
        db.execute("begin immediate")  # from here on nobody else may write
        db.execute(SCHEMA)
        db.execute(f"pragma user_version = {FORMAT}")
        db.execute("commit")
    except sqlite3.Error as error:
        db.close()
        locked = "locked" in str(error)
        raise StoreError(f"{path}: {'another process has it' if locked else error}") from None
    except StoreError:
        db.close()
        raise
    return db


def rows(db: sqlite3.Connection) -> Iterator[Kept]:
    """All jobs; raises :class:`StoreError`."""
    try:
        yield from (Kept(*row) for row in db.execute(SELECT))
    except sqlite3.Error as error:
        raise StoreError(str(error)) from None


class SqliteStore:
    """One file."""

    lasts = True

    def __init__(self, path: Path, soon: Callable[[Callable[[], None]], object], log: Callable[..., None]) -> None:
        """``soon`` calls something on the loop, from any thread; raises :class:`StoreError`."""
        self._db, self._soon, self._log = connect(path), soon, log
        self._ops: deque[_Op] = deque()
        self._wake = threading.Condition()
        self._closing = False
        self._failing = False
        self._fault = _fault()
        self.commits = self.written = self.failures = 0
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)
        self._thread.start()

    def load(self) -> Iterable[Kept]:
        """All that is kept."""
        return list(rows(self._db))

    def accept(self, job: Kept, done: Done) -> None:
        """A job is taken in."""
        self._put(_Op("accept", INSERT, tuple(job), done))

    def deliver(self, jid: str, at: float, done: Done) -> None:
        """A job is about to be given to a worker."""
        self._put(_Op("deliver", DELIVER, (at, jid), done))

    def end(self, jid: str, final: str, at: float) -> None:
        """A job has its final outcome."""
        self._put(_Op("end", END, (final, at, jid), None))

    def forget(self, jid: str) -> None:
        """A job is not known any more."""
        self._put(_Op("forget", FORGET, (jid,), None))

    def after(self, done: Done) -> None:
        """Call when all before this is durable."""
        self._put(_Op("after", "", (), done))

    def close(self) -> None:
        """Write what is open, and end."""
        with self._wake:
            self._closing = True
            self._wake.notify()
        self._thread.join(10)
        self._db.close()

    # -- inside

    def _put(self, op: _Op) -> None:
        with self._wake:
            self._ops.append(op)
            self._wake.notify()

    def _run(self) -> None:
        while True:
            with self._wake:
                while not self._ops and not self._closing:
                    self._wake.wait()
                if not self._ops:
                    return
                batch = [self._ops.popleft() for _ in range(min(MOST, len(self._ops)))]
            why = self._write(batch)
            if why and not self._failing:
                self._log("store_failed", error=why)
            elif not why and self._failing:
                self._log("store_well")
            self._failing = bool(why)
            again = [op for op in batch if why and op.done is None]
            told = [op.done for op in batch if op.done is not None]
            if told:
                self._soon(partial(_tell, told, why))
            if again:
                with self._wake:
                    if self._closing:
                        self._log("store_lost", operations=len(again))
                        return
                    self._ops.extendleft(reversed(again))
                    self._wake.wait(RETRY)

    def _write(self, batch: list[_Op]) -> str:
        """One commit; why it could not be made, or nothing."""
        try:
            self._db.execute("begin immediate")
            for op in batch:
                if op.sql:
                    self._db.execute(op.sql, op.values)
            self._hit(batch, "before")
            self._db.execute("commit")
            self._hit(batch, "after")
        except sqlite3.Error as error:
            self.failures += 1
            if self._db.in_transaction:
                try:
                    self._db.execute("rollback")
                except sqlite3.Error as second:
                    self._log("store_failed", error=f"rollback: {second}")
            return str(error) or type(error).__name__
        self.commits += 1
        self.written += len(batch)
        return ""

    def _hit(self, batch: list[_Op], when: str) -> None:
        if self._fault is not None:
            kind, left, at = self._fault
            if at == when:
                left -= sum(op.kind == kind for op in batch)
                self._fault = kind, left, at
                if left <= 0:
                    os._exit(137)  # as if killed at this very moment


def _tell(told: list[Done], why: str) -> None:
    for done in told:
        done(why)


def _fault() -> tuple[str, int, str] | None:
    text = os.environ.get(FAULT, "")
    if not text:
        return None
    kind, number, when = text.split(":")
    return kind, int(number), when


def compact(path: Path) -> tuple[int, int]:
    """Give free pages back; the file's size before and after in bytes.  Raises :class:`StoreError`."""
    db = connect(path, create=False)
    try:
        before = path.stat().st_size
        db.execute("vacuum")
        db.execute("pragma wal_checkpoint(truncate)")
        return before, path.stat().st_size
    except sqlite3.Error as error:
        raise StoreError(f"{path}: {error}") from None
    finally:
        db.close()
