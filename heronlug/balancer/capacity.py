"""Estimate of the slots of a server, learned for all servers of a kind from reports, or from starts and waits."""

START_STEP = 1 / 8
"""How far a start or a wait moves the estimate: the counts that peers report are a little old."""

REPORT_STEP = 1 / 16
"""How far one report of free slots moves the estimate."""


class CapacityEstimate:
    """Slots of each server of one kind.

    Attributes:
        slots: the estimate.
        peak_slots: the most slots that were reported free at once.
        reported_slots: running mean of the slots that report after report bears out.
    """

    __slots__ = ("peak_slots", "reported_slots", "slots")

    def __init__(self, slots: float = 1.0) -> None:
        self.peak_slots = 1.0
        self.reported_slots = 1.0
        self.slots = slots

    def record_free_slots(self, free_slots: float) -> None:
        """Learn from a report: a server that is never idle never shows all, but the attempt that ended had one too."""
        self.peak_slots = max(self.peak_slots, round(free_slots))
        if round(free_slots) > 0:
            step = REPORT_STEP * (free_slots + 1 - self.reported_slots)
            self.reported_slots = min(free_slots + 1, self.reported_slots + step)
        self.slots = float(max(self.peak_slots, round(self.reported_slots)))

    def record_start(self, busy_slots: float) -> None:
        """Learn from an attempt that started: with it, so many slots are in use."""
        self.slots += START_STEP * max(0.0, busy_slots - self.slots)

    def record_wait(self, busy_slots: float) -> None:
        """Learn from an attempt that has not started beside so many slots in use.

        With fewer than half of the slots in use the server is unresponsive, which says nothing of its slots.
        """
        if busy_slots >= self.slots / 2:
            self.slots -= START_STEP * max(0.0, self.slots - busy_slots)
