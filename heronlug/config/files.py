"""Loads the files with the settings of a dispatcher; the settings are used only if all files are valid."""

import os
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from heronlug.config import platform as config
from heronlug.config.desired_state import State, StateError, parse
from heronlug.config.platform import Config
from heronlug.config.strict_toml import ConfigProblem, ConfigProblems, Source

DEFAULT_STATE_FILE = Path(__file__).parents[2] / "deploy" / "faktory.toml"
"""The operators' file that is used if ``HERONLUG_STATE`` names none."""


@dataclass(frozen=True, slots=True)
class Files:
    """The operators' file and, unless that is the whole configuration, the platform's file.

    Attributes:
        state: Path of the operators' file.
        environ: Environment variables; ``RELAY_CONFIG`` names the platform's file.
    """

    state: Path
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)

    @classmethod
    def from_environment(cls, environ: Mapping[str, str] = os.environ) -> "Files":
        """Returns the files that the environment variables name."""
        return cls(Path(environ.get("HERONLUG_STATE") or DEFAULT_STATE_FILE), environ)

    def load(self, again: bool = False) -> tuple[Config, State]:
        """Reads and checks all files.

        Args:
            again: Whether this is a reload instead of the first load at the start.

        Raises:
            ConfigError: If the platform's configuration is invalid.
            StateError: If the operators' file is invalid.
        """
        read = config.reload if again else config.load
        conf, state, problems = gather(self.state, lambda: read(self.environ))
        if conf is None or state is None or problems:
            raise StateError(str(ConfigProblems(problems)))
        return conf, state


def gather(
    path: Path, platform: Callable[[], Config | None]
) -> tuple[Config | None, State | None, list[ConfigProblem]]:
    """Returns the configuration and the state of an operators' file, and its problems in the order of their lines.

    Args:
        path: Path of the operators' file.
        platform: Called if the file is not the whole configuration; returns the platform's configuration, or None to
            check the file without a site.
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
