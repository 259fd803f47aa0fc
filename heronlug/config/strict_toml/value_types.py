"""Defines types of values that several operators' files share."""

from typing import Annotated

from msgspec import Meta

Text = Annotated[str, Meta(min_length=1, max_length=64, description="a string of 1 to 64 characters")]
Share = Annotated[float, Meta(ge=0, le=1, description="a share, 0 to 1")]
