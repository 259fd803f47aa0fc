"""Derives the numbers of servers from their names.

The numbers are the same at every dispatcher, because peers identify servers by number in their messages.
"""

from zlib import crc32

NUMBER_MASK = 0xFFFFFFFF


class ServerNumbers:
    """Maps the names of servers to numbers; each call takes constant time."""

    __slots__ = ("_by_name", "_used_numbers")

    def __init__(self) -> None:
        self._by_name: dict[str, int] = {}
        self._used_numbers: set[int] = set()

    def __len__(self) -> int:
        return len(self._by_name)

    def number_of(self, name: str) -> int:
        """Returns the number of a name: its CRC-32, or the next free number if another name uses that number."""
        number = self._by_name.get(name)
        if number is None:
            number = crc32(name.encode())
            while number in self._used_numbers:
                number = (number + 1) & NUMBER_MASK
            self._by_name[name] = number
            self._used_numbers.add(number)
        return number

    def forget(self, name: str) -> None:
        """Frees the number of a name that is no longer in use."""
        number = self._by_name.pop(name, None)
        if number is not None:
            self._used_numbers.discard(number)
