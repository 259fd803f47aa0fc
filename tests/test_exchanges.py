"""Every recorded exchange in ``tests/exchanges`` against the program."""

import json
import re
import unittest

from exchange import FOLDER, ExchangePlayer

WORDS = (FOLDER / "words.txt").read_text()


class Exchanges(unittest.TestCase):
    """One test for each file."""

    def play(self, name: str) -> None:
        text = (FOLDER / name).read_text()
        given = re.findall(r"^# (limits|hosts|sockets|state|inherited|partner|taken) (.*)$", text, re.M)
        options = {key: json.loads(value) for key, value in given}
        player = ExchangePlayer(**options)
        try:
            for line in WORDS.splitlines():
                player.step(line)
            player.play(text)
            assert '"exception"' not in player.logged()
            assert (player.program.poll() or 0) == 0
        finally:
            player.close()


def _test(name: str) -> None:
    def test(self: Exchanges) -> None:
        self.play(name)

    setattr(Exchanges, f"test_{name.removesuffix('.txt')}", test)


for path in sorted(FOLDER.glob("*.txt")):
    if path.name != "words.txt":
        _test(path.name)

if __name__ == "__main__":
    unittest.main()
