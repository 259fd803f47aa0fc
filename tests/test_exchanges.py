"""Plays every recorded exchange in ``tests/exchanges`` against the program."""

import json
import re
import unittest

from exchange import EXCHANGES_FOLDER, ExchangePlayer

DEFINITIONS = (EXCHANGES_FOLDER / "words.txt").read_text()


class ExchangeTests(unittest.TestCase):
    """One test for each file of an exchange."""

    def play(self, name: str) -> None:
        text = (EXCHANGES_FOLDER / name).read_text()
        header_lines = re.findall(r"^# (limits|hosts|sockets|state|inherited|partner|taken) (.*)$", text, re.M)
        options = {key: json.loads(value) for key, value in header_lines}
        player = ExchangePlayer(**options)
        try:
            for line in DEFINITIONS.splitlines():
                player.step(line)
            player.play(text)
            assert '"exception"' not in player.log_end()
            assert (player.program.poll() or 0) == 0
        finally:
            player.close()


def _add_test(name: str) -> None:
    def test(self: ExchangeTests) -> None:
        self.play(name)

    setattr(ExchangeTests, f"test_{name.removesuffix('.txt')}", test)


for path in sorted(EXCHANGES_FOLDER.glob("*.txt")):
    if path.name != "words.txt":
        _add_test(path.name)

if __name__ == "__main__":
    unittest.main()
