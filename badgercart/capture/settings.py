"""The settings of the capture."""

from __future__ import annotations

from pydantic import Field

from badgercart.app.model import Name, Table


class CaptureSettings(Table, title="CaptureSettings"):
    """a capture of all that the policy is told, in a ring of segments"""

    folder: Name = Field(description="where the segments are written; it must be there")
    segment_bytes: int = Field(
        1 << 19,
        ge=1 << 16,
        le=1 << 30,
        description="the size of a segment (bytes); then a new one begins, which holds the policy's state",
    )
    keep_bytes: int = Field(
        512 << 20,
        ge=1 << 17,
        le=1 << 40,
        description="what all may hold (bytes); the oldest go first",
    )
    keep_s: float = Field(
        3600.0, ge=1, le=30 * 86400, description="the age at which a segment goes (s)"
    )
    buffer_bytes: int = Field(
        4 << 20,
        ge=1 << 12,
        le=1 << 28,
        description="what may wait for a slow disk (bytes); more is a gap",
    )
