"""Days of random events are decided as the policy decided them when it was one class.

The events that the simulator's protocol does not have are among them: incomplete requests, streamed answers,
deferred decisions, fallbacks, a cluster view and traffic plans.
"""

from __future__ import annotations

import hashlib
import random
from pathlib import Path

import pytest

from badgercart.capture.codec import encode_actions
from badgercart.policy.policy import Policy
from tests.capture.golden_parts import SETTINGS, Night

DAYS = (Path(__file__).parent / "golden" / "days.txt").read_text().splitlines()
EVENTS = 800


def digest(seed: int) -> str:
    """All actions of a day, and the state of the dice at its end."""
    night, decided = Night(), hashlib.sha256()
    night.random, night.policy = random.Random(seed), Policy(SETTINGS, seed)
    for event in night.beginning():
        decided.update(encode_actions(night.decide(event)))
    for _ in range(EVENTS):
        decided.update(encode_actions(night.decide(night.next())))
    decided.update(repr(night.policy.random.getstate()).encode())
    return decided.hexdigest()


@pytest.mark.parametrize("seed", range(1, len(DAYS) + 1))
def test_a_day_is_decided_as_before(seed: int) -> None:
    assert digest(seed) == DAYS[seed - 1]
