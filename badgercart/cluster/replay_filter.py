"""Takes each packet once, whatever the network repeats or reorders (RFC 4303, 3.4.3). No I/O."""

from __future__ import annotations

from badgercart.cluster.membership_table import MAX_MEMBERS

WINDOW_SIZE = 64  # serials behind the highest that may still come
MAX_REPLAY_WINDOWS = 2 * MAX_MEMBERS  # processes whose serials are remembered


class ReplayWindow:
    """Which serials of one process were accepted."""

    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest = -1
        self.seen = 0  # a bit for each of the last serials

    def accept(self, serial: int) -> bool:
        """Return whether a serial is new, and remember it. One that is too old counts as seen."""
        if serial > self.highest:
            shift = min(serial - self.highest, WINDOW_SIZE)
            self.seen = (self.seen << shift | 1) & (1 << WINDOW_SIZE) - 1
            self.highest = serial
            return True
        age = self.highest - serial
        bit = 1 << age if age < WINDOW_SIZE else 0
        if not bit or self.seen & bit:
            return False
        self.seen |= bit
        return True


class ReplayFilter:
    """The windows of all processes that were heard; the one that was added first makes room."""

    __slots__ = ("_windows",)

    def __init__(self) -> None:
        self._windows: dict[tuple[str, int], ReplayWindow] = {}

    def __len__(self) -> int:
        return len(self._windows)

    def accept(self, sender: str, generation: int, serial: int) -> bool:
        """Return whether a packet of that process and serial is new, and remember it."""
        window = self._windows.get((sender, generation))
        if window is None:
            if len(self._windows) >= MAX_REPLAY_WINDOWS:
                del self._windows[next(iter(self._windows))]
            window = self._windows[sender, generation] = ReplayWindow()
        return window.accept(serial)
