"""Names that operators write: settings, flags, environment variables and deploy/service.toml.

A Python identifier that is renamed could change one of these names, and existing files and commands
would no longer work. The samples are literal, so that they do not follow a renamed identifier.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path

import pytest

from crosscleat.cli import build_parser, main, read_tuning_options
from crosscleat.core.model.deployment import Deployment, Objective, TeamLimits, TuningOptions
from crosscleat.core.model.ids import Member, Team
from crosscleat.settings import (
    CloudSettings,
    Endpoints,
    NextLimits,
    ObjectiveSettings,
    Peer,
    ResourceLimits,
    Settings,
    SharedSettings,
    StateSettings,
    TeamSettings,
    WorkerSettings,
    load,
)

ROOT = Path(__file__).resolve().parent.parent

REQUIRED_TOML = """
member = "n-1"
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
ALL_TOML = """
member = "n-1"
zone = "north"
listen = "127.0.0.1:8080"
peer_bind = "127.0.0.1:8081"

[[peers]]
member = "n-0"
zone = "south"
endpoint = "127.0.0.2:8081"

[endpoints]
cloud = "127.0.0.3:1"
state = "127.0.0.3:2"

[[settings.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
gpus = 1.0
gpus_max = 2.0

[[settings.objectives]]
kind = "wait"
class = "nightly"
within_s = 12.0

[settings.workers]
report_s = 2.0
lease_s = 14.0
cancel_s = 44.0
gang_wait_s = 70.0
gang_peer_s = 9.0

[settings.state]
rps = 200.0
write_rps = 20.0
value_kb = 32.0
txn_ops = 16

[settings.state.next]
rps = 100.0
write_rps = 10.0
value_kb = 2.5
txn_ops = 5

[settings.cloud]
rps = 8.0

[settings.resources]
max_sockets = 300
"""
ALL_SETTINGS = Settings(
    member="n-1",
    zone="north",
    listen="127.0.0.1:8080",
    peer_bind="127.0.0.1:8081",
    peers=[Peer(member="n-0", zone="south", endpoint="127.0.0.2:8081")],
    endpoints=Endpoints(cloud="127.0.0.3:1", state="127.0.0.3:2"),
    settings=SharedSettings(
        teams=[TeamSettings(name="red", cpus=4.0, cpus_max=8.0, gpus=1.0, gpus_max=2.0)],
        objectives=[ObjectiveSettings(kind="wait", job_class="nightly", within_s=12.0)],
        workers=WorkerSettings(
            report_s=2.0, lease_s=14.0, cancel_s=44.0, gang_wait_s=70.0, gang_peer_s=9.0
        ),
        state=StateSettings(
            rps=200.0,
            write_rps=20.0,
            value_kb=32.0,
            txn_ops=16,
            next=NextLimits(rps=100.0, write_rps=10.0, value_kb=2.5, txn_ops=5),
        ),
        cloud=CloudSettings(rps=8.0),
        resources=ResourceLimits(max_sockets=300),
    ),
)
DEFAULT_SETTINGS = Settings(
    member="n-1",
    zone="",
    listen="127.0.0.1:8080",
    peer_bind="127.0.0.1:8081",
    peers=[],
    endpoints=Endpoints(cloud="127.0.0.3:1", state="127.0.0.3:2"),
    settings=SharedSettings(
        teams=[TeamSettings(name="red", cpus=0.0, cpus_max=0.0, gpus=0.0, gpus_max=0.0)],
        objectives=[],
        workers=WorkerSettings(
            report_s=2.0, lease_s=14.0, cancel_s=44.0, gang_wait_s=60.0, gang_peer_s=10.0
        ),
        state=StateSettings(
            rps=200.0,
            write_rps=20.0,
            value_kb=32.0,
            txn_ops=16,
            next=NextLimits(rps=None, write_rps=None, value_kb=None, txn_ops=None),
        ),
        cloud=CloudSettings(rps=8.0),
        resources=ResourceLimits(max_sockets=1000),
    ),
)
DEPLOYMENT = Deployment(
    member=Member("n-1"),
    members=(Member("n-0"), Member("n-1")),
    teams={Team("red"): TeamLimits(Team("red"), cpus=4.0, cpus_max=8.0, gpus=1.0, gpus_max=2.0)},
    objectives=(Objective(kind="wait", job_class="nightly", within_s=12.0),),
    heartbeat_interval_s=2.0,
    lease_s=14.0,
    cancel_s=44.0,
    gang_wait_s=70.0,
    gang_peer_s=9.0,
    value_kb=2.5,
    txn_ops=5,
    tuning=TuningOptions(),
)


