"""The command line: reads flags and environment variables, and starts a controller."""

from __future__ import annotations

import argparse
import dataclasses
import logging
import os
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

from . import __version__
from .core.model.deployment import TuningOptions
from .settings import SettingsError, load

MAX_VALUE = 1e9
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}

OPTION_HELP = {
    "weight": "utility-cost weighting factor, from 0 (utility alone) to 1 (cost alone)",
    "drop_threshold": "utility below which a waiting task is left out of a scheduling cycle",
    "round_s": "seconds between full scheduling cycles",
    "prompt_round_s": "minimum seconds between prompt scheduling cycles",
    "period_s": "length of a budget period in seconds",
    "budget_factor": "budget of a period, as a multiple of the guarantees' cost",
    "headroom": "minimum free capacity, as a fraction of usual demand",
    "swings": "free capacity, in standard deviations of recent demand",
    "idle_return_s": "seconds after which an idle machine may be returned",
    "silence_leases": "time without heartbeat after which a machine is deleted, in worker leases",
}


def environment_variable(option: str) -> str:
    """The name of the environment variable that sets a tuning option."""
    return "CROSSCLEAT_" + option.upper()


def build_parser() -> argparse.ArgumentParser:
    """Build the command-line parser, with a flag for each tuning option."""
    parser = argparse.ArgumentParser(
        prog="crosscleat", description="A cluster scheduler's controller."
    )
    parser.add_argument("--version", action="version", version=f"crosscleat {__version__}")
    parser.add_argument("--config", type=Path, required=True, metavar="FILE", help="settings file")
    parser.add_argument("--check", action="store_true", help="check the settings file and stop")
    group = parser.add_argument_group(
        "tuning options", "each can also be set by the environment variable that its help names"
    )
    for option in dataclasses.fields(TuningOptions):
        group.add_argument(
            "--" + option.name.replace("_", "-"),
            type=float,
            metavar="N",
            help=f"{OPTION_HELP[option.name]} "
            f"(default {option.default}; {environment_variable(option.name)})",
        )
    return parser


def read_tuning_options(arguments: argparse.Namespace, environ: Mapping[str, str]) -> TuningOptions:
    """Take each option from its flag, its environment variable or its default, in this order.

    Raises SettingsError.
    """
    values: dict[str, float] = {}
    for option in dataclasses.fields(TuningOptions):
        value = getattr(arguments, option.name)
        if value is None:
            value = _read_variable(environment_variable(option.name), environ)
        if value is None:
            continue
        if not 0.0 <= value < MAX_VALUE:
            raise SettingsError(f"{option.name}: out of range: {value}")
        values[option.name] = value
    tuning = TuningOptions(**values)
    if tuning.weight > 1.0:
        raise SettingsError("weight: must be from 0 to 1")
    for name in ("round_s", "period_s"):
        if getattr(tuning, name) <= 0.0:
            raise SettingsError(f"{name}: must be more than 0")
    return tuning


def _read_variable(name: str, environ: Mapping[str, str]) -> float | None:
    if name not in environ:
        return None
    try:
        return float(environ[name])
    except ValueError as error:
        raise SettingsError(f"{name}: not a number: {environ[name]!r}") from error


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program; returns the exit status: 2 if settings are missing or invalid, else 0."""
    arguments = build_parser().parse_args(argv)
    level = os.environ.get("LOG_LEVEL", "info")
    try:
        if level not in LOG_LEVELS:
            raise SettingsError(f"LOG_LEVEL: must be one of {', '.join(LOG_LEVELS)}, not {level!r}")
        tuning = read_tuning_options(arguments, os.environ)
        settings = load(arguments.config)
    except SettingsError as error:
        print(f"crosscleat: {error}", file=sys.stderr)
        return 2
    if arguments.check:
        print(f"{arguments.config}: ok, {settings.member} with {len(settings.peers)} peers")
        return 0
    logging.basicConfig(
        level=LOG_LEVELS[level],
        format=f"%(levelname).1s {settings.member} %(name)s %(message)s",
        stream=sys.stderr,
    )
    # Imported here because `--check` needs neither the event loop nor the HTTP library.
    from .app import run  # noqa: PLC0415 - deferred for the reason above

    run(settings, tuning)
    return 0
