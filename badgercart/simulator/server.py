"""Runs one policy for each instance of the simulator, and passes on events and actions."""

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
    """Reply to batches until the input ends.

    Raises:
        WireError: The input is malformed.
    """
    decoder = Decoder()
    policies: dict[int, Policy] = {}
    while header := source.read(BATCH_HEADER.size):
        frame = _read_frame(source, header)
        number, now_ms, events = decoder.batch(frame)
        sink.write(_reply(policies, number, now_ms, events))
        sink.flush()


def _read_frame(source: BinaryIO, header: bytes) -> bytes:
    if len(header) < BATCH_HEADER.size:
        raise WireError(
            f"batch header: the input ends after {len(header)} of {BATCH_HEADER.size} bytes"
        )
    number, length, _, _ = BATCH_HEADER.unpack(header)
    if length < BATCH_HEADER.size:
        raise WireError(f"a length of {length} is shorter than its header", number)
    body = source.read(length - BATCH_HEADER.size)
    if len(body) < length - BATCH_HEADER.size:
        raise WireError(f"the input ends inside a frame of {length} bytes", number)
    return header + body


def _reply(
    policies: dict[int, Policy], number: int, now_ms: float, events: list[tuple[int, InstanceEvent]]
) -> bytes:
    """Pass each event to the policy of its instance, and return the reply to the batch."""
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
        except Exception as error:  # the simulator has to be notified of any error
            traceback.print_exc()
            reply.fatal(instance, f"{type(error).__name__}: {error}")
            break
    return reply.frame()
