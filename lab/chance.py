"""Chance by named streams of one seed: numpy's generators, spawned, so that no part's draws move
another's.

Why numpy: `SeedSequence.spawn` gives streams that are independent by design, and blocks of draws
cost a fraction of single ones. PCG64 gives the same numbers on any machine.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable

import numpy as np
from numpy.typing import NDArray

from lab.settings import Distribution

BLOCK = 4096  # draws at once
Floats = NDArray[np.float64]


def generator(seed: int, *names: str | int) -> np.random.Generator:
    """A stream of its own for a name below a seed."""
    key = [zlib.crc32(str(name).encode()) for name in names]
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence(seed, spawn_key=key)))


def draw(
    rng: np.random.Generator, dist: Distribution, mean: float, cv: float, count: int
) -> Floats:
    """`count` draws of a law by its mean and its standard deviation over the mean (`cv`).

    Constant has none, uniform at most 1/sqrt(3) (its range ends at 0), exponential 1; pareto is the
    Lomax law and takes a cv over 1 (Johnson, Kotz, Balakrishnan, Continuous Univariate
    Distributions 1, chapter 20)."""
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
    spread = math.log1p(cv**2)
    return rng.lognormal(math.log(mean) - spread / 2, math.sqrt(spread), count)


class Stream:
    """Draws one at a time from blocks."""

    __slots__ = ("at", "block", "fill")

    def __init__(self, fill: Callable[[int], Floats]) -> None:
        self.fill = fill
        self.block: list[float] = []
        self.at = 0

    def __call__(self) -> float:
        if self.at >= len(self.block):
            self.block, self.at = self.fill(BLOCK).tolist(), 0
        self.at += 1
        return self.block[self.at - 1]


def uniform(rng: np.random.Generator) -> Stream:
    return Stream(rng.random)


def jitter(rng: np.random.Generator, cv: float) -> Stream:
    """Factors of mean 1, never under a half."""
    if not cv:
        return Stream(np.ones)
    return Stream(lambda count: np.maximum(0.5, draw(rng, "lognormal", 1.0, cv, count)))
