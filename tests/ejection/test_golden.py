"""The format of the ejection file is unchanged, whatever the names in the code are."""

from __future__ import annotations

from pathlib import Path

from badgercart.ejection.ejection_file import EjectionFile, decode, encode
from badgercart.ejection.ledger import EjectionState, Reinstatement

GOLDEN = Path(__file__).parent / "golden"
NAMES = ("s-1", "s-2", "s-3", "sérver")
STATES = {
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


def field_items(state: EjectionState) -> tuple[object, object, object]:
    """Return the items of each field in order, since comparing dicts ignores the order."""
    return list(state.ejected.items()), list(state.reinstated.items()), list(state.known_names)


def test_the_file_is_encoded_unchanged() -> None:
    """Compare the encoded states with their golden files."""
    for name, (state, _) in STATES.items():
        assert encode(state) == (GOLDEN / f"{name}.txt").read_bytes(), name


def test_the_file_is_decoded_unchanged() -> None:
    """Decode each golden file and compare the fields and the order of their items."""
    for name, (_, expected) in STATES.items():
        assert field_items(decode((GOLDEN / f"{name}.txt").read_bytes())) == expected, name


def test_both_times_of_a_reinstatement_are_decoded_in_order() -> None:
    """Check that the two times of a reinstatement are not exchanged."""
    reinstatement = decode((GOLDEN / "bans.txt").read_bytes()).reinstated["s-2"]
    assert (
        reinstatement
        == Reinstatement(1764738000001.0, 1764738000002.25)
        != Reinstatement(1764738000002.25, 1764738000001.0)
    )


def test_the_file_names_are_unchanged(tmp_path: Path) -> None:
    """Check the names of the ejection file and its lock file, and the written bytes."""
    ejection_file = EjectionFile(tmp_path)
    with ejection_file.lock():
        ejection_file.write(STATES["bans"][0])
    assert sorted(path.name for path in tmp_path.iterdir()) == [
        "badgercart-bans",
        "badgercart-bans.lock",
    ]
    assert (tmp_path / "badgercart-bans").read_bytes() == (GOLDEN / "bans.txt").read_bytes()
