"""The codec, with the example frames of the protocol's description and malformed frames."""

from __future__ import annotations

import json
import struct

import pytest

from badgercart.policy.actions import (
    CancelAttempt,
    Fail,
    HealthCheck,
    Log,
    Send,
    SetTimer,
    Shed,
    Subscribe,
)
from badgercart.policy.endpoint import EndpointState
from badgercart.policy.events import (
    AttemptEnded,
    EndpointUpdate,
    Request,
    RequestCancelled,
    TimerFired,
    UpdateKind,
)
from badgercart.policy.settings import Idempotency
from badgercart.simulator.codec import Decoder, Encoder, InstanceKilled, InstanceStarted
from badgercart.simulator.errors import WireError
from badgercart.simulator.settings_reader import read_settings

EVENTS_FRAME = bytes.fromhex(
    "0000000c 00000104 40c06e2000000000 00000005"
    + "0c0003" + "00" * 45
    + "03 000464905d3a91c4 0000 00000000 91f03b7c55d20a64 40c0e62000000000 4028000000000000 0001"
    + "00" * 7
    + "07 000000000000004d" + "00" * 39
    + "0c0005" + "00" * 45
    + "06 000aa5520e6f2b19" + "00" * 39
)  # fmt: skip
REPLY_FRAME = bytes.fromhex(
    "0000000c 00000095 00000005"
    + "010003" + "00" * 21
    + "08 000464905d3a91c4 03124a07 4054000000000000" + "00" * 3
    + "07 407f400000000000 000000000000004d" + "00" * 7
    + "010005" + "00" * 21
    + "0a 00000000 00000011" + "00" * 15
) + b"two servers known"  # fmt: skip
LIST_FRAME = bytes.fromhex(
    "00000001 000000d0 40c0e62000000000 00000003"
    + "0c0003" + "00" * 45
    + "0b 00000000 00000000 00000002" + "00" * 35
    + "02 02 00000029 00000000" + "00" * 38
    + "03124a07 00 0000 0000 00 3f800000 0000000000000000"
    + "2c9011f2 01 0000 0000 00 3fc00000 40b7d40000000000"
)  # fmt: skip
SETTINGS = {
    "Allowed": {
        "MaxAttempts": 3,
        "MaxRetryAfter": 2000.0,
        "RetryAfter": True,
        "SecondCopies": True,
    },
    "Classes": [
        {
            "Aim": 600.0,
            "Deadline": 1200.0,
            "Idempotency": "guarded",
            "Group": "cell",
            "Worth": 12.0,
            "SerialByKey": True,
        }
    ],
    "Customers": [{"Name": "a", "QuotaPerS": 5.0, "Portion": 1.0}],
    "Discovery": "ask",
    "Obligations": {
        "DrainGrace": 250.0,
        "ColdFrom": 0.1,
        "RampTime": 9.0,
        "TipMultiple": 2.5,
        "OverloadFor": 2.0,
        "ShedAfterStart": True,
        "KeyRest": 40.0,
    },
    "Tick": 5.0,
    "NewKey": {"passed": "over"},
}


def test_events_are_decoded_as_described() -> None:
    number, now_ms, events = Decoder().batch(EVENTS_FRAME)
    request_id = 0x000464905D3A91C4
    assert (number, now_ms) == (12, 8412.25)
    assert events == [
        (3, Request(request_id, 0, 8652.25, 0x91F03B7C55D20A64, 0, 12.0, False)),
        (3, TimerFired(77)),
        (5, RequestCancelled(0x000AA5520E6F2B19)),
    ]


def test_a_reply_is_encoded_as_described() -> None:
    reply = Encoder(12)
    reply.add(3, [Send(0x000464905D3A91C4, 0x03124A07, 80.0), SetTimer(500.0, 77)])
    reply.add(5, [Log("two servers known")])
    assert reply.frame() == REPLY_FRAME
    assert Encoder(1).frame() == bytes.fromhex("00000001 0000000c 00000000")


def test_other_actions_are_encoded_as_described() -> None:
    reply = Encoder(1)
    request_id = 0x000AA5520E6F2B19
    reply.add(
        3,
        [
            CancelAttempt(0x000464905D3A91C4, 0),
            Shed(request_id, 250.0),
            Fail(request_id),
            HealthCheck(0x2C9011F2),
            Subscribe(),
        ],
    )
    records = [
        "010003" + "00" * 21,
        "03000464905d3a91c400" + "00" * 14,
        "04000aa5520e6f2b19406f400000000000" + "00" * 7,
        "06000aa5520e6f2b19" + "00" * 15,
        "0b2c9011f2" + "00" * 19,
        "0901" + "00" * 22,
    ]
    assert reply.frame()[12:] == bytes.fromhex("".join(records))


