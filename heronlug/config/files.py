"""The files that a dispatcher's settings come from, read together: all of them hold, or none does."""

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from heronlug.config import platform as config
from heronlug.config.desired_state import State, StateError, parse
from heronlug.config.platform import Config
from heronlug.config.strict_toml import ConfigProblem, ConfigProblems, Source

DEFAULT_STATE_FILE = Path(__file__).parents[2] / "deploy" / "faktory.toml"


@dataclass(frozen=True, slots=True)
class Files:
    """The operators' file and, unless that is the whole configuration, the platform's in ``RELAY_CONFIG``."""

    state: Path
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)

    @classmethod
    def from_environment(cls, environ: Mapping[str, str] = os.environ) -> "Files":
        """As the platform tells, by the environment."""
        return cls(Path(environ.get("HERONLUG_STATE") or DEFAULT_STATE_FILE), environ)

    def load(self, again: bool = False) -> tuple[Config, State]:
        """Read and check everything, at a start or ``again``; raises :class:`ConfigError` or :class:`StateError`."""
        read = config.reload if again else config.load
        conf, state, problems = gather(self.state, lambda: read(self.environ))
        if conf is None or state is None or problems:
            raise StateError(str(ConfigProblems(problems)))
        return conf, state


def gather(
    path: Path, platform: Callable[[], Config | None]
) -> tuple[Config | None, State | None, list[ConfigProblem]]:
    """The configuration and the state that a file holds, or all that is wrong with it, in the order of its lines.

    Where it is not the whole configuration, ``platform`` gives that; None checks the file by its form alone.
    """
    problems: list[ConfigProblem] = []
    conf: Config | None = None
    state: State | None = None
    try:
        source = Source.read(path)
        if source.table.keys() & {"serve", "site"}:
            from heronlug.config.site import read_site

            conf, problems = read_site(source)
        else:
            conf = platform()
        state = parse(source, conf.settings if conf is not None else None)
    except ConfigProblems as error:
        problems = [*problems, *error.problems]
    return conf, state, ConfigProblems(problems).problems
