"""The checkers of a trial's rules, on observations made up by the test."""

from __future__ import annotations

from collections import deque
from types import SimpleNamespace
from typing import Any

import pytest

from lab.trial.checkers import check_drained_servers
from lab.trial.switch import HeldData
from lab.trial.world import ServerStateChange
from standins.server import ReceivedRequest

DRAINED_AT_S = 10.0
SEEN_AT_S = 11.0
REQUEST = b"POST / HTTP/1.1\r\nrequest-id: r-1\r\n\r\n"


def observed_world(*held_data: HeldData) -> Any:
    """Return a world in which a drained server has received the request r-1 from n0 too late."""
    request = ReceivedRequest("r-1", "", "/", SEEN_AT_S, "127.2.128.1")
    return SimpleNamespace(
        nodes={"n0": None},
        servers={"s-1": SimpleNamespace(received_requests=deque([request]))},
        state_changes=[ServerStateChange("s-1", "leaving", DRAINED_AT_S)],
        switch=SimpleNamespace(
            endpoints={"n0": SimpleNamespace(switch_address=("127.2.128.1", 7946))},
            cut_changes=[],
            held_data=list(held_data),
        ),
        max_timer_delay_s=0.0,
    )


def held(received_at_s: float, **changes: Any) -> HeldData:
    """Return the request's data as the switch forwarded it 10 ms before the server received it."""
    values: dict[str, Any] = {
        "link": ("n0", "s-1"),
        "data": REQUEST,
        "forwarded_at_s": SEEN_AT_S - 0.01,
    }
    return HeldData(**(values | {"received_at_s": received_at_s} | changes))


def test_a_request_that_a_cut_link_held_counts_from_when_it_left_its_node() -> None:
    assert list(check_drained_servers(observed_world(held(DRAINED_AT_S - 0.6)))) == []


@pytest.mark.parametrize(
    "held_data",
    [
        (),
        (held(DRAINED_AT_S + 0.6),),
        (held(DRAINED_AT_S - 0.6, link=("n1", "s-1")),),
        (held(DRAINED_AT_S - 0.6, link=("s-1", "n0")),),
        (held(DRAINED_AT_S - 0.6, data=REQUEST.replace(b"r-1", b"r-11")),),
        (held(DRAINED_AT_S - 0.6, forwarded_at_s=SEEN_AT_S - 0.2),),
        (held(DRAINED_AT_S - 0.6, forwarded_at_s=SEEN_AT_S + 0.01),),
    ],
)
def test_a_late_request_to_a_draining_server_breaks_rule_3(held_data: tuple[HeldData, ...]) -> None:
    (violation,) = check_drained_servers(observed_world(*held_data))
    assert violation == "rule 3: r-1 by n0 reached s-1 1.00 s after its drain"
