"""Random events lead to the same actions as recorded when the policy was still one class.

They include the events that the simulator's protocol does not have: incomplete requests, streamed
responses, deferred decisions, fallbacks, a cluster view and traffic plans.
"""

from __future__ import annotations

import hashlib
import random
from pathlib import Path

import pytest

from badgercart.capture.codec import encode_actions
from badgercart.policy.policy import Policy
from tests.capture.golden_parts import SETTINGS, RandomEventDriver

DIGESTS = (Path(__file__).parent / "golden" / "days.txt").read_text().splitlines()
EVENT_COUNT = 800


def digest(seed: int) -> str:
    """Return a digest of all actions, and of the final state of the random generator."""
    driver, decided = RandomEventDriver(), hashlib.sha256()
    driver.random, driver.policy = random.Random(seed), Policy(SETTINGS, seed)
    for event in driver.beginning():
        decided.update(encode_actions(driver.decide(event)))
    for _ in range(EVENT_COUNT):
        decided.update(encode_actions(driver.decide(driver.next())))
    decided.update(repr(driver.policy.random.getstate()).encode())
    return decided.hexdigest()


@pytest.mark.parametrize("seed", range(1, len(DIGESTS) + 1))
def test_decisions_are_the_same_as_recorded(seed: int) -> None:
    assert digest(seed) == DIGESTS[seed - 1]
