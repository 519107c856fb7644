"""The settings file and the command line."""

from __future__ import annotations

import copy
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crosscleat.cli import build_parser, environment_variable, read_tuning_options
from crosscleat.core.model.deployment import TuningOptions
from crosscleat.settings import SettingsError, parse

ROOT = Path(__file__).resolve().parent.parent

GOOD: dict[str, Any] = {
    "member": "n-0",
    "zone": "north",
    "listen": "127.0.0.1:8080",
    "peer_bind": "127.0.0.1:8081",
    "peers": [{"member": "n-1", "zone": "south", "endpoint": "127.0.0.2:8081"}],
    "endpoints": {"cloud": "127.0.0.3:1", "state": "127.0.0.3:2"},
    "settings": {
        "teams": [{"name": "red", "cpus": 4.0, "cpus_max": 8.0, "gpus": 0.0, "gpus_max": 0.0}],
        "objectives": [
            {"kind": "wait", "class": "a", "within_s": 2.0, "share": 0.9},
            {"kind": "wait", "class": "a", "within_s": 12.0, "share": 0.9},
        ],
        "workers": {"report_s": 2.0, "lease_s": 14.0, "cancel_s": 44.0},
        "state": {"rps": 200.0, "write_rps": 20.0, "value_kb": 32.0, "txn_ops": 16},
        "cloud": {"rps": 8.0, "list_lag_s": 5.0},
    },
}

TOML = """
member = "n-0"
listen = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"
[endpoints]
cloud = "127.0.0.3:1"
state = "127.0.0.3:2"
[[settings.teams]]
name = "red"
[settings.workers]
report_s = 2.0
lease_s = 14.0
cancel_s = 44.0
[settings.state]
rps = 200.0
write_rps = 20.0
value_kb = 32.0
txn_ops = 16
[settings.cloud]
rps = 8.0
"""


def at(raw: dict[str, Any], path: tuple[str, ...]) -> dict[str, Any]:
    for name in path:
        raw = raw[name]
    return raw


def test_settings_become_a_deployment() -> None:
    raw = copy.deepcopy(GOOD)
    raw["unknown"] = {"x": 1}
    raw["settings"]["workers"]["unknown"] = 3

    found = parse(raw, "file").deployment(TuningOptions())

    assert found.cancel_s == 44.0
    assert found.objective_limits("wait", "a") == (2.0, 12.0)
    assert found.objective_limits("finished", "a") == ()


@given(
    st.sampled_from(
        [
            ((), "member"),
            ((), "listen"),
            (("endpoints",), "state"),
            (("settings",), "teams"),
            (("settings", "workers"), "lease_s"),
            (("settings", "state"), "txn_ops"),
        ]
    ),
    st.sampled_from([None, -1, "", "x", [], float("nan")]),
)
def test_a_missing_or_invalid_setting_is_named(place: Any, value: Any) -> None:
    path, name = place
    missing, senseless = copy.deepcopy(GOOD), copy.deepcopy(GOOD)
    del at(missing, path)[name]
    at(senseless, path)[name] = "" if value == "x" and name == "member" else value

    for raw in (missing, senseless):
        with pytest.raises(SettingsError) as caught:
            parse(raw, "file")
        assert name in str(caught.value)
        assert "\n" not in str(caught.value)


def test_a_lease_longer_than_a_cancellation_is_refused() -> None:
    raw = copy.deepcopy(GOOD)
    raw["settings"]["workers"]["lease_s"] = 50.0

    with pytest.raises(SettingsError, match="cancel_s"):
        parse(raw, "file")


@given(
    st.fixed_dictionaries(
        {},
        optional={
            "rps": st.floats(1.0, 1000.0),
            "write_rps": st.floats(1.0, 1000.0),
            "value_kb": st.floats(2.0, 1000.0),
            "txn_ops": st.integers(4, 100),
        },
    )
)
def test_the_tighter_of_the_present_and_the_next_limits_holds(later: dict[str, float]) -> None:
    raw = copy.deepcopy(GOOD)
    now = raw["settings"]["state"]
    raw["settings"]["state"] = {**now, "next": later}
    found = parse(raw, "file")
    tighter = found.settings.state.strictest()
    for name, limit in now.items():
        assert getattr(tighter, name) == min(limit, later.get(name, limit))

    deployed = found.deployment(TuningOptions())
    assert (deployed.value_kb, deployed.txn_ops) == (tighter.value_kb, tighter.txn_ops)


@pytest.mark.parametrize(
    ("place", "name", "value"),
    [
        (("settings", "state", "next"), "value_kb", 0.5),
        (("settings", "state", "next"), "txn_ops", 1),
        (("settings", "state", "next"), "write_rps", 0),
        (("settings", "workers"), "gang_wait_s", 0.0),
        (("settings", "workers"), "gang_peer_s", "soon"),
    ],
)
def test_settings_that_came_with_gangs_are_validated(
    place: tuple[str, ...], name: str, value: Any
) -> None:
    raw = copy.deepcopy(GOOD)
    raw["settings"]["state"]["next"] = {}
    at(raw, place)[name] = value

    with pytest.raises(SettingsError, match=name):
        parse(raw, "file")
    assert parse(copy.deepcopy(GOOD), "file").deployment(TuningOptions()).gang_wait_s > 0


def test_flags_come_before_variables() -> None:
    arguments = build_parser().parse_args(["--config", "f", "--weight", "0.5"])
    tuning = read_tuning_options(
        arguments, {environment_variable("weight"): "0.1", environment_variable("headroom"): "0.7"}
    )

    assert (tuning.weight, tuning.headroom, tuning.round_s) == (0.5, 0.7, TuningOptions().round_s)
    with pytest.raises(SettingsError, match="CROSSCLEAT_HEADROOM"):
        read_tuning_options(arguments, {environment_variable("headroom"): "much"})
    with pytest.raises(SettingsError, match="weight"):
        read_tuning_options(build_parser().parse_args(["--config", "f", "--weight", "2"]), {})


def start(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, str(ROOT / "run.py"), *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_the_command_line_checks_a_file(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text(TOML)
    bad.write_text(TOML.replace("lease_s = 14.0", "lease_s = 0"))
    assert start("--config", str(good), "--check").returncode == 0

    found = start("--config", str(bad))
    assert found.returncode == 2
    assert "lease_s" in found.stderr
    assert found.stderr.count("\n") == 1
    assert start("--config", str(tmp_path / "none.toml")).returncode == 2
    assert start("--version").stdout.startswith("crosscleat ")
