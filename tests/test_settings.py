"""Reading the settings file, flags and environment variables.

A controller must not start with a missing or invalid value: it exits with one line that names the
setting. Of each limit of the store, the stricter of its present and next value applies; otherwise
something would be written that the store rejects after it switches its limits.
"""

from __future__ import annotations

import copy
import math
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

VALID_SETTINGS: dict[str, Any] = {
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

VALID_TOML = """
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


def nested_table(raw: dict[str, Any], path: tuple[str, ...]) -> dict[str, Any]:
    for name in path:
        raw = raw[name]
    return raw


def test_settings_become_a_deployment() -> None:
    raw = copy.deepcopy(VALID_SETTINGS)
    raw["unknown"] = {"x": 1}
    raw["settings"]["workers"]["unknown"] = 3

    deployment = parse(raw, "file").deployment(TuningOptions())

    assert deployment.cancel_s == 44.0
    assert deployment.objective_limits("wait", "a") == (2.0, 12.0)
    assert deployment.objective_limits("finished", "a") == ()


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
def test_the_error_names_the_missing_or_invalid_setting(location: Any, value: Any) -> None:
    path, name = location
    missing, invalid = copy.deepcopy(VALID_SETTINGS), copy.deepcopy(VALID_SETTINGS)
    del nested_table(missing, path)[name]
    nested_table(invalid, path)[name] = "" if value == "x" and name == "member" else value

    for raw in (missing, invalid):
        with pytest.raises(SettingsError) as caught:
            parse(raw, "file")
        assert name in str(caught.value)
        assert "\n" not in str(caught.value)


@pytest.mark.parametrize("rate", [5e-324, 1e-310, 1e-6, math.inf])
@pytest.mark.parametrize("name", ["rps", "write_rps"])
@pytest.mark.parametrize("upcoming", [False, True])
def test_a_rate_at_which_nothing_could_be_sent_is_rejected(
    name: str, rate: float, upcoming: bool
) -> None:
    """A controller's share of 5e-324 requests a second is 0: its rate limiter divided by it."""
    raw = copy.deepcopy(VALID_SETTINGS)
    state = raw["settings"]["state"]
    (state.setdefault("next", {}) if upcoming else state)[name] = rate

    with pytest.raises(SettingsError, match=name):
        parse(raw, "file")


@pytest.mark.parametrize("rate", [0.01, 0.5, 1e6])
def test_a_low_or_high_rate_is_taken(rate: float) -> None:
    raw = copy.deepcopy(VALID_SETTINGS)
    raw["settings"]["state"].update(rps=rate, write_rps=rate)

    assert parse(raw, "file").settings.state.strictest().write_rps == rate


def test_a_lease_longer_than_the_cancellation_time_is_rejected() -> None:
    raw = copy.deepcopy(VALID_SETTINGS)
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
def test_the_stricter_of_the_present_and_next_limits_applies(upcoming: dict[str, float]) -> None:
    raw = copy.deepcopy(VALID_SETTINGS)
    present = raw["settings"]["state"]
    raw["settings"]["state"] = {**present, "next": upcoming}
    settings = parse(raw, "file")
    strictest = settings.settings.state.strictest()
    for name, limit in present.items():
        assert getattr(strictest, name) == min(limit, upcoming.get(name, limit))

    deployment = settings.deployment(TuningOptions())
    assert (deployment.value_kb, deployment.txn_ops) == (strictest.value_kb, strictest.txn_ops)


@pytest.mark.parametrize(
    ("location", "name", "value"),
    [
        (("settings", "state", "next"), "value_kb", 0.5),
        (("settings", "state", "next"), "txn_ops", 1),
        (("settings", "state", "next"), "write_rps", 0),
        (("settings", "workers"), "gang_wait_s", 0.0),
        (("settings", "workers"), "gang_peer_s", "soon"),
    ],
)
def test_invalid_gang_times_and_next_limits_are_rejected(
    location: tuple[str, ...], name: str, value: Any
) -> None:
    raw = copy.deepcopy(VALID_SETTINGS)
    raw["settings"]["state"]["next"] = {}
    nested_table(raw, location)[name] = value

    with pytest.raises(SettingsError, match=name):
        parse(raw, "file")
    assert parse(copy.deepcopy(VALID_SETTINGS), "file").deployment(TuningOptions()).gang_wait_s > 0


def test_flags_take_precedence_over_environment_variables() -> None:
    arguments = build_parser().parse_args(["--config", "f", "--weight", "0.5"])
    tuning = read_tuning_options(
        arguments, {environment_variable("weight"): "0.1", environment_variable("headroom"): "0.7"}
    )

    assert (tuning.weight, tuning.headroom, tuning.round_s) == (0.5, 0.7, TuningOptions().round_s)
    with pytest.raises(SettingsError, match="CROSSCLEAT_HEADROOM"):
        read_tuning_options(arguments, {environment_variable("headroom"): "much"})
    with pytest.raises(SettingsError, match="weight"):
        read_tuning_options(build_parser().parse_args(["--config", "f", "--weight", "2"]), {})


def run_cli(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, str(ROOT / "run.py"), *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_the_command_line_validates_the_settings_file(tmp_path: Path) -> None:
    valid_file, invalid_file = tmp_path / "good.toml", tmp_path / "bad.toml"
    valid_file.write_text(VALID_TOML)
    invalid_file.write_text(VALID_TOML.replace("lease_s = 14.0", "lease_s = 0"))
    assert run_cli("--config", str(valid_file), "--check").returncode == 0

    result = run_cli("--config", str(invalid_file))
    assert result.returncode == 2
    assert "lease_s" in result.stderr
    assert result.stderr.count("\n") == 1
    assert run_cli("--config", str(tmp_path / "none.toml")).returncode == 2
    assert run_cli("--version").stdout.startswith("crosscleat ")
