"""Tests of the request store: stored data, recovery actions, and damaged, full, locked or unsupported files."""

import threading
import time
import tracemalloc
from pathlib import Path

import pytest

from heronlug.balancer.settings import Effect, RequestClass
from heronlug.cli import group
from heronlug.frontends.faktory.recovery import recover_jobs
from heronlug.frontends.faktory.stored_jobs import read_stored_jobs
from heronlug.storage.memory import MemoryStore
from heronlug.storage.model import RecoveryAction, StoredRequest, recovery_action
from heronlug.storage.sqlite import SqliteStore, StoreError, connect

NON_IDEMPOTENT_CLASS = RequestClass(latency_objective=1.0, deadline=1000.0, effect=Effect.NON_IDEMPOTENT)
BY_KEY_CLASS = RequestClass(
    latency_objective=1.0, deadline=1000.0, effect=Effect.IDEMPOTENT_BY_KEY, repeat_window=500.0
)
IDEMPOTENT_CLASS = RequestClass(latency_objective=1.0, deadline=1000.0, effect=Effect.IDEMPOTENT)
REQUEST = StoredRequest("jid-00001", "c", "default", b"{}", 1000.0, 800.0)


@pytest.mark.parametrize(
    ("request_", "policy", "now", "action"),
    [
        (REQUEST, NON_IDEMPOTENT_CLASS, 1100.0, RecoveryAction.RESTART),
        (REQUEST, NON_IDEMPOTENT_CLASS, 1900.0, RecoveryAction.REJECT),  # the request never ran
        (REQUEST, None, 1100.0, RecoveryAction.REJECT),
        (REQUEST._replace(not_before=5000.0), NON_IDEMPOTENT_CLASS, 1900.0, RecoveryAction.SCHEDULE),
        (REQUEST._replace(not_before=5000.0), NON_IDEMPOTENT_CLASS, 5100.0, RecoveryAction.RESTART),
        (REQUEST._replace(not_before=5000.0), NON_IDEMPOTENT_CLASS, 5900.0, RecoveryAction.REJECT),
        (REQUEST._replace(first_delivered_at=1050.0), NON_IDEMPOTENT_CLASS, 1100.0, RecoveryAction.FAIL),
        (REQUEST._replace(first_delivered_at=1050.0), IDEMPOTENT_CLASS, 1100.0, RecoveryAction.RESTART),
        (REQUEST._replace(first_delivered_at=1050.0), IDEMPOTENT_CLASS, 1900.0, RecoveryAction.FAIL),
        (REQUEST._replace(first_delivered_at=1050.0), BY_KEY_CLASS, 1500.0, RecoveryAction.RESTART),
        # after the repeat window of 500 ms servers no longer drop repeats
        (REQUEST._replace(first_delivered_at=1050.0), BY_KEY_CLASS, 1600.0, RecoveryAction.FAIL),
        (REQUEST._replace(first_delivered_at=1050.0), None, 1100.0, RecoveryAction.FAIL),
        (REQUEST, IDEMPOTENT_CLASS, 0.0, RecoveryAction.RESTART),  # the clock was set back
        (REQUEST._replace(first_delivered_at=1050.0), BY_KEY_CLASS, 1000.0, RecoveryAction.FAIL),  # the same
        (
            REQUEST._replace(final_state="served", ended_at=1100.0),
            NON_IDEMPOTENT_CLASS,
            1200.0,
            RecoveryAction.REMEMBER,
        ),
        (REQUEST._replace(final_state="served", ended_at=1100.0), NON_IDEMPOTENT_CLASS, 9e9, RecoveryAction.FORGET),
    ],
)
def test_recovery_action_follows_state_effect_and_time(
    request_: StoredRequest, policy: RequestClass | None, now: float, action: RecoveryAction
) -> None:
    """Guards against running a request again that must not run twice, and against dropping one that may still run."""
    assert recovery_action(request_, policy, now, 10_000.0) is action


