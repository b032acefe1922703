"""Replay protection with a sliding window of serials (RFC 4303, section 3.4.3). No I/O."""

from __future__ import annotations

from badgercart.cluster.membership_table import MAX_MEMBERS

# Serials up to the highest received one that are tracked; older ones are rejected.
WINDOW_SIZE_SERIALS = 64
# Processes whose serials are tracked.
MAX_REPLAY_WINDOWS = 2 * MAX_MEMBERS


class ReplayWindow:
    """The serials that were accepted from one process.

    Attributes:
        highest: the highest accepted serial.
        seen: a bit mask of the latest serials; the lowest bit is the highest serial.
    """

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest = -1
        self.seen = 0

    def accept(self, serial: int) -> bool:
        """Return whether a serial is new, and record it. One that is too old counts as seen."""
        if serial > self.highest:
            shift = min(serial - self.highest, WINDOW_SIZE_SERIALS)
            self.seen = (self.seen << shift | 1) & (1 << WINDOW_SIZE_SERIALS) - 1
            self.highest = serial
            return True
        age = self.highest - serial
        bit = 1 << age if age < WINDOW_SIZE_SERIALS else 0
        if not bit or self.seen & bit:
            return False
        self.seen |= bit
        return True


class ReplayFilter:
    """The replay windows of all known processes; the oldest one is dropped when it is full."""

    __slots__ = ("_windows",)

    def __init__(self) -> None:
        self._windows: dict[tuple[str, int], ReplayWindow] = {}

    def __len__(self) -> int:
        return len(self._windows)

    def accept(self, sender: str, generation: int, serial: int) -> bool:
        """Return whether a packet of this process and serial is new, and record it."""
        window = self._windows.get((sender, generation))
        if window is None:
            if len(self._windows) >= MAX_REPLAY_WINDOWS:
                del self._windows[next(iter(self._windows))]
            window = self._windows[sender, generation] = ReplayWindow()
        return window.accept(serial)
