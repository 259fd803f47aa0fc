"""What is kept, what becomes of it after a restart, and what a damaged, full or foreign file leads to."""

import threading
from pathlib import Path

import pytest

from heronlug.balancer.settings import Effect, RequestClass
from heronlug.cli import group
from heronlug.storage.model import RecoveryAction, StoredRequest, recovery_action
from heronlug.storage.sqlite import SqliteStore, StoreError, connect

ONCE = RequestClass(latency_objective=1.0, deadline=1000.0, effect=Effect.NON_IDEMPOTENT)
KEYED = RequestClass(latency_objective=1.0, deadline=1000.0, effect=Effect.IDEMPOTENT_BY_KEY, repeat_window=500.0)
SAFE = RequestClass(latency_objective=1.0, deadline=1000.0, effect=Effect.IDEMPOTENT)
NEW = StoredRequest("jid-00001", "c", "default", b"{}", 1000.0, 800.0)


@pytest.mark.parametrize(
    ("request_", "policy", "now", "action"),
    [
        (NEW, ONCE, 1100.0, RecoveryAction.RESTART),
        (NEW, ONCE, 1900.0, RecoveryAction.REJECT),  # it never ran
        (NEW, None, 1100.0, RecoveryAction.REJECT),
        (NEW._replace(not_before=5000.0), ONCE, 1900.0, RecoveryAction.SCHEDULE),
        (NEW._replace(not_before=5000.0), ONCE, 5100.0, RecoveryAction.RESTART),
        (NEW._replace(not_before=5000.0), ONCE, 5900.0, RecoveryAction.REJECT),
        (NEW._replace(first_delivered_at=1050.0), ONCE, 1100.0, RecoveryAction.FAIL),
        (NEW._replace(first_delivered_at=1050.0), SAFE, 1100.0, RecoveryAction.RESTART),
        (NEW._replace(first_delivered_at=1050.0), SAFE, 1900.0, RecoveryAction.FAIL),
        (NEW._replace(first_delivered_at=1050.0), KEYED, 1500.0, RecoveryAction.RESTART),
        (
            NEW._replace(first_delivered_at=1050.0),
            KEYED,
            1600.0,
            RecoveryAction.FAIL,
        ),  # the hosts have forgotten its key
        (NEW._replace(first_delivered_at=1050.0), None, 1100.0, RecoveryAction.FAIL),
        (NEW, SAFE, 0.0, RecoveryAction.RESTART),  # the clock went back
        (NEW._replace(final_state="served", ended_at=1100.0), ONCE, 1200.0, RecoveryAction.REMEMBER),
        (NEW._replace(final_state="served", ended_at=1100.0), ONCE, 9e9, RecoveryAction.FORGET),
    ],
)
def test_what_becomes_of_a_stored_request(
    request_: StoredRequest, policy: RequestClass | None, now: float, action: RecoveryAction
) -> None:
    assert recovery_action(request_, policy, now, 10_000.0) is action


class OpenedStore:
    """A store whose callbacks run in its own thread; keeps what they were called with, and the events logged."""

    def __init__(self, path: Path) -> None:
        self.told: list[str] = []
        self.events: list[str] = []
        self.store = SqliteStore(path, lambda callback: callback(), self._log)
        self._over = threading.Event()

    def _log(self, event: str, /, **fields: object) -> None:
        self.events.append(event)

    def accept(self, *jids: str) -> list[str]:
        """Accept, wait, and what was told."""
        self.told.clear()
        for jid in jids:
            self.store.accept(NEW._replace(jid=jid), self.told.append)
        self.wait()
        return list(self.told)

    def wait(self) -> str:
        """Until all is written, or could not be."""
        why: list[str] = []
        over = threading.Event()

        def done(text: str) -> None:
            why.append(text)
            over.set()

        self.store.when_durable(done)
        assert over.wait(20)
        return why[0]