@pytest.mark.parametrize(
    ("job", "action"),
    [
        (b'{"args":["after"]}', RecoveryAction.RESTART),
        (b'{"custom":{"after":["p"]}}', RecoveryAction.WAIT),
        (b'{"custom":{"after":[]}}', RecoveryAction.RESTART),
        (b'{"custom":{"after":["p"]', RecoveryAction.REJECT),
        (b'{"custom":{"after":"p"}}', RecoveryAction.REJECT),
        (b'{"custom":"after"}', RecoveryAction.REJECT),
        (b'{"reserve_for":"long"}', RecoveryAction.REJECT),
        (b'["after"]', RecoveryAction.REJECT),
    ],
)
def test_stored_job_waits_for_its_parents_or_ends_if_it_cannot_be_read(job: bytes, action: RecoveryAction) -> None:
    """Guards against a job that waits because an argument is "after", and a damaged row that ends the start."""
    parent = REQUEST._replace(jid="p")
    rows = [REQUEST._replace(job=job), parent]
    logged: list[str] = []
    classes = {"c": IDEMPOTENT_CLASS}
    stored = read_stored_jobs(rows)
    recovered = recover_jobs(
        stored, MemoryStore(), classes, 1100.0, 10_000.0, lambda event, /, **fields: logged.append(event)
    )
    assert recovered[1].request == parent._replace(job=b"")  # the other rows are not affected
    assert recovered[1].action is RecoveryAction.RESTART
    assert recovered[0].action is action
    assert logged == (["job_damaged"] if action is RecoveryAction.REJECT else [])
    assert bool(recovered[0].request.final_state) == (action is RecoveryAction.REJECT)


class OpenedStore:
    """A store whose callbacks run in the writer thread; records the callback results and the logged events."""

    def __init__(self, path: Path) -> None:
        self.results: list[str] = []
        self.events: list[str] = []
        self.store = SqliteStore(path, lambda callback: callback(), self._log)
        self._finished = threading.Event()

    def _log(self, event: str, /, **fields: object) -> None:
        self.events.append(event)

    def accept(self, *jids: str, request: StoredRequest = REQUEST) -> list[str]:
        """Stores a request per jid, waits for the commits and returns the callback results."""
        self.results.clear()
        for jid in jids:
            self.store.accept(request._replace(jid=jid), self.results.append)
        self.wait_until_written()
        return list(self.results)

    def wait_until_written(self) -> str:
        """Waits until all earlier changes are durable or have failed; returns the error text, or an empty string."""
        results: list[str] = []
        finished = threading.Event()

        def on_written(result: str) -> None:
            results.append(result)
            finished.set()

        self.store.when_durable(on_written)
        assert finished.wait(20)
        return results[0]


def test_stored_requests_are_loaded_by_the_next_process(tmp_path: Path) -> None:
    """Guards against stored changes that the next process does not see, and against a commit per request."""
    path = tmp_path / "jobs.sqlite"
    opened = OpenedStore(path)
    request = REQUEST._replace(effect="by_key", repeat_window_ms=500.0)
    assert opened.accept(*(f"jid-{n:05}" for n in range(500)), request=request) == [""] * 500
    assert opened.store.commits < 400  # one commit holds many requests
    opened.store.deliver("jid-00001", 5.0, opened.results.append)
    opened.store.deliver("jid-00001", 9.0, opened.results.append)
    opened.store.record_final_state("jid-00002", "served", 7.0)
    opened.store.record_final_state("jid-00002", "failed", 8.0)  # the first final state is kept
    opened.store.forget("jid-00003")
    opened.store.release("jid-00004", 6.0)
    opened.store.release("jid-00004", 5.0)  # a release before the earliest start changes nothing
    opened.store.close()
    reopened = OpenedStore(path)
    jobs = {job.jid: job for job in reopened.store.load()}
    assert len(jobs) == 499
    assert jobs["jid-00000"] == request._replace(jid="jid-00000")
    assert jobs["jid-00001"].first_delivered_at == 5.0
    assert (jobs["jid-00001"].effect, jobs["jid-00001"].repeat_window_ms) == ("by_key", 500.0)
    assert jobs["jid-00001"].deliveries == 2
    assert (jobs["jid-00002"].final_state, jobs["jid-00002"].ended_at) == ("served", 7.0)
    assert jobs["jid-00002"].job == b""
    assert jobs["jid-00004"].not_before == 6.0
    reopened.store.close()


