"""
tests.test_settings
~~~~~~~~~~~~~~~~~~~

Settings of a daemon: one error for each fault, and exit code 2.
"""

import pytest
import yaml

from rosemarypath.daemon import main
from rosemarypath.errors import SettingsError
from rosemarypath.settings import Settings, check_document, load_settings

GOOD = {
    "machine": "entry-1",
    "zone": "z",
    "callers_address": "127.0.0.1:1",
    "peers_address": "127.0.0.1:2",
    "operators_address": "127.0.0.1:3",
    "object_api": "127.0.0.1:4",
}


def test_good_settings_get_defaults():
    settings = Settings.from_config(GOOD)
    assert settings.policy == "fair"
    assert settings.timing.lease == 1.5


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"machin": "x"}, "machin: unknown field"),
        ({"zone": 3}, "zone: must be of string"),
        ({"object_api": "nowhere"}, "object_api"),
        ({"timing": {"lease": "soon"}}, "timing.lease"),
        ({"timing": {"leas": 1}}, "timing.leas: unknown field"),
        ({"timing": {"lease": 0.6}}, "shorter than two heartbeats"),
        ({"log_level": "LOUD"}, "log_level"),
    ],
)
def test_errors_name_the_field_and_a_remedy(change, words):
    errors = check_document({**GOOD, **change})
    assert any(words in str(error) for error in errors)
    assert all(error.remedy for error in errors)


def test_every_fault_is_reported():
    assert len(check_document({})) == 6


def test_settings_must_be_a_mapping():
    with pytest.raises(SettingsError):
        Settings.from_config([])


@pytest.mark.parametrize("text", ["a: [", "- 1", ""])
def test_unusable_files_exit_with_2(tmp_path, capsys, text):
    path = tmp_path / "s.yaml"
    path.write_text(text)
    assert main(["--settings", str(path)]) == 2
    assert "rosemarypathd: " in capsys.readouterr().err


def test_missing_file(tmp_path):
    settings, errors = load_settings(tmp_path / "none.yaml")
    assert settings is None
    assert "readable file" in str(errors[0])


def test_unknown_policy_exits_with_2(tmp_path, capsys):
    path = tmp_path / "s.yaml"
    path.write_text(yaml.safe_dump({**GOOD, "policy": "magic"}))
    assert main(["--settings", str(path)]) == 2
    assert "magic" in capsys.readouterr().err


def test_valid_settings_pass_the_check_option(tmp_path, capsys):
    path = tmp_path / "s.yaml"
    path.write_text(yaml.safe_dump(GOOD))
    assert main(["--settings", str(path), "--check"]) == 0
