"""The files that a dispatcher's settings come from, read together: all of them hold, or none does."""

import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from heronlug.forms import Fault, Faults, Source
from heronlug.life import config
from heronlug.life.config import Config
from heronlug.life.state import State, StateError, parse

STATE = Path(__file__).parents[2] / "deploy" / "faktory.toml"


@dataclass(frozen=True, slots=True)
class Files:
    """The operators' file and, unless that is the whole configuration, the platform's in ``RELAY_CONFIG``."""

    state: Path
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)

    @classmethod
    def told(cls, environ: Mapping[str, str] = os.environ) -> "Files":
        """As the platform tells, by the environment."""
        return cls(Path(environ.get("HERONLUG_STATE") or STATE), environ)

    def load(self, again: bool = False) -> tuple[Config, State]:
        """Read and check everything, at a start or ``again``; raises :class:`ConfigError` or :class:`StateError`."""
        try:
            source = Source.read(self.state)
            if source.table.keys() & {"serve", "site"}:
                from heronlug.life.site import read_site

                conf, wrong = read_site(source)
                if conf is None:
                    raise Faults([*wrong, *_faults(source)])
            else:
                conf = config.reload(self.environ) if again else config.load(self.environ)
            return conf, parse(source, conf.settings)
        except Faults as faults:
            raise StateError(str(faults)) from None


def _faults(source: Source) -> list[Fault]:
    """What else is wrong, so that all is told at once."""
    try:
        parse(source)
    except Faults as faults:
        return faults.faults
    return []
