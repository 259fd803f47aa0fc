"""Logs who holds the memory of the process whenever the pressure changes, and when the limit of the process is near."""

from heronlug.memory.account import MemoryAccount, Pressure
from heronlug.memory.allocator import trim
from heronlug.memory.limits import MB
from heronlug.memory.process_memory import peak_resident_bytes, resident_bytes
from heronlug.requests.deadlines import Deadlines
from heronlug.requests.interfaces import EventLog

CHECK_INTERVAL_MS = 500.0
"""Interval between two checks of the resident memory, in ms."""
NEAR_LIMIT_SHARE = 0.85
"""Share of the memory limit from which the resident memory counts as near the limit."""
LOG_STEP_SHARE = 0.05
"""Growth of the resident memory after which it is logged again, as a share of the limit."""
TRIM_EXCESS_BYTES = 2 * 1024 * 1024
"""Resident memory beyond the program and what is accounted for, from which free memory is given back, in bytes."""
TRIM_INTERVAL_MS = 2000.0
"""Minimum interval between two times at which free memory is given back, in ms."""


class MemoryMonitor:
    """Watches the memory of the process."""

    def __init__(self, account: MemoryAccount, limit_mb: float, deadlines: Deadlines, log: EventLog) -> None:
        """Creates a monitor that does not check the resident memory yet; ``limit_mb`` is the limit of the process."""
        self._account = account
        self._limit_bytes = limit_mb * MB
        self._deadlines = deadlines
        self._log = log
        self._log_at_bytes = NEAR_LIMIT_SHARE * self._limit_bytes
        self._program_bytes = 0
        self._trimmed_at = 0.0
        account.on_pressure = self._log_pressure

    def start(self) -> None:
        """Starts to check the resident memory, which is that of the program now."""
        self._program_bytes = resident_bytes()
        self._check()

    def _check(self) -> None:
        resident = resident_bytes()
        if resident >= self._log_at_bytes:
            self._log("memory_near_limit", limit_mb=round(self._limit_bytes / MB, 1), **self._fields(resident))
            self._log_at_bytes = resident + LOG_STEP_SHARE * self._limit_bytes
        elif resident < (NEAR_LIMIT_SHARE - LOG_STEP_SHARE) * self._limit_bytes:
            self._log_at_bytes = NEAR_LIMIT_SHARE * self._limit_bytes
        self._trim(resident)
        self._deadlines.call_after(CHECK_INTERVAL_MS, self._check)

    def _trim(self, resident: int) -> None:
        """Gives free memory back after it was needed, which the C library alone does only at the end of the heap."""
        now = self._deadlines.clock()
        excess = resident - self._program_bytes - self._account.used
        if excess >= TRIM_EXCESS_BYTES and now - self._trimmed_at >= TRIM_INTERVAL_MS:
            self._trimmed_at = now
            trim()

    def _log_pressure(self, before: Pressure) -> None:
        self._log(
            "memory_pressure",
            state=self._account.pressure.value,
            before=before.value,
            limit=self._account.limit,
            **self._fields(resident_bytes()),
        )

    def _fields(self, resident: int) -> dict[str, object]:
        account = self._account
        return {
            "resident_mb": round(resident / MB, 1),
            "peak_mb": round(peak_resident_bytes() / MB, 1),
            "used": account.used,
            "by_holder": {holder.value: size for holder, size in account.by_holder.items() if size},
            "refused": sum(account.refusals.values()),
        }
