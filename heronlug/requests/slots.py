"""Stores items in numbered slots that are addressed by handles.

A handle combines the number of a slot, in the low bits, with the use count of the slot.  A handle of a removed item
therefore finds nothing, even if the slot contains another item.
"""

from collections.abc import Iterator
from typing import Generic, TypeVar

Item = TypeVar("Item")

SLOT_BITS = 20
SLOT_MASK = (1 << SLOT_BITS) - 1


class SlotTable(Generic[Item]):
    """Stores items by handle; slots are reused, handles are not."""

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
        """Stores an item in a free slot and returns its handle.

        Raises:
            OverflowError: All ``2**SLOT_BITS`` slots are in use.
        """
        if self._free:
            slot = self._free.pop()
            self._items[slot] = item
        else:
            slot = len(self._items)
            if slot > SLOT_MASK:
                msg = f"slot table is full: at most {SLOT_MASK + 1} items are accepted"
                raise OverflowError(msg)
            self._items.append(item)
            self._use_counts.append(0)
        self._use_counts[slot] += 1
        return self._use_counts[slot] << SLOT_BITS | slot

    def get(self, handle: int) -> Item | None:
        """Returns the item of a handle; None if the item has been removed."""
        slot = handle & SLOT_MASK
        if slot < len(self._items) and self._use_counts[slot] == handle >> SLOT_BITS:
            return self._items[slot]
        return None

    def remove(self, handle: int) -> Item | None:
        """Removes and returns the item of a handle; None if the item has been removed already."""
        item = self.get(handle)
        if item is not None:
            slot = handle & SLOT_MASK
            self._items[slot] = None
            self._free.append(slot)
        return item
