"""A wrong geography is told by key and in words; a right one is a map."""

from __future__ import annotations

from pathlib import Path

import pytest

from badgercart.app.faults import FileError
from badgercart.app.file import load
from badgercart.zones.settings import ZonesSettings

EXAMPLE = Path(__file__).parent.parent.parent / "deploy" / "zones.toml"


def test_the_example_is_a_map_of_two_regions() -> None:
    site = load(str(EXAMPLE))
    settings: ZonesSettings = site.parts["zones"]
    map_ = settings.geography(site.config.zones, site.config.classes, site.config.tenants)
    assert map_.zones == ("angyalfold", "kelenfold", "szeged") and map_.regions == (
        "pest",
        "pest",
        "alfold",
    )
    assert map_.cost[0] == (0.0, 1.0, 6.0) == tuple(row[0] for row in map_.cost)
    bound = site.config.classes[b"ride-assign"]
    assert not map_.may(bound, 0, 2) and map_.may(bound, 0, 1) and map_.may(1 - bound, 0, 2)
    assert map_.row_of(1, 0) == 1 and map_.rows == 4


@pytest.mark.parametrize(
    ("old", "new", "words"),
    [
        ('zone = "angyalfold"\nnumber', 'number', "needs node.zone"),
        ('zones = ["szeged"]', 'zones = ["szegde"]', "region[1].zones[0]: 'szegde' is none of fleet.zones"),
        ('zones = ["szeged"]', 'zones = ["kelenfold"]', "is in the region 'pest' already"),
        ('name = "alfold"', 'name = "pest"', "'pest' stands here twice"),
        ('to = "szeged"', 'to = "angyalfold"', "is the zone itself"),
        ('from = "angyalfold"', 'from = "x"', "'x' is none of fleet.zones"),
        ('bound_classes = ["ride-assign"]', 'bound_classes = ["ride"]', "'ride' is no [[class]]"),
        ('bound_classes = ["ride-assign"]', 'bound_tenants = ["eva"]', "'eva' is no [[tenant]]"),
        ("blind = 0.1", "blind = 0.3", "head and blind together"),
        ("lease_ms = 4000", "lease_ms = 1500", "is not below half of lease_ms"),
        ("lease_ms = 4000", "patience_ms = 900", "is not above renew_ms"),
        ('network = "127.1.0.0/16"', 'network = "127.1"', "is no network"),
        ('[peers]\nlisten = "127.0.0.1:7946"', '[peers_]\nlisten = "127.0.0.1:7946"', "peers"),
        ('zones = ["angyalfold", "kelenfold", "szeged"]', 'zones = ["angyalfold"]', "at least two names"),
    ],
)  # fmt: skip
def test_what_contradicts_itself_is_named(tmp_path: Path, old: str, new: str, words: str) -> None:
    text = EXAMPLE.read_text()
    assert old in text
    path = tmp_path / "zones.toml"
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(FileError) as caught:
        load(str(path))
    assert words in str(caught.value)
