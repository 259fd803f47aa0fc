"""Runs the Faktory frontend with its core in virtual time, without sockets, across kills and restarts."""

import json
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from typing import Any
from unittest import mock

from exchange import SETTINGS

from heronlug.balancer.events import Outcome
from heronlug.config import platform as configs
from heronlug.frontends.faktory.config import FaktoryConfig
from heronlug.frontends.faktory.errors import CommandError
from heronlug.frontends.faktory.frontend import FaktoryFrontend
from heronlug.lifecycle.faktory_service import FaktoryService
from heronlug.memory.account import UNLIMITED, MemoryAccount
from heronlug.requests.core import Core
from heronlug.requests.deadlines import Deadlines
from heronlug.storage.memory import MemoryStore
from heronlug.storage.model import DurabilityCallback, JobCallback, Store, StoredRequest

START_TIME = 1_700_000_000_000.0


class DurableStore:
    """A store whose rows survive the frontend; a change becomes durable when a test commits it."""

    is_durable = True

    def __init__(self, rows: dict[str, StoredRequest]) -> None:
        self.rows = rows
        self._changes: list[tuple[Callable[[], None], DurabilityCallback | None]] = []

    def load(self) -> Iterable[StoredRequest]:
        return sorted(self.rows.values(), key=lambda row: row.final_state != "")

    def read_job(self, jid: str, callback: JobCallback) -> None:
        def call_back(failure: str) -> None:
            row = self.rows.get(jid)
            callback(row.job if row else b"", failure or ("" if row else "the job is not stored"))

        self._changes.append((lambda: None, call_back))

    def accept(self, request: StoredRequest, callback: DurabilityCallback) -> None:
        self._changes.append((lambda: self._add(request), callback))

    def deliver(self, jid: str, delivered_at: float, callback: DurabilityCallback) -> None:
        self._update(jid, None, lambda row: not row.first_delivered_at, first_delivered_at=delivered_at)
        self._changes.append((lambda: self._count_delivery(jid), callback))

    def release(self, jid: str, released_at: float) -> None:
        self._update(
            jid, None, lambda row: not row.final_state and row.not_before < released_at, not_before=released_at
        )

    def record_final_state(self, jid: str, final_state: str, ended_at: float) -> None:
        end = {"final_state": final_state, "ended_at": ended_at, "job": b""}
        self._update(jid, None, lambda row: not row.final_state, **end)

    def forget(self, jid: str) -> None:
        self._changes.append((lambda: self._remove(jid), None))

    def when_durable(self, callback: DurabilityCallback) -> None:
        self._changes.append((lambda: None, callback))

    def close(self) -> None:
        self.commit()

    def commit(self) -> None:
        """Makes all changes durable, also those that the callbacks add."""
        while self._changes:
            self.commit_next()

    def commit_next(self) -> None:
        """Makes the first change durable."""
        change, callback = self._changes.pop(0)
        change()
        if callback is not None:
            callback("")

    def write(self, count: int) -> None:
        """Writes the first changes without a callback, as before a kill."""
        for change, _ in self._changes[:count]:
            change()
        del self._changes[:count]

    def _add(self, request: StoredRequest) -> None:
        self.rows.setdefault(request.jid, request)

    def _count_delivery(self, jid: str) -> None:
        if jid in self.rows:
            self.rows[jid] = self.rows[jid]._replace(deliveries=self.rows[jid].deliveries + 1)

    def _remove(self, jid: str) -> None:
        self.rows.pop(jid, None)

    def _update(
        self, jid: str, callback: DurabilityCallback | None, applies: Callable[[StoredRequest], bool], **values: Any
    ) -> None:
        def change() -> None:
            row = self.rows.get(jid)
            if row is not None and applies(row):
                self.rows[jid] = row._replace(**values)

        self._changes.append((change, callback))


class VirtualConnection:
    """A connection of a worker; ``received`` has the jids of the jobs that were written to it, ``jobs`` the jobs."""

    def __init__(self) -> None:
        self.queues: list[str] = ["default"]
        self.reserved_jids: set[str] = set()
        self.received: list[str] = []
        self.jobs: list[dict[str, Any]] = []
        self.fetching = False
        self.peer_connected = True

    def defer_reply(self) -> Callable[[bytes], None]:
        self.fetching = False

        def reply(data: bytes) -> None:
            if not data.startswith(b"$-1"):
                self.jobs.append(json.loads(data.split(b"\r\n")[1]))
                self.received.append(self.jobs[-1]["jid"])

        return reply

    def abort(self) -> None:
        self.peer_connected = False


