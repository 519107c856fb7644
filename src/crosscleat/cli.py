"""The command line."""

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

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}

HELP = {
    "weight": "utility-cost weighting factor, from 0 (utility alone) to 1 (cost alone)",
    "drop_threshold": "utility below which waiting tasks are set aside",
    "round_s": "seconds between full rounds",
    "prompt_round_s": "shortest time between rounds that something new brings about",
    "period_s": "length of a budget period in seconds",
    "budget_factor": "budget of a period, as a multiple of the guarantees' cost",
    "headroom": "least room kept free, as a share of usual demand",
    "swings": "room kept free, in standard deviations of recent demand",
    "idle_return_s": "seconds after which an idle machine may be returned",
    "silence_leases": "leases' worth of silence after which a machine is given up",
}


def variable(option: str) -> str:
    """The environment variable of a setting."""
    return "CROSSCLEAT_" + option.upper()


def build_parser() -> argparse.ArgumentParser:
    """The command line."""
    parser = argparse.ArgumentParser(
        prog="crosscleat", description="A cluster scheduler's controller."
    )
    parser.add_argument("--version", action="version", version=f"crosscleat {__version__}")
    parser.add_argument("--config", type=Path, required=True, metavar="FILE", help="settings file")
    parser.add_argument("--check", action="store_true", help="check the settings file and stop")
    tuning = parser.add_argument_group("knobs", "each can also be set by the variable named")
    for option in dataclasses.fields(TuningOptions):
        tuning.add_argument(
            "--" + option.name.replace("_", "-"),
            type=float,
            metavar="N",
            help=f"{HELP[option.name]} (default {option.default}; {variable(option.name)})",
        )
    return parser


def read_tuning_options(given: argparse.Namespace, environ: Mapping[str, str]) -> TuningOptions:
    """Flags first, then variables, then defaults."""
    values: dict[str, float] = {}
    for option in dataclasses.fields(TuningOptions):
        value = getattr(given, option.name)
        name = variable(option.name)
        if value is None and name in environ:
            try:
                value = float(environ[name])
            except ValueError as error:
                raise SettingsError(f"{name}: not a number: {environ[name]!r}") from error
        if value is not None:
            if not 0.0 <= value < 1e9:
                raise SettingsError(f"{option.name}: out of range: {value}")
            values[option.name] = value
    tuning = TuningOptions(**values)
    if tuning.weight > 1.0:
        raise SettingsError("weight: must be from 0 to 1")
    for name in ("round_s", "period_s"):
        if getattr(tuning, name) <= 0.0:
            raise SettingsError(f"{name}: must be more than 0")
    return tuning


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command line; returns the exit status."""
    given = build_parser().parse_args(arguments)
    level = os.environ.get("LOG_LEVEL", "info")
    try:
        if level not in LEVELS:
            raise SettingsError(f"LOG_LEVEL: must be one of {', '.join(LEVELS)}, not {level!r}")
        tuning = read_tuning_options(given, os.environ)
        settings = load(given.config)
    except SettingsError as error:
        print(f"crosscleat: {error}", file=sys.stderr)
        return 2
    if given.check:
        print(f"{given.config}: ok, {settings.member} with {len(settings.peers)} peers")
        return 0
    logging.basicConfig(
        level=LEVELS[level],
        format=f"%(levelname).1s {settings.member} %(name)s %(message)s",
        stream=sys.stderr,
    )
    # Only now: a check needs neither the event loop nor the HTTP library.
    from .app import run

    run(settings, tuning)
    return 0
