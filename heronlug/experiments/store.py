"""Stores runs in SQLite as soon as they end, so that an interrupted experiment can resume."""

import sqlite3
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import orjson

FORMAT_VERSION = 1
"""Version of the store format, the user_version of the SQLite file."""
CREATE_TABLE = """
create table if not exists runs (
    key text not null, experiment text not null, params text not null, seed integer not null, version text not null,
    figures text not null, details text not null, wall real not null, at real not null,
    primary key (experiment, key)
) without rowid
"""


class StoreError(ValueError):
    """The file is not a store of this program or has another format."""


class StoredRun(NamedTuple):
    """Result of one run.

    Attributes:
        params: varied values, by dotted key.
        seed: seed of the run.
        version: version of the program.
        figures: figures by name, see :meth:`heronlug.emulator.figures.Figures.by_name`; nan for a missing figure.
        details: quantiles of latency, value by second, servers, violations, recovery and latency objectives.
        wall: wall-clock duration of the run in seconds.
    """

    params: dict[str, Any]
    seed: int
    version: str
    figures: dict[str, float]
    details: dict[str, Any]
    wall: float


class Store:
    """A store in one SQLite file; a context manager that closes the file."""

    def __init__(self, path: Path, create: bool = True) -> None:
        """Opens a store.

        Args:
            path: path of the file.
            create: whether to create a store that does not exist.

        Raises:
            StoreError: if the file is not a store or has another format.
            FileNotFoundError: if there is no file and ``create`` is false.
        """
        if not create and not path.is_file():
            msg = f"{path}: the store does not exist; `experiment run` creates it"
            raise FileNotFoundError(msg)
        try:
            self._db = sqlite3.connect(path)
            self._db.execute("pragma journal_mode = wal")
            format_version = self._db.execute("pragma user_version").fetchone()[0]
            if format_version not in (0, FORMAT_VERSION):
                msg = f"{path}: store has format {format_version}, but this program reads format {FORMAT_VERSION}"
                raise StoreError(msg)
            self._db.execute(f"pragma user_version = {FORMAT_VERSION}")
            self._db.execute(CREATE_TABLE)
            self._db.commit()
        except sqlite3.DatabaseError as error:
            msg = f"{path}: {error}"
            raise StoreError(msg) from None

    def __enter__(self) -> "Store":
        return self

    def __exit__(self, *_: object) -> None:
        self._db.close()

    def has(self, experiment: str, keys: Iterable[str]) -> set[str]:
        """Returns the subset of keys that the store has for an experiment."""
        stored = {row[0] for row in self._db.execute("select key from runs where experiment = ?", (experiment,))}
        return stored & set(keys)

    def put(self, experiment: str, key: str, run: StoredRun) -> None:
        """Stores a run, or replaces a run with the same key."""
        values = (
            key,
            experiment,
            _to_json(run.params),
            run.seed,
            run.version,
            _to_json(run.figures),
            _to_json(run.details),
            run.wall,
            time.time(),
        )
        with self._db:
            self._db.execute("insert or replace into runs values (?, ?, ?, ?, ?, ?, ?, ?, ?)", values)

    def runs(self, experiment: str = "", version: str = "") -> list[StoredRun]:
        """Returns the runs of one version of the program, in the order in which the runs were stored.

        Args:
            experiment: name of the experiment; empty for all experiments.
            version: version of the program; empty for the version of the run that was stored last.
        """
        rows = self._db.execute(
            "select params, seed, version, figures, details, wall from runs where ? in ('', experiment)"
            " order by at, key",
            (experiment,),
        ).fetchall()
        wanted_version = version or (rows[-1][2] if rows else "")
        return [
            StoredRun(orjson.loads(params), seed, run_version, _figures_from_json(figures), orjson.loads(details), wall)
            for params, seed, run_version, figures, details, wall in rows
            if run_version == wanted_version
        ]

    def experiments(self) -> list[tuple[str, str, int]]:
        """Returns the name, the version and the number of runs of each experiment, sorted by name and version."""
        return self._db.execute("select experiment, version, count(*) from runs group by 1, 2 order by 1, 2").fetchall()


def _figures_from_json(text: str) -> dict[str, float]:
    return {key: float("nan") if value is None else value for key, value in orjson.loads(text).items()}


def _to_json(value: Any) -> str:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS | orjson.OPT_SERIALIZE_NUMPY).decode()