class VirtualFaktory:
    """One dispatcher's Faktory frontend, whose process can be killed and started again.

    Attributes:
        now: the current time in ms.
        events: the logged events of all processes, each with its fields and its time ``at_ms``.
        disk_stalled: whether changes of the store do not become durable for now; a kill loses them.
        memory_limit: limit of the account of memory of the processes that are started from now on, in bytes.
        memory: the account of memory of the current process.
        frontend: the frontend of the current process.
    """

    def __init__(
        self,
        *,
        durable: bool = True,
        config: dict[str, Any] | None = None,
        memory_limit: int = UNLIMITED,
        **settings: Any,
    ) -> None:
        self.now = START_TIME
        self.events: list[tuple[str, dict[str, Any]]] = []
        self.disk_stalled = False
        self.memory_limit = memory_limit
        self.rows: dict[str, StoredRequest] = {}
        self._durable = durable
        self._faktory_config = FaktoryConfig(("127.0.0.1", 0), **(config or {}))
        self.configure(**settings)
        self.start()

    def configure(self, **settings: Any) -> None:
        """Sets the settings for the processes that are started from now on."""
        raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "ab12", "name": "n0"}
        self._config = configs.parse({**raw, "settings": {**SETTINGS, "instances": 1, **settings}}, "the test")

    def start(self) -> None:
        """Starts a process, which recovers the jobs in the store."""
        self.deadlines = Deadlines(lambda: self.now)
        self.memory = MemoryAccount(self.memory_limit)
        self.store: Store = DurableStore(self.rows) if self._durable else MemoryStore()
        http_core = Core(self._config.settings, self._config.seed, mock.Mock(), self.deadlines)
        self.service = FaktoryService(
            self._config,
            http_core,
            self.deadlines,
            self._log,  # type: ignore[arg-type]
            self.turn,
            memory=self.memory,
        )
        with mock.patch("heronlug.frontends.faktory.recovery.open_store", return_value=self.store):
            self.service.frontend = self.service._make_frontend(self._faktory_config)
        self.frontend: FaktoryFrontend = self.service.frontend
        self.frontend.recover()
        self.frontend.turn_on()
        self.turn()

    def kill_and_start(self, down_ms: float = 500) -> None:
        """Kills the process; changes that are not durable are lost, and connections have ended."""
        self.store = MemoryStore()
        self.now += down_ms
        self.start()

    def stop_and_start(self, stop_ms: float, down_ms: float = 500) -> None:
        """Ends the process by a planned stop whose time to answer is ``stop_ms``, and starts the next one."""
        self.frontend.begin_stop()
        self.pass_time(stop_ms)
        self.frontend.give_up_jobs()
        self.turn()
        assert not len(self.frontend.core.requests), "the stop waits for a job"
        self.store.close()
        self.kill_and_start(down_ms)

    def turn(self) -> None:
        """Runs the deadlines that are due and makes the changes of the store durable."""
        self._commit()
        while self.deadlines.run_due():
            self._commit()

    def pass_time(self, duration_ms: float) -> None:
        """Advances the clock and runs each deadline at its time."""
        end = self.now + duration_ms
        while (due := self.deadlines.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.turn()
        self.now = end
        self.turn()

    # -- clients

    def job(self, jid: str, jobtype: str = "safe", due_in_ms: float = 0, **custom: Any) -> dict[str, Any]:
        """Returns the payload of a job."""
        due = {"at": datetime.fromtimestamp((self.now + due_in_ms) / 1000, UTC).isoformat()} if due_in_ms else {}
        return {"jid": jid, "jobtype": jobtype, "args": [], "custom": custom, **due}

    def push(self, jid: str, jobtype: str = "safe", due_in_ms: float = 0, **custom: Any) -> str:
        """Pushes a job and returns ``OK`` or the error text; an empty text if the reply waits."""
        return self.push_job(self.job(jid, jobtype, due_in_ms, **custom))

    def push_job(self, job: dict[str, Any]) -> str:
        """Pushes a job with this payload; see :meth:`push`."""
        replies: list[str] = []

        def on_pushed(error: CommandError | None) -> None:
            replies.append("OK" if error is None else str(error))

        self.frontend.jobs.push(job, on_pushed)
        self.turn()
        return replies[0] if replies else ""

    def push_all(self, *jobs: dict[str, Any]) -> dict[str, str]:
        """Pushes several jobs at once and returns the error texts by jid."""
        replies: list[dict[str, str]] = []
        self.frontend.jobs.push_all(list(jobs), replies.append)
        self.turn()
        return replies[0]

    def reject_classes(self, *class_indexes: int) -> None:
        """Installs a plug-in that rejects all jobs of these classes."""
        self.frontend.core.plugins = mock.Mock(admit=lambda class_index, *rest: class_index not in class_indexes)

    def worker(self, wid: str) -> VirtualConnection:
        """Connects a worker."""
        connection = VirtualConnection()
        self.frontend.workers.connect(wid, connection)
        self.turn()
        return connection

    def fetch(self, wid: str, connection: VirtualConnection) -> str:
        """Sends FETCH and returns the jid of the job, or an empty text if there is none now."""
        count = len(connection.received)
        connection.fetching = True
        self.frontend.delivery.match(self.frontend.workers.by_wid[wid])
        self.turn()
        connection.fetching = False
        return connection.received[-1] if len(connection.received) > count else ""

    def end_job(self, wid: str, jid: str, outcome: Outcome = Outcome.SERVED) -> None:
        """Ends a job by ACK, or by FAIL if the outcome is an error."""
        self.frontend.delivery.acknowledge(self.frontend.workers.by_wid[wid], jid, outcome)
        self.turn()

    # -- observations

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Returns the fields of the logged events with this name."""
        return [fields for name, fields in self.events if name == event]

    def finals(self, jid: str) -> list[str]:
        """Returns the final answers of a jid."""
        return [fields["final"] for fields in self.logged("job_answered") if fields["jid"] == jid]

    def _log(self, event: str, /, **fields: Any) -> None:
        self.events.append((event, {**fields, "at_ms": self.now}))

    def _commit(self) -> None:
        if isinstance(self.store, DurableStore) and not self.disk_stalled:
            self.store.commit()
