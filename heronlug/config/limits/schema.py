"""Defines the ``[class.NAME]`` table with the ranges for every site; ``rules`` checks limits against a site."""

from typing import Annotated, Literal

from msgspec import UNSET, Meta, Struct, UnsetType

MAX_TIME_MS = 86_400_000.0  # a day, the longest time of a limit
MAX_ATTEMPTS = 1000  # the cap of a site is lower

Span = Annotated[
    float, Meta(gt=0, le=MAX_TIME_MS, description="milliseconds, more than 0 and at most a day (86400000)")
]
Window = Annotated[float, Meta(ge=0, le=MAX_TIME_MS, description="milliseconds, 0 to a day (86400000)")]
Waits = Annotated[
    list[Annotated[float, Meta(ge=0, le=MAX_TIME_MS)]],
    Meta(max_length=MAX_ATTEMPTS, description="a list of milliseconds, each 0 to a day (86400000)"),
]


class ClassTable(Struct, forbid_unknown_fields=True):
    """The limits of a request class; an absent limit has the site's default."""

    attempts: Annotated[int, Meta(ge=1, le=MAX_ATTEMPTS, description="a whole number, 1 or more")] | UnsetType = UNSET
    attempt_timeout_ms: Span | UnsetType = UNSET
    after_timeout: Annotated[Literal["again", "end"], Meta(description='"again" or "end"')] | UnsetType = UNSET
    wait_ms: Waits | UnsetType = UNSET
    second_copy: Annotated[bool, Meta(description="true or false")] | UnsetType = UNSET
    second_copy_after_ms: Span | UnsetType = UNSET
    repeat_window_ms: Window | UnsetType = UNSET
    give_up_ms: Span | UnsetType = UNSET
