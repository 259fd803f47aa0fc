"""The form of a ``[class.NAME]`` table.  Ranges that hold for every site are here, what depends on one in ``rules``."""

from typing import Annotated, Literal

from msgspec import UNSET, Meta, Struct, UnsetType

MAX_TIME_MS = 86_400_000.0  # ms; no limit may be longer
MAX_ATTEMPTS = 1000  # attempts; the site's own cap is lower

Span = Annotated[
    float, Meta(gt=0, le=MAX_TIME_MS, description="milliseconds, more than 0 and at most a day (86400000)")
]
Window = Annotated[float, Meta(ge=0, le=MAX_TIME_MS, description="milliseconds, 0 to a day (86400000)")]
Waits = Annotated[
    list[Annotated[float, Meta(ge=0, le=MAX_TIME_MS)]],
    Meta(max_length=MAX_ATTEMPTS, description="a list of milliseconds, each 0 to a day (86400000)"),
]


class ClassTable(Struct, forbid_unknown_fields=True):
    """One class's limits; what is absent stays as the site has it."""

    attempts: Annotated[int, Meta(ge=1, le=MAX_ATTEMPTS, description="a whole number from 1 on")] | UnsetType = UNSET
    attempt_timeout_ms: Span | UnsetType = UNSET
    after_timeout: Annotated[Literal["again", "end"], Meta(description='"again" or "end"')] | UnsetType = UNSET
    wait_ms: Waits | UnsetType = UNSET
    second_copy: Annotated[bool, Meta(description="true or false")] | UnsetType = UNSET
    second_copy_after_ms: Span | UnsetType = UNSET
    repeat_window_ms: Window | UnsetType = UNSET
    give_up_ms: Span | UnsetType = UNSET
