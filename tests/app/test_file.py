"""The operator's settings file: valid files load, and each fault is reported by line and key."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgercart.app.file import SettingsFileError, load_installation
from badgercart.app.locate import lines_of
from badgercart.distribution.replica_file import load_replica_file
from badgercart.policy.settings import DeduplicationScope, Idempotency

ROOT = Path(__file__).parent.parent.parent
VALID_TEXT = """\
[fleet]
zones = ["a", "b"]
[[class]]
name = "find"
aim_ms = 400
deadline_ms = 1000
worth = 2
effect = "safe"
[[class]]
name = "book"
aim_ms = 400
deadline_ms = 1000
worth = 8
effect = "keyed"
group = "zone"
window_ms = 6000
[[members.server]]
name = "s-1"
address = "127.0.0.1:7001"
zone = "a"
[fronts.http]
listen = "127.0.0.1:0"
"""


def reported_faults(tmp_path: Path, text: str) -> list[tuple[int, str, str]]:
    """Load this text as a file, and return the line, key and message of each fault."""
    path = tmp_path / "site.toml"
    path.write_text(text)
    with pytest.raises(SettingsFileError) as caught:
        load_installation(str(path))
    return [(problem.line, problem.key, problem.words) for problem in caught.value.problems]


def test_a_valid_file_becomes_an_installation(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(VALID_TEXT)
    installation = load_installation(str(path))
    assert [cls.idempotency for cls in installation.config.settings.classes] == [
        Idempotency.IDEMPOTENT,
        Idempotency.KEYED,
    ]
    assert installation.config.settings.classes[1].deduplication_scope is DeduplicationScope.ZONE
    assert installation.config.classes == {b"find": 0, b"book": 1}
    assert installation.component_settings.keys() == {"http", "server"}
    assert installation.component_settings["http"].listen == ("127.0.0.1", 0)
    assert installation.component_settings["server"][0].list_entry()["hostPort"] == "127.0.0.1:7001"


@pytest.mark.parametrize("path", sorted(ROOT.glob("deploy/*.toml")), ids=lambda path: path.name)
def test_the_example_files_of_deploy_are_valid(path: Path) -> None:
    # The file of a process that runs only a replica.
    if path.name == "distribution-store.toml":
        assert load_replica_file(str(path)) is not None
    # `balancer.toml` has the platform's format.
    elif path.name != "balancer.toml":
        load_installation(str(path))


@pytest.mark.parametrize(
    ("old", "new", "line", "key", "message"),
    [
        ("worth = 2", "worth = -1", 7, "class[0].worth", "-1 is not within 0 to 1e+06"),
        ("worth = 2", 'worth = "2"', 7, "class[0].worth", "'2' is no number"),
        ("worth = 2", "worth = true", 7, "class[0].worth", "True is no number"),
        ("worth = 2", "worth = nan", 7, "class[0].worth", "nan is no number"),
        ("worth = 2\n", "", 3, "class[0]", "worth is missing: what one is worth beside the others"),
        ("worth = 2", "worht = 2", 7, "class[0].worht", "is not known here"),
        ("aim_ms = 400", "aim_ms = 1400", 5, "class[0].aim_ms", "is later than deadline_ms"),
        ('"book"', '"find"', 10, "class[1].name", "'find' stands here twice"),
        ('"book"', '"a/b"', 10, "class[1].name", "holds a slash"),
        ('"keyed"', '"once"', 14, "class[1].effect", "'once' is none of safe, keyed, unsafe"),
        ("window_ms = 6000\n", "", 14, "class[1].effect", "keyed needs a window_ms above 0"),
        ("127.0.0.1:7001", "7001", 19, "members.server[0].address", "'7001' is no host:port"),
        ('zone = "a"', 'zone = "c"', 20, "members.server[0].zone", "'c' is none of fleet.zones"),
        ("[fronts.http]", "[fronts.htpt]", 21, "fronts.htpt", "is not known here"),
        (
            "[fleet]\n",
            "[fleet]\ncold_from = 0\n",
            2,
            "fleet.cold_from",
            "0 is not within 0.01 to 1",
        ),
        ("[fleet]\n", 'x = """\n[a]\n"""\n[fleet]\n', 1, "x", "is not known here"),
        ("[fleet]", "[[fleet]]", 1, "fleet", "is no table"),
        ("[[class]]", "[class]", 0, "", "Cannot"),
        (
            'zones = ["a", "b"]',
            'zones = ["a", "a"]',
            2,
            "fleet.zones",
            "is no list of different names",
        ),
    ],
)
def test_each_fault_is_reported_by_line_and_key(
    tmp_path: Path, old: str, new: str, line: int, key: str, message: str
) -> None:
    faults = reported_faults(tmp_path, VALID_TEXT.replace(old, new, 1))
    assert any(fault[:2] == (line, key) and message in fault[2] for fault in faults), faults


def test_all_faults_are_reported_at_once(tmp_path: Path) -> None:
    text = VALID_TEXT.replace("worth = 2", "worth = -1").replace("listen =", "listens =")
    assert [fault[1] for fault in reported_faults(tmp_path, text)] == [
        "class[0].worth",
        "fronts.http",
        "fronts.http.listens",
    ]


PROCESSOR_TEXT = VALID_TEXT + '[fronts.processor]\nlisten = "127.0.0.1:0"\n'


@pytest.mark.parametrize(
    ("added_text", "key"),
    [
        ("answer_age_ms = 501", "fronts.processor.answer_age_ms"),
        ("max_streams = 0", "fronts.processor.max_streams"),
        ("fallbacks = 1.5", "fronts.processor.fallbacks"),
        ('[fronts.processor.headers]\ntenant = "tenant"', "fronts.processor.headers.tenant"),
        ('[fronts.processor.headers]\ntenant = ["a b"]', "fronts.processor.headers.tenant"),
        ('[fronts.processor.tls]\ncert = "x.pem"', "fronts.processor.tls"),
        (
            "[fronts.processor.old_answers]\nrefuse_after = 2",
            "fronts.processor.old_answers.refuse_after",
        ),
    ],
)
def test_faults_of_the_processor_settings_are_reported(
    tmp_path: Path, added_text: str, key: str
) -> None:
    assert [fault[1] for fault in reported_faults(tmp_path, PROCESSOR_TEXT + added_text)] == [key]


def test_an_answer_age_beyond_the_drain_grace_period_is_a_fault(tmp_path: Path) -> None:
    text = PROCESSOR_TEXT.replace("[fleet]", "[fleet]\ndrain_grace_ms = 200")
    ((line, key, message),) = reported_faults(tmp_path, text)
    assert (line, key) == (24, "fronts.processor.answer_age_ms")
    assert message == "is longer than fleet.drain_grace_ms"


def test_an_unreadable_file_is_reported_as_one_fault(tmp_path: Path) -> None:
    for data in (b"\xff\xfe", b"a = ", b"[" * 5000, b"x" * (1 << 20) + b"=1"):
        path = tmp_path / "site.toml"
        path.write_bytes(data)
        with pytest.raises(SettingsFileError) as caught:
            load_installation(str(path))
        assert len(caught.value.problems) == 1
    with pytest.raises(SettingsFileError, match="No such file"):
        load_installation(str(tmp_path / "none.toml"))


def test_check_prints_a_fault_and_exits_with_its_status(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(VALID_TEXT.replace("worth = 2", "worth = -1"))
    command = [sys.executable, "-m", "badgercart", "check", str(path)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert (result.returncode, result.stdout) == (2, "")
    assert result.stderr.startswith(f"{path}: line 7: class[0].worth: -1 is not within")
    path.write_text(VALID_TEXT)
    assert subprocess.run(command, capture_output=True, check=False).returncode == 0


def test_line_numbers_are_right_after_strings_arrays_and_quoted_keys() -> None:
    text = '''\
"a b" = 1
c.d = [ # [x]
  "]", 2,
]
e = """
[f]
g = 1 \\"""
"""
[[h]]
i = '='
[h.j]
[[h]]
i = {k = 1}
'''
    assert lines_of(text) == {
        ("a b",): 1,
        ("c",): 2,
        ("c", "d"): 2,
        ("e",): 5,
        ("h",): 9,
        ("h", 0): 9,
        ("h", 0, "i"): 10,
        ("h", 0, "j"): 11,
        ("h", 1): 12,
        ("h", 1, "i"): 13,
    }


@settings(max_examples=200, deadline=None)
@given(st.text(alphabet="[]\"'=#.\\\n abc1{},", max_size=60))
def test_random_text_raises_only_a_settings_file_error(text: str) -> None:
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        with pytest.raises(SettingsFileError):
            load_installation(file.name)