def test_what_was_kept_is_there_for_the_next_process(tmp_path: Path) -> None:
    path = tmp_path / "jobs.sqlite"
    one = OpenedStore(path)
    assert one.accept(*(f"jid-{n:05}" for n in range(500))) == [""] * 500
    assert one.store.commits < 400  # many in one
    one.store.deliver("jid-00001", 5.0, one.told.append)
    one.store.deliver("jid-00001", 9.0, one.told.append)
    one.store.record_final_state("jid-00002", "served", 7.0)
    one.store.record_final_state("jid-00002", "failed", 8.0)  # the first outcome stays
    one.store.forget("jid-00003")
    one.store.close()
    two = OpenedStore(path)
    jobs = {job.jid: job for job in two.store.load()}
    assert len(jobs) == 499
    assert jobs["jid-00000"] == NEW._replace(jid="jid-00000")
    assert jobs["jid-00001"].first_delivered_at == 5.0
    assert jobs["jid-00002"][-2:] == ("served", 7.0)
    assert jobs["jid-00002"].job == b""
    two.store.close()


def test_one_process_has_the_file(tmp_path: Path) -> None:
    path = tmp_path / "jobs.sqlite"
    one = OpenedStore(path)
    with pytest.raises(StoreError, match="another process has it"):
        connect(path)
    assert one.accept("jid-00001") == [""]
    one.store.close()


def test_a_full_disk_refuses_new_work_and_loses_nothing(tmp_path: Path) -> None:
    path = tmp_path / "jobs.sqlite"
    one = OpenedStore(path)
    one.accept("jid-00001", "jid-00002")
    pages = one.store._connection.execute("pragma page_count").fetchone()[0]
    one.store._connection.execute(f"pragma max_page_count = {pages}")
    told = one.accept(*(f"jid-{n:05}" for n in range(100, 400)))
    assert any("full" in why for why in told)
    assert "store_failed" in one.events
    one.store._connection.execute("pragma max_page_count = 100000")
    assert one.accept("jid-90000") == [""]
    assert "store_well" in one.events
    one.store.close()
    kept = {job.jid for job in OpenedStore(path).store.load()}
    good = {f"jid-{n:05}" for n, why in zip(range(100, 400), told, strict=True) if not why}
    assert kept == {"jid-00001", "jid-00002", "jid-90000"} | good


def test_damage_and_another_format_are_told_and_nothing_is_touched(tmp_path: Path) -> None:
    path = tmp_path / "jobs.sqlite"
    one = OpenedStore(path)
    one.accept(*(f"jid-{n:05}" for n in range(2000)))
    one.store.close()
    data = path.read_bytes()
    for place in (4096 + 3, len(data) // 2 // 4096 * 4096):  # a page's head
        broken = bytearray(data)
        broken[place : place + 64] = b"\xff" * 64
        path.write_bytes(broken)
        with pytest.raises(StoreError):
            connect(path)
        assert path.read_bytes() == broken
    path.write_bytes(data)
    db = connect(path)
    db.execute("pragma user_version = 7")
    db.close()
    with pytest.raises(StoreError, match="format 7"):
        connect(path)


def test_a_write_ahead_log_that_is_cut_anywhere_holds_whole_commits(tmp_path: Path) -> None:
    """What a crash of the machine may leave of the log: after each cut some number of whole commits, in order."""
    path = tmp_path / "jobs.sqlite"
    one = OpenedStore(path)
    for number in range(12):
        assert one.accept(f"a-{number:06}", f"b-{number:06}") == ["", ""]
    wal = Path(f"{path}-wal").read_bytes()
    whole = path.read_bytes()
    seen = set()
    for cut in range(0, len(wal) + 1, 1031):
        folder = tmp_path / str(cut)
        folder.mkdir()
        (folder / "jobs.sqlite").write_bytes(whole)
        (folder / "jobs.sqlite-wal").write_bytes(wal[:cut])
        try:
            db = connect(folder / "jobs.sqlite")
        except StoreError:
            continue
        jids = [row[0] for row in db.execute("select jid from jobs order by jid")]
        db.close()
        firsts = sorted(jid[2:] for jid in jids if jid.startswith("a"))
        assert firsts == [f"{n:06}" for n in range(len(firsts))]
        seen.add(len(jids))
    assert max(seen) >= 22
    assert len(seen) > 5
    one.store.close()


def test_the_commands_look_at_a_file(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "jobs.sqlite"
    one = OpenedStore(path)
    one.accept("jid-00001", "jid-00002")
    one.store.record_final_state("jid-00002", "served", 7.0)
    one.wait()
    one.store.close()

    def call(*words: str) -> str:
        assert not group.main(["store", *words], standalone_mode=False)
        return capsys.readouterr().out

    assert "waiting  1" in call("check", str(path))
    assert '"jid":"jid-00002"' in call("dump", str(path))
    assert "bytes before" in call("compact", str(path))
