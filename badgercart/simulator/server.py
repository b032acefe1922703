"""Hosts one policy for each instance of the simulator's. It decides nothing."""

from __future__ import annotations

import traceback
from typing import BinaryIO

from badgercart.policy.policy import Policy
from badgercart.simulator.codec import (
    BATCH_HEADER,
    Decoder,
    Encoder,
    InstanceEvent,
    InstanceKilled,
    InstanceStarted,
)
from badgercart.simulator.errors import WireError


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises:
        WireError: The input can't be read.
    """
    decoder = Decoder()
    policies: dict[int, Policy] = {}
    while head := source.read(BATCH_HEADER.size):
        frame = _read_frame(source, head)
        number, now_ms, events = decoder.batch(frame)
        sink.write(_answer(policies, number, now_ms, events))
        sink.flush()


def _read_frame(source: BinaryIO, head: bytes) -> bytes:
    if len(head) < BATCH_HEADER.size:
        raise WireError(
            f"batch header: the input ends after {len(head)} of {BATCH_HEADER.size} bytes"
        )
    number, length, _, _ = BATCH_HEADER.unpack(head)
    if length < BATCH_HEADER.size:
        raise WireError(f"a length of {length} is shorter than its header", number)
    body = source.read(length - BATCH_HEADER.size)
    if len(body) < length - BATCH_HEADER.size:
        raise WireError(f"the input ends inside a frame of {length} bytes", number)
    return head + body


def _answer(
    policies: dict[int, Policy], number: int, now_ms: float, events: list[tuple[int, InstanceEvent]]
) -> bytes:
    """Have each instance decide, and return the reply to a batch."""
    reply = Encoder(number)
    for instance, event in events:
        if isinstance(event, InstanceKilled):
            policies.pop(instance, None)
            continue
        if not isinstance(event, InstanceStarted) and instance not in policies:
            raise WireError(f"instance {instance} was never started", number)
        try:
            if isinstance(event, InstanceStarted):
                policies[instance] = Policy(event.settings, event.seed)
            else:
                reply.add(instance, policies[instance].handle(now_ms, event))
        except Exception as error:  # whatever it was, the simulator must hear of it
            traceback.print_exc()
            reply.fatal(instance, f"{type(error).__name__}: {error}")
            break
    return reply.frame()