@pytest.mark.parametrize("step_ms", [3_600_000.0, -3_600_000.0, 0.0])
def test_step_of_the_wall_clock_between_two_processes_changes_no_span(tmp_path: Path, step_ms: float) -> None:
    """Guards against more time, or a longer repeat window, by a clock that is stepped while the process is down."""
    path = tmp_path / "jobs.sqlite"
    due_later = 2e12
    steps: list[object] = []
    for clock_step_ms in (0.0, step_ms, step_ms):
        store = SqliteStore(
            path,
            lambda callback: callback(),
            lambda event, /, **fields: steps.append((event, fields)),
            lambda: time.time_ns() / 1e6 + clock_step_ms,  # noqa: B023 (called by the constructor)
        )
        if not clock_step_ms and not list(store.load()):
            store.accept(REQUEST._replace(first_delivered_at=1200.0, not_before=900.0), lambda result: None)
            store.accept(REQUEST._replace(jid="jid-00002", not_before=due_later), lambda result: None)
        store.close()
    store = SqliteStore(path, lambda callback: callback(), lambda event, /, **fields: None)
    first, second = store.load()
    store.close()
    assert len(steps) == bool(step_ms)
    for stored, expected in (
        (first.accepted_at, 1000.0),
        (first.first_delivered_at, 1200.0),
        (first.not_before, 900.0),
    ):
        assert abs(stored - step_ms - expected) < 50.0
    assert (second.not_before, first.ended_at, second.first_delivered_at) == (due_later, 0.0, 0.0)


def test_second_process_cannot_open_the_store(tmp_path: Path) -> None:
    """Guards against two processes writing to one store; the second open must fail without harm to the first store."""
    path = tmp_path / "jobs.sqlite"
    opened = OpenedStore(path)
    with pytest.raises(StoreError, match="another process has locked the store"):
        connect(path)
    assert opened.accept("jid-00001") == [""]
    opened.store.close()


def test_full_disk_rejects_new_requests_and_loses_no_accepted_one(tmp_path: Path) -> None:
    """Guards against lost or falsely accepted requests on a full disk, simulated by a page limit of the database."""
    path = tmp_path / "jobs.sqlite"
    opened = OpenedStore(path)
    opened.accept("jid-00001", "jid-00002")
    pages = opened.store._connection.execute("pragma page_count").fetchone()[0]
    opened.store._connection.execute(f"pragma max_page_count = {pages}")
    results = opened.accept(*(f"jid-{n:05}" for n in range(100, 400)))
    assert any("full" in result for result in results)
    assert "store_failed" in opened.events
    opened.store._connection.execute("pragma max_page_count = 100000")
    assert opened.accept("jid-90000") == [""]
    assert "store_well" in opened.events
    opened.store.close()
    stored = {job.jid for job in OpenedStore(path).store.load()}
    accepted = {f"jid-{n:05}" for n, result in zip(range(100, 400), results, strict=True) if not result}
    assert stored == {"jid-00001", "jid-00002", "jid-90000"} | accepted


