"""Plays every recorded exchange in ``tests/exchanges`` against the program."""

import unittest

import pytest
from exchange import EXCHANGES_FOLDER, ExchangePlayer, header_options

DEFINITIONS = (EXCHANGES_FOLDER / "words.txt").read_text()


class ExchangeTests(unittest.TestCase):
    """One test for each file of an exchange."""

    def play(self, name: str) -> None:
        text = (EXCHANGES_FOLDER / name).read_text()
        player = ExchangePlayer(**header_options(text))
        try:
            for line in DEFINITIONS.splitlines():
                player.step(line)
            player.play(text)
            assert '"exception"' not in player.log_end()
            assert (player.program.poll() or 0) == 0
        finally:
            player.close()


def test_misspelt_header_line_or_key_is_an_error() -> None:
    """Guards against an exchange that passes without the limits or the state that it was written for."""
    assert header_options("# limits {}\n# the next three\n") == {"limits": {}}
    with pytest.raises(ValueError, match="unknown name 'limit'"):
        header_options('# limit {"conn_idle": 4000.0}\n')
    with pytest.raises(TypeError, match="socket"):
        ExchangePlayer(socket=96)


def _add_test(name: str) -> None:
    def test(self: ExchangeTests) -> None:
        self.play(name)

    setattr(ExchangeTests, f"test_{name.removesuffix('.txt')}", test)


for path in sorted(EXCHANGES_FOLDER.glob("*.txt")):
    if path.name != "words.txt":
        _add_test(path.name)

if __name__ == "__main__":
    unittest.main()
