"""Tables of numbered slots.

A ticket is a slot's number with the count of its uses above it, so that a ticket kept too long finds nothing
instead of whatever has moved into the slot since.
"""

from collections.abc import Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")

SLOT_BITS = 20
SLOT_MASK = (1 << SLOT_BITS) - 1


class SlotTable(Generic[Item]):
    """Items by ticket; slots are used again, tickets never."""

    __slots__ = ("_free", "_items", "_use_counts")

    def __init__(self) -> None:
        self._items: list[Item | None] = []
        self._use_counts: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._items) - len(self._free)

    def __iter__(self) -> Iterator[Item]:
        return iter([item for item in self._items if item is not None])

    def add(self, item: Item) -> int:
        """Put an item into a free slot; returns its ticket."""
        if self._free:
            slot = self._free.pop()
            self._items[slot] = item
        else:
            slot = len(self._items)
            if slot > SLOT_MASK:
                msg = "the table of slots is full"
                raise OverflowError(msg)
            self._items.append(item)
            self._use_counts.append(0)
        self._use_counts[slot] += 1
        return self._use_counts[slot] << SLOT_BITS | slot

    def get(self, handle: int) -> Item | None:
        """The item of a ticket, or None once it has been taken out."""
        slot = handle & SLOT_MASK
        if slot < len(self._items) and self._use_counts[slot] == handle >> SLOT_BITS:
            return self._items[slot]
        return None

    def remove(self, handle: int) -> Item | None:
        """Take an item out, if it is still there."""
        item = self.get(handle)
        if item is not None:
            slot = handle & SLOT_MASK
            self._items[slot] = None
            self._free.append(slot)
        return item