def test_damaged_file_and_unknown_format_are_reported_without_changing_the_file(tmp_path: Path) -> None:
    """Guards against opening a damaged or unsupported file, which could overwrite the data in it."""
    path = tmp_path / "jobs.sqlite"
    opened = OpenedStore(path)
    opened.accept(*(f"jid-{n:05}" for n in range(2000)))
    opened.store.close()
    data = path.read_bytes()
    for offset in (4096 + 3, len(data) // 2 // 4096 * 4096):  # the header of a page
        damaged = bytearray(data)
        damaged[offset : offset + 64] = b"\xff" * 64
        path.write_bytes(damaged)
        with pytest.raises(StoreError):
            connect(path)
        assert path.read_bytes() == damaged
    path.write_bytes(data)
    connection = connect(path)
    connection.execute("pragma user_version = 7")
    connection.close()
    with pytest.raises(StoreError, match="store format 7 is not supported"):
        connect(path)


def test_truncated_write_ahead_log_yields_whole_commits_in_order(tmp_path: Path) -> None:
    """Guards against partial or reordered commits after a crash of the machine truncated the write-ahead log.

    The log is cut at many offsets; each remainder must yield the first commits, in order and complete.
    """
    path = tmp_path / "jobs.sqlite"
    opened = OpenedStore(path)
    for number in range(12):
        assert opened.accept(f"a-{number:06}", f"b-{number:06}") == ["", ""]
    log_bytes = Path(f"{path}-wal").read_bytes()
    database = path.read_bytes()
    row_counts = set()
    for cut in range(0, len(log_bytes) + 1, 1031):
        folder = tmp_path / str(cut)
        folder.mkdir()
        (folder / "jobs.sqlite").write_bytes(database)
        (folder / "jobs.sqlite-wal").write_bytes(log_bytes[:cut])
        try:
            connection = connect(folder / "jobs.sqlite")
        except StoreError:
            continue
        jids = [row[0] for row in connection.execute("select jid from jobs order by jid")]
        connection.close()
        first_numbers = sorted(jid[2:] for jid in jids if jid.startswith("a"))
        assert first_numbers == [f"{n:06}" for n in range(len(first_numbers))]
        row_counts.add(len(jids))
    assert max(row_counts) >= 22
    assert len(row_counts) > 5
    opened.store.close()


def test_store_commands_read_a_store_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against ``store`` commands that cannot read the file of a stopped dispatcher."""
    path = tmp_path / "jobs.sqlite"
    opened = OpenedStore(path)
    opened.accept("jid-00001", "jid-00002")
    opened.store.record_final_state("jid-00002", "served", 7.0)
    opened.wait_until_written()
    opened.store.close()

    def run_command(*arguments: str) -> str:
        assert not group.main(["store", *arguments], standalone_mode=False)
        return capsys.readouterr().out

    assert "waiting  1" in run_command("check", str(path))
    assert '"jid":"jid-00002"' in run_command("dump", str(path))
    assert "bytes before" in run_command("compact", str(path))


def test_start_reads_large_jobs_without_holding_them(tmp_path: Path) -> None:
    """Guards against a start that takes the process over its memory because all stored jobs are read at once."""
    path, job = tmp_path / "jobs.sqlite", b'{"args":["%s"]}' % (b"r" * 60_000)
    first = OpenedStore(path)
    jids = [f"jid-{number:05}" for number in range(500)]
    first.accept(*jids, request=REQUEST._replace(job=job))
    first.store.record_final_state("jid-00007", "served", 1500.0)
    first.wait_until_written()
    first.store.close()
    tracemalloc.start()
    try:
        second = OpenedStore(path)
        stored = read_stored_jobs(second.store.load())
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert [each.request.jid for each in stored.open] == [jid for jid in jids if jid != "jid-00007"]
    assert [each.jid for each in stored.ended] == ["jid-00007"]
    assert peak_bytes < len(jids) * len(job) / 5
    results: list[tuple[bytes, str]] = []
    for jid in ("jid-00000", "jid-00007", "unknown"):
        second.store.read_job(jid, lambda *result: results.append(result))
    second.wait_until_written()
    assert results == [(job, ""), (b"", "the job is not stored"), (b"", "the job is not stored")]


def test_callback_that_raises_does_not_stop_the_others(tmp_path: Path) -> None:
    """Guards against a push or a delivery without an answer because another callback of its commit raised."""
    opened = OpenedStore(tmp_path / "jobs.sqlite")
    first_enqueued = threading.Event()
    opened.store.when_durable(lambda error: None if first_enqueued.wait(5) else None)

    def fail(error: str) -> None:
        raise RuntimeError(error)

    for jid, callback in (("jid-00001", fail), ("jid-00002", opened.results.append)):
        opened.store.accept(REQUEST._replace(jid=jid), callback)
    first_enqueued.set()
    opened.wait_until_written()
    assert opened.results == [""]
    assert opened.events == ["exception"]
