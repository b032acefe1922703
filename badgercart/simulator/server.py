"""Hosts one Policy for each instance on the simulator's wire. It decides nothing."""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from badgercart.policy.policy import Policy
from badgercart.simulator.codec import BATCH_HEAD, Born, Decoder, Encoder, Killed, WireError


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    decoder = Decoder()
    nodes: dict[int, Policy] = {}
    while head := source.read(BATCH_HEAD.size):
        if len(head) < BATCH_HEAD.size:
            raise WireError(
                f"batch header: the input ends after {len(head)} of {BATCH_HEAD.size} bytes"
            )
        number, length, _, _ = BATCH_HEAD.unpack(head)
        if length < BATCH_HEAD.size:
            raise WireError(f"batch {number}: a length of {length} is shorter than its header")
        body = source.read(length - BATCH_HEAD.size)
        if len(body) < length - BATCH_HEAD.size:
            raise WireError(f"batch {number}: the input ends inside a frame of {length} bytes")
        number, now, events = decoder.batch(head + body)
        reply = Encoder(number)
        for instance, event in events:
            kind = type(event)
            if kind is Killed:
                nodes.pop(instance, None)
                continue
            if kind is not Born and instance not in nodes:
                raise WireError(f"batch {number}: instance {instance} was never started")
            try:
                if isinstance(event, Born):
                    nodes[instance] = Policy(event.settings, event.seed)
                else:
                    reply.add(instance, nodes[instance].handle(now, event))  # type: ignore[arg-type]
            except Exception as error:  # whatever it was, the simulator must hear of it
                traceback.print_exc()
                reply.fatal(instance, f"{type(error).__name__}: {error}")
                break
        sink.write(reply.frame())
        sink.flush()


def main() -> int:
    gc.freeze()
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"badgercart.simulator: {error}", file=sys.stderr)
        return 2
    return 0
