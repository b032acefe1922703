"""Types of settings that several components have, with bounds and descriptions for operators."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from badgercart.app.model import MAX_DURATION_MS, Name

# How old an endpoint list may be.
DoubtfulAfterMs = Annotated[
    float,
    Field(ge=10, le=MAX_DURATION_MS, description="the age from which on the log says so (ms)"),
]
StaleAfterMs = Annotated[
    float,
    Field(ge=10, le=MAX_DURATION_MS, description="the age from which on the list is stale (ms)"),
]
WhenStale = Annotated[Literal["refuse", "go-on"], Field(description="what happens then")]

# By what the members of a group know each other.
GroupSecret = Annotated[
    Name,
    Field(
        min_length=16,
        max_length=256,
        description="the group's secret, by which its messages are known",
    ),
]
