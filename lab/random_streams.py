"""Independent random streams, each identified by a seed and names.

Each part of a simulation draws from a stream of its own, so that draws of one part don't change
those of another. numpy is used because `SeedSequence` spawns streams that are independent by
design, and because a block of draws costs a fraction of as many single ones. PCG64 gives the same
numbers on any machine.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable

import numpy as np
from numpy.typing import NDArray

from lab.settings import Distribution

BLOCK_DRAWS = 4096  # drawn from a generator at once
MIN_JITTER_FACTOR = 0.5

FloatArray = NDArray[np.float64]


def generator(seed: int, *names: str | int) -> np.random.Generator:
    """Return the generator that belongs to these names and this seed."""
    key = [zlib.crc32(str(name).encode()) for name in names]
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=key)))


def draw_samples(
    rng: np.random.Generator, dist: Distribution, mean: float, cv: float, count: int
) -> FloatArray:
    """Draw samples of a distribution with a mean and a coefficient of variation (`cv`).

    The cv is the standard deviation divided by the mean. It is ignored for the constant and
    exponential distributions, which have 0 and 1. The uniform one has at most 1/sqrt(3), where its
    range starts at 0. The Pareto one is of type II (Lomax) and needs a cv above 1 (Johnson, Kotz,
    Balakrishnan, Continuous Univariate Distributions 1, chapter 20).
    """
    if dist == "constant":
        return np.full(count, mean)
    if dist == "uniform":
        half = mean * min(cv * math.sqrt(3.0), 1.0)
        return rng.uniform(mean - half, mean + half, count)
    if dist == "exponential":
        return rng.exponential(mean, count)
    if dist == "gamma":
        return rng.gamma(1 / cv**2, mean * cv**2, count)
    if dist == "pareto":
        shape = 2 * cv**2 / (cv**2 - 1)
        return mean * (shape - 1) * rng.pareto(shape, count)
    variance = math.log1p(cv**2)
    return rng.lognormal(math.log(mean) - variance / 2, math.sqrt(variance), count)


class RandomStream:
    """Returns single draws from blocks that it draws at once."""

    __slots__ = ("block", "draw_block", "position")

    def __init__(self, draw_block: Callable[[int], FloatArray]) -> None:
        self.draw_block = draw_block
        self.block: list[float] = []
        self.position = 0

    def __call__(self) -> float:
        """Return the next draw."""
        if self.position >= len(self.block):
            self.block, self.position = self.draw_block(BLOCK_DRAWS).tolist(), 0
        self.position += 1
        return self.block[self.position - 1]


def uniform_stream(rng: np.random.Generator) -> RandomStream:
    """Return a stream of draws between 0 and 1."""
    return RandomStream(rng.random)


def jitter_stream(rng: np.random.Generator, cv: float) -> RandomStream:
    """Return a stream of lognormal factors of mean 1, none below `MIN_JITTER_FACTOR`."""
    if not cv:
        return RandomStream(np.ones)
    return RandomStream(
        lambda count: np.maximum(MIN_JITTER_FACTOR, draw_samples(rng, "lognormal", 1.0, cv, count))
    )
