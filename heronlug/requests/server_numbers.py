"""Numbers of servers by their names: the same at every dispatcher, since peers tell each other of servers by them."""

from zlib import crc32

NUMBER_MASK = 0xFFFFFFFF


class ServerNumbers:
    """The numbers that are in use; each call costs the same however many there are."""

    __slots__ = ("_by_name", "_used_numbers")

    def __init__(self) -> None:
        self._by_name: dict[str, int] = {}
        self._used_numbers: set[int] = set()

    def __len__(self) -> int:
        return len(self._by_name)

    def number_of(self, name: str) -> int:
        """The number of a name, the next free one where another name has it already."""
        number = self._by_name.get(name)
        if number is None:
            number = crc32(name.encode())
            while number in self._used_numbers:
                number = (number + 1) & NUMBER_MASK
            self._by_name[name] = number
            self._used_numbers.add(number)
        return number

    def forget(self, name: str) -> None:
        """Nothing refers to that name any more."""
        number = self._by_name.pop(name, None)
        if number is not None:
            self._used_numbers.discard(number)
