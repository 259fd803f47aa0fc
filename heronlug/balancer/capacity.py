"""Estimates the slots per server of one kind from load reports, or from starts and overdue starts of attempts."""

START_STEP = 1 / 8
"""Step size for a start or an overdue start; below 1, as the counts that peers report are slightly outdated."""

REPORT_STEP = 1 / 16
"""Step size for one report of free slots."""


class CapacityEstimate:
    """Estimated number of slots of each server of one kind.

    Attributes:
        slots: the estimate.
        peak_slots: the largest number of slots reported free at once.
        reported_slots: running mean of the reported free slots plus the slot of the attempt that ended; a report below
            the mean lowers it at once.
    """

    __slots__ = ("peak_slots", "reported_slots", "slots")

    def __init__(self, slots: float = 1.0) -> None:
        self.peak_slots = 1.0
        self.reported_slots = 1.0
        self.slots = slots

    def record_free_slots(self, free_slots: float) -> None:
        """Updates the estimate from a load report.

        A server that is never idle never reports all its slots as free, so the slot of the attempt that has just ended
        is added to the reported number.
        """
        self.peak_slots = max(self.peak_slots, round(free_slots))
        if round(free_slots) > 0:
            step = REPORT_STEP * (free_slots + 1 - self.reported_slots)
            self.reported_slots = min(free_slots + 1, self.reported_slots + step)
        self.slots = float(max(self.peak_slots, round(self.reported_slots)))

    def record_start(self, busy_slots: float) -> None:
        """Raises the estimate towards the slots in use, which include the attempt that has started."""
        self.slots += START_STEP * max(0.0, busy_slots - self.slots)

    def record_wait(self, busy_slots: float) -> None:
        """Lowers the estimate towards the slots in use while the start of another attempt is overdue.

        With fewer than half of the slots in use the server is unresponsive, which indicates nothing about its slots.
        """
        if busy_slots >= self.slots / 2:
            self.slots -= START_STEP * max(0.0, self.slots - busy_slots)
