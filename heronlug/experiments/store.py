"""Runs in SQLite: each is kept as soon as it is done, so that an experiment goes on where it was interrupted."""

import sqlite3
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

import orjson

FORMAT_VERSION = 1
CREATE_TABLE = """
create table if not exists runs (
    key text not null, experiment text not null, params text not null, seed integer not null, version text not null,
    figures text not null, details text not null, wall real not null, at real not null,
    primary key (experiment, key)
) without rowid
"""


class StoreError(ValueError):
    """A file that is no store of ours."""


class StoredRun(NamedTuple):
    """One run."""

    params: dict[str, Any]
    seed: int
    version: str
    figures: dict[str, float]  # see Figures.flat; nan where there is none
    details: dict[str, Any]  # quantiles, service by second, hosts, violations, recovery
    wall: float


class Store:
    """One file; a context that closes it."""

    def __init__(self, path: Path, create: bool = True) -> None:
        """Raises :class:`StoreError`, or ``OSError`` where there is none and none is to be made."""
        if not create and not path.is_file():
            msg = f"{path}: there is no such store; `experiment run` makes it"
            raise FileNotFoundError(msg)
        try:
            self._db = sqlite3.connect(path)
            self._db.execute("pragma journal_mode = wal")
            format_version = self._db.execute("pragma user_version").fetchone()[0]
            if format_version not in (0, FORMAT_VERSION):
                msg = f"{path}: a store of format {format_version}, this program has {FORMAT_VERSION}"
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
        """Those of the keys that are there."""
        stored = {row[0] for row in self._db.execute("select key from runs where experiment = ?", (experiment,))}
        return stored & set(keys)

    def put(self, experiment: str, key: str, run: StoredRun) -> None:
        """Keep a run."""
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
        """All runs of an experiment, or of all; of the version that ran last where none is named."""
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
        """Names, versions and how many runs."""
        return self._db.execute("select experiment, version, count(*) from runs group by 1, 2 order by 1, 2").fetchall()


def _figures_from_json(text: str) -> dict[str, float]:
    return {key: float("nan") if value is None else value for key, value in orjson.loads(text).items()}


def _to_json(value: Any) -> str:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS | orjson.OPT_SERIALIZE_NUMPY).decode()