def test_an_endpoint_list_is_kept_for_later_batches() -> None:
    decoder = Decoder()
    [(instance, event)] = decoder.batch(LIST_FRAME)[2]
    assert instance == 3
    assert isinstance(event, EndpointUpdate)
    assert (event.kind, event.version) == (UpdateKind.CACHED, 41)
    assert [(e.id, e.zone, e.state, e.size, e.started_ms) for e in event.endpoints] == [
        (0x03124A07, 0, EndpointState.READY, 1.0, 0.0),
        (0x2C9011F2, 1, EndpointState.READY, 1.5, 6100.0),
    ]
    again = struct.pack(">IIdI", 2, 116, 1.0, 2) + LIST_FRAME[20:68] + LIST_FRAME[116:164]
    assert decoder.batch(again)[2] == [(3, event)]


def test_an_ended_attempt_and_a_killed_instance_are_decoded() -> None:
    record = (
        "05 000464905d3a91c4 03124a07 01 01 00 4032800000000000 01 3f000000" + "00" * 12 + "00" * 7
    )
    frame = (
        struct.pack(">IIdI", 1, 164, 1.0, 3)
        + EVENTS_FRAME[20:68]
        + bytes.fromhex(record)
        + b"\x0a"
        + bytes(47)
    )
    (_, ended), (_, killed) = Decoder().batch(frame)[2]
    assert ended == AttemptEnded(0x000464905D3A91C4, 0x03124A07, True, 1, 0, 18.5, (0.5,))
    assert isinstance(killed, InstanceKilled)


def test_a_started_instance_has_settings_and_unknown_keys_are_ignored() -> None:
    text = json.dumps(SETTINGS).encode()
    header = struct.pack(">IIdI", 1, 116 + len(text), 1.0, 2)
    started = b"\x01" + struct.pack(">QII", 9, 0, len(text)) + bytes(31)
    [(_, event)] = Decoder().batch(header + EVENTS_FRAME[20:68] + started + text)[2]
    assert isinstance(event, InstanceStarted)
    assert event.seed == 9
    assert event.settings.classes[0].idempotency is Idempotency.KEYED
    assert event.settings.polls_endpoints
    assert event.settings.quotas_per_s == (5.0,)
    assert event.settings.classes[0].serialized_by_key
    assert (event.settings.full_possibly_executed, event.settings.key_cooldown_ms) == (True, 40.0)
    assert (event.settings.collapse_load_factor, event.settings.collapse_window_ms) == (2.5, 2.0)


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"Classes": []}, "classes"),
        ({"Discovery": "guess"}, "Discovery"),
        ({"Tick": 0}, "tick"),
        ({"Classes": [{**SETTINGS["Classes"][0], "Aim": -1}]}, "aim"),  # type: ignore[index]
        ({"Classes": [{**SETTINGS["Classes"][0], "Idempotency": "maybe"}]}, "maybe"),  # type: ignore[index]
        ({"Allowed": {}}, "MaxAttempts"),
    ],
)
def test_invalid_settings_are_named(change: dict[str, object], word: str) -> None:
    with pytest.raises(WireError, match=word):
        read_settings(json.dumps({**SETTINGS, **change}).encode())


@pytest.mark.parametrize(
    ("frame", "word"),
    [
        (EVENTS_FRAME[:10], "header"),
        (EVENTS_FRAME[:-1], "do not fit"),
        (EVENTS_FRAME[:20] + b"\x63" + bytes(47) + EVENTS_FRAME[68:], "before any Select"),
        (EVENTS_FRAME[:68] + b"\x63" + EVENTS_FRAME[69:], "unknown event code 99"),
        (LIST_FRAME[:73] + b"\x00\x00\xff\xff" + LIST_FRAME[77:], "out of range"),
        (
            struct.pack(">IIdI", 1, 116, 1.0, 2) + LIST_FRAME[20:68] + LIST_FRAME[116:164],
            "never given",
        ),
        (LIST_FRAME[:164] + LIST_FRAME[164:171] + b"\x00\x00\x09" + LIST_FRAME[174:], "phase"),
    ],
)
def test_malformed_frames_are_rejected_with_the_reason(frame: bytes, word: str) -> None:
    with pytest.raises(WireError, match=word):
        Decoder().batch(frame)


def test_malformed_settings_are_named_with_their_batch() -> None:
    started = b"\x01" + struct.pack(">QII", 9, 0, 4) + bytes(31)
    frame = struct.pack(">IIdI", 7, 120, 1.0, 2) + EVENTS_FRAME[20:68] + started + b"{no}"
    with pytest.raises(WireError, match="batch 7, byte 68: settings: not JSON"):
        Decoder().batch(frame)
