"""The settings of zones: the topology of the example, and the faults that `check` prints."""

from __future__ import annotations

from pathlib import Path

import pytest

from badgercart.app.faults import SettingsFileError
from badgercart.app.file import load_installation
from badgercart.zones.settings import ZonesSettings

EXAMPLE = Path(__file__).parent.parent.parent / "deploy" / "zones.toml"


def test_the_example_is_a_topology_of_two_regions() -> None:
    """The example of the deploy folder has regions, a distance and a regional class."""
    installation = load_installation(str(EXAMPLE))
    settings: ZonesSettings = installation.component_settings["zones"]
    topology = settings.topology(
        installation.config.zones, installation.config.classes, installation.config.tenants
    )
    assert topology.zones == ("angyalfold", "kelenfold", "szeged")
    assert topology.regions == (
        "pest",
        "pest",
        "alfold",
    )
    assert topology.costs[0] == (0.0, 1.0, 6.0) == tuple(row[0] for row in topology.costs)
    regional = installation.config.classes[b"ride-assign"]
    assert not topology.may_route(regional, 0, 2)
    assert topology.may_route(regional, 0, 1)
    assert topology.may_route(1 - regional, 0, 2)
    assert topology.row_of(1, 0) == 1
    assert topology.row_count == 4


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('zone = "angyalfold"\nnumber', 'number', "needs node.zone"),
        (
            'zones = ["szeged"]',
            'zones = ["szegde"]',
            "region[1].zones[0]: 'szegde' is none of fleet.zones",
        ),
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
        (
            'zones = ["angyalfold", "kelenfold", "szeged"]',
            'zones = ["angyalfold"]',
            "at least two names",
        ),
    ],
)  # fmt: skip
def test_contradictory_settings_are_rejected_with_a_message(
    tmp_path: Path, old: str, new: str, message: str
) -> None:
    """Each fault names the setting and what is wrong with it."""
    text = EXAMPLE.read_text()
    assert old in text
    path = tmp_path / "zones.toml"
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(SettingsFileError) as caught:
        load_installation(str(path))
    assert message in str(caught.value)
