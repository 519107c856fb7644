"""A pytest plugin that expects the failures listed in `KNOWN-RED.txt`, and prints them.

The file, at the root of the repository, names tests that fail for a real fault. They are run like
all others, but marked as strictly expected failures: a listed test that passes fails the run. So do
a malformed line, a test that is listed twice and, in a run of all tests, a listed test that does
not exist.
"""

from __future__ import annotations

import itertools
from pathlib import Path
from typing import NamedTuple

import pytest

LIST_FILE = "KNOWN-RED.txt"
FIELDS = ("test id", "command and seed", "what was seen", "issue")
"""The fields of a line, in their order."""

LINE_FORMAT = " | ".join(FIELDS)
SELECTION_OPTIONS = ("keyword", "markexpr", "deselect", "ignore", "ignore_glob", "lf", "stepwise")
"""Options of pytest that run only some of the tests."""


class KnownFailure(NamedTuple):
    """One entry of the list."""

    test: str
    command: str
    """A command that reproduces the failure, with its seed if the test uses random values."""
    seen: str
    issue: str

    def __str__(self) -> str:
        return f"{self.seen} ({self.issue}); {self.command}"


def parse(text: str) -> dict[str, KnownFailure]:
    """Parse the list into failures by test id; raises pytest.UsageError for an invalid line."""
    failures: dict[str, KnownFailure] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        failure = _parse_line(number, line)
        if failure.test in failures:
            raise pytest.UsageError(f"{LIST_FILE}:{number}: duplicate entry: {failure.test}")
        failures[failure.test] = failure
    return failures


def _parse_line(number: int, line: str) -> KnownFailure:
    """Parse an entry; raises pytest.UsageError that names the line and the first missing field."""
    parts = [part.strip() for part in line.split("|")]
    if len(parts) > len(FIELDS):
        raise pytest.UsageError(
            f"{LIST_FILE}:{number}: {len(parts)} fields, expected `{LINE_FORMAT}`: {line}"
        )
    for name, part in itertools.zip_longest(FIELDS, parts, fillvalue=""):
        if not part:
            raise pytest.UsageError(
                f"{LIST_FILE}:{number}: missing {name}, expected `{LINE_FORMAT}`: {line}"
            )
    return KnownFailure(*parts)


def register(config: pytest.Config) -> None:
    """Read the list and, unless it is empty, register the plugin for this run."""
    path: Path = config.rootpath / LIST_FILE
    known = parse(path.read_text()) if path.exists() else {}
    if known:
        config.pluginmanager.register(KnownFailuresPlugin(known), "known-red")


def _is_full_run(config: pytest.Config) -> bool:
    """Whether all tests are run: neither a path nor an option selects some of them."""
    return config.args_source is not pytest.Config.ArgsSource.ARGS and not any(
        config.getoption(name, None) for name in SELECTION_OPTIONS
    )


class KnownFailuresPlugin:
    """Marks the listed tests, records their outcomes and prints them at the end of the run."""

    def __init__(self, known: dict[str, KnownFailure]) -> None:
        self._known = known
        self._outcomes = dict.fromkeys(known, "not run")

    @pytest.hookimpl(trylast=True)
    def pytest_collection_modifyitems(
        self, session: pytest.Session, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        """Mark the listed tests; in a run of all tests each of them must exist."""
        missing = dict(self._known)
        for item in items:
            failure = missing.pop(item.nodeid, None)
            if failure is not None:
                mark = pytest.mark.xfail(reason=f"listed in {LIST_FILE}: {failure}", strict=True)
                item.add_marker(mark, append=False)
        # A module that cannot be imported lacks its tests too; pytest reports it and fails the run.
        if missing and _is_full_run(config) and not session.testsfailed:
            raise pytest.UsageError(f"{LIST_FILE}: listed tests do not exist: {', '.join(missing)}")

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the outcome of a listed test."""
        if report.nodeid not in self._known:
            return
        if report.failed:
            self._outcomes[report.nodeid] = "error, see its report"
        elif report.skipped:
            passed_over = hasattr(report, "wasxfail")
            self._outcomes[report.nodeid] = "failed, passed over" if passed_over else "skipped"

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print each listed test with its outcome, what was seen, the issue and the command."""
        terminalreporter.section(f"known failures ({LIST_FILE})")
        for test, failure in self._known.items():
            terminalreporter.write_line(f"{test}: {self._outcomes[test]}: {failure}")