@pytest.mark.parametrize(
    ("text", "settings"), [(ALL_TOML, ALL_SETTINGS), (REQUIRED_TOML, DEFAULT_SETTINGS)]
)
def test_a_settings_file_is_read(tmp_path: Path, text: str, settings: Settings) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(text)

    assert load(path) == settings


def test_settings_are_converted_to_a_deployment() -> None:
    assert ALL_SETTINGS.deployment(TuningOptions()) == DEPLOYMENT
    assert ALL_SETTINGS.settings.state.strictest().rps == 100.0
    assert ALL_SETTINGS.settings.state.strictest().write_rps == 10.0


# Flags and environment variables

OPTION_VALUE = 0.375
TUNING_FLAGS = [
    ("--weight", "CROSSCLEAT_WEIGHT", TuningOptions(weight=OPTION_VALUE)),
    ("--drop-threshold", "CROSSCLEAT_DROP_THRESHOLD", TuningOptions(drop_threshold=OPTION_VALUE)),
    ("--round-s", "CROSSCLEAT_ROUND_S", TuningOptions(round_s=OPTION_VALUE)),
    ("--prompt-round-s", "CROSSCLEAT_PROMPT_ROUND_S", TuningOptions(prompt_round_s=OPTION_VALUE)),
    ("--period-s", "CROSSCLEAT_PERIOD_S", TuningOptions(period_s=OPTION_VALUE)),
    ("--budget-factor", "CROSSCLEAT_BUDGET_FACTOR", TuningOptions(budget_factor=OPTION_VALUE)),
    ("--headroom", "CROSSCLEAT_HEADROOM", TuningOptions(headroom=OPTION_VALUE)),
    ("--swings", "CROSSCLEAT_SWINGS", TuningOptions(swings=OPTION_VALUE)),
    ("--idle-return-s", "CROSSCLEAT_IDLE_RETURN_S", TuningOptions(idle_return_s=OPTION_VALUE)),
    ("--silence-leases", "CROSSCLEAT_SILENCE_LEASES", TuningOptions(silence_leases=OPTION_VALUE)),
]
DEFAULT_TUNING = TuningOptions(
    weight=0.5,
    drop_threshold=0.05,
    round_s=5.0,
    prompt_round_s=0.15,
    period_s=600.0,
    budget_factor=1.5,
    headroom=0.05,
    swings=0.3,
    idle_return_s=25.0,
    silence_leases=0.5,
)


def test_the_defaults_of_the_tuning_options() -> None:
    assert read_tuning_options(build_parser().parse_args(["--config", "f"]), {}) == DEFAULT_TUNING


@pytest.mark.parametrize(
    ("flag", "name", "tuning"), TUNING_FLAGS, ids=[flag for flag, _, _ in TUNING_FLAGS]
)
def test_each_flag_and_variable_sets_its_option(
    flag: str, name: str, tuning: TuningOptions
) -> None:
    without_flag = build_parser().parse_args(["--config", "f"])
    with_flag = build_parser().parse_args(["--config", "f", flag, "0.375"])

    assert read_tuning_options(with_flag, {}) == tuning
    assert read_tuning_options(without_flag, {name: "0.375"}) == tuning
    assert read_tuning_options(with_flag, {name: "0.75"}) == tuning


def test_the_help_names_all_flags_and_variables() -> None:
    text = build_parser().format_help()
    flags = {flag for flag, _, _ in TUNING_FLAGS} | {"--help", "--version", "--config", "--check"}

    assert set(re.findall(r"(?<![\w-])--[a-z][a-z-]*", text)) == flags
    assert set(re.findall(r"CROSSCLEAT_\w+", text)) == {name for _, name, _ in TUNING_FLAGS}


@pytest.mark.parametrize(
    ("level", "status"),
    [(None, 0), ("error", 0), ("info", 0), ("debug", 0), ("warning", 2), ("INFO", 2)],
)
def test_only_known_log_levels_are_accepted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, level: str | None, status: int
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(ALL_TOML)
    if level is None:
        monkeypatch.delenv("LOG_LEVEL", raising=False)
    else:
        monkeypatch.setenv("LOG_LEVEL", level)

    assert main(["--config", str(path), "--check"]) == status


# The service file


def test_the_service_file_has_the_build_and_run_commands() -> None:
    service = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    assert set(service) == {"build", "run", "production"}
    assert service["build"] == "python3 deploy/build.py"
    assert service["run"] == "python3 run.py --config"
    assert re.fullmatch(r"[0-9a-f]{40}", service["production"])
    assert (ROOT / "deploy" / "build.py").is_file()
    assert (ROOT / "run.py").is_file()
