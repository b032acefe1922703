"""What can be wrong in this package. All of these are faults of the program, not of an endpoint."""

from __future__ import annotations


class UpstreamError(RuntimeError):
    """The base of the package's errors."""


class IllegalResultError(UpstreamError):
    """An attempt is said to have ended in a way that its phase rules out."""

    def __init__(self, phase: str, result: str) -> None:
        """Keep the names of the phase and of the result."""
        super().__init__(f"an attempt that is {phase} can't end as {result}")
        self.phase = phase
        self.result = result


class IllegalTransitionError(UpstreamError):
    """An exchange is asked for a step that its state rules out."""

    def __init__(self, state: str, wanted: str) -> None:
        """Keep the names of the present and of the wanted state."""
        super().__init__(f"a server's connection can't go from {state} to {wanted}")
        self.state = state
        self.wanted = wanted
