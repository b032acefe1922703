"""The operator's settings of the persisted statistics."""

from __future__ import annotations

from pydantic import Field

from badgercart.app.model import Name, Table


class LearningSettings(Table, title="LearningSettings"):
    """what was learned of servers and classes, kept in a folder that lasts"""  # noqa: D400

    folder: Name = Field(description="where it is kept; each node needs one of its own")
    every_s: float = Field(10.0, ge=0.5, le=3600, description="the time between two saves (s)")
    keys: bool = Field(True, description="whether counts of requests by key are kept, too")
    most_bytes: int = Field(
        8 << 20,
        ge=1 << 12,
        le=64 << 20,
        description="the size of the file; a larger one is not written (bytes)",
    )
    oldest_s: float = Field(
        86400.0,
        ge=1,
        le=30 * 86400,
        description="the age beyond which a file is not used at all (s)",
    )
