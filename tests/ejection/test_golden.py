"""The ejection file, as it was written before the names of the code changed."""

from __future__ import annotations

from pathlib import Path

from badgercart.ejection.ejection_file import EjectionFile, decode, encode
from badgercart.ejection.ledger import EjectionState, Reinstatement

GOLDEN = Path(__file__).parent / "golden"
NAMES = ("s-1", "s-2", "s-3", "sérver")
EACH = {
    "empty": (EjectionState(), ([], [], [])),
    "bans": (
        EjectionState(
            {"s-1": 1764738000000.5, "sérver": 7.0},
            {"s-2": Reinstatement(1764738000001.0, 1764738000002.25)},
            dict.fromkeys(NAMES),
        ),
        (
            [("s-1", 1764738000000.5), ("sérver", 7.0)],
            [("s-2", Reinstatement(1764738000001.0, 1764738000002.25))],
            list(NAMES),
        ),
    ),
}


def in_order(state: EjectionState) -> tuple[object, object, object]:
    return list(state.ejected.items()), list(state.reinstated.items()), list(state.known_names)


def test_the_file_is_written_as_ever() -> None:
    for name, (state, _) in EACH.items():
        assert encode(state) == (GOLDEN / f"{name}.txt").read_bytes(), name


def test_the_file_is_read_as_ever() -> None:
    for name, (_, told) in EACH.items():
        assert in_order(decode((GOLDEN / f"{name}.txt").read_bytes())) == told, name


def test_both_times_of_a_reinstatement_are_read_in_their_order() -> None:
    back = decode((GOLDEN / "bans.txt").read_bytes()).reinstated["s-2"]
    assert (
        back
        == Reinstatement(1764738000001.0, 1764738000002.25)
        != Reinstatement(1764738000002.25, 1764738000001.0)
    )


def test_the_files_in_a_folder_are_called_as_ever(tmp_path: Path) -> None:
    store = EjectionFile(tmp_path)
    with store.lock():
        store.write(EACH["bans"][0])
    assert sorted(path.name for path in tmp_path.iterdir()) == [
        "badgercart-bans",
        "badgercart-bans.lock",
    ]
    assert (tmp_path / "badgercart-bans").read_bytes() == (GOLDEN / "bans.txt").read_bytes()
