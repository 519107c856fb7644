"""Effects of the list of known failures on a run, tested by running pytest on a small module.

The list must not hide more than it names: an unlisted failure, a listed test that passes and an
invalid entry must each fail the run. Otherwise a new fault, or a mended one, would go unnoticed.
"""

from __future__ import annotations

import pytest

CONFTEST = "from tests.known_red import register as pytest_configure"
MODULE = """
import pytest

def test_good(): pass

@pytest.mark.parametrize("number", [1, 2])
def test_bad(number): assert number == 1

@pytest.fixture
def broken(): raise ValueError("broken")

def test_without_fixture(broken): pass

@pytest.mark.skip(reason="not here")
def test_skipped(): pass
"""
FAILING = "test_some.py::test_bad[2]"
ERRORING = "test_some.py::test_without_fixture"
PASSING = "test_some.py::test_good"
RUN = "pytest -k some"
TWO_ENTRIES = (
    f"{FAILING} | {RUN}, seed 7 | off by one | #12\n{ERRORING} | {RUN} | no fixture | #13\n"
)


def run(
    pytester: pytest.Pytester, entries: str | None, *arguments: str, module: str = MODULE
) -> pytest.RunResult:
    """Run pytest on the module, with this text as the list; None: without a list."""
    pytester.makeini("[pytest]\naddopts = -q")
    pytester.makeconftest(CONFTEST)
    pytester.makepyfile(test_some=module)
    if entries is not None:
        (pytester.path / "KNOWN-RED.txt").write_text(entries)
    return pytester.runpytest(*arguments)


@pytest.mark.parametrize("entries", [None, "", "# nothing\n\n"])
def test_an_empty_list_changes_nothing(pytester: pytest.Pytester, entries: str | None) -> None:
    result = run(pytester, entries)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=2, failed=1, errors=1, skipped=1)
    result.stdout.no_fnmatch_line("*KNOWN-RED*")


def test_listed_failures_are_passed_over_and_printed(pytester: pytest.Pytester) -> None:
    result = run(pytester, f"# two\n{TWO_ENTRIES}")
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=2, xfailed=2, skipped=1)
    result.stdout.fnmatch_lines(
        [
            "*known failures (KNOWN-RED.txt)*",
            f"test_some.py::test_bad[[]2]: failed, passed over: off by one (#12); {RUN}, seed 7",
            f"test_some.py::test_without_fixture: failed, passed over: no fixture (#13); {RUN}",
        ]
    )


def test_a_failure_that_is_not_listed_fails_the_run(pytester: pytest.Pytester) -> None:
    result = run(pytester, f"{FAILING} | {RUN} | off by one | #12\n")
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=2, xfailed=1, errors=1, skipped=1)


@pytest.mark.parametrize("arguments", [(), ("test_some.py",), ("-k", "good or bad")])
def test_a_listed_test_that_passes_fails_the_run(
    pytester: pytest.Pytester, arguments: tuple[str, ...]
) -> None:
    result = run(pytester, f"{TWO_ENTRIES}{PASSING} | {RUN} | slow | #14\n", *arguments)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert result.parseoutcomes()["failed"] == 1
    result.stdout.fnmatch_lines(
        [
            f"[[]XPASS(strict)] listed in KNOWN-RED.txt: slow (#14); {RUN}",
            f"test_some.py::test_good: error, see its report: slow (#14); {RUN}",
        ]
    )


def test_an_xfail_mark_of_the_test_does_not_override_the_list(pytester: pytest.Pytester) -> None:
    module = "import pytest\n@pytest.mark.xfail(strict=False)\ndef test_good(): pass\n"
    result = run(pytester, f"{PASSING} | {RUN} | slow | #14\n", module=module)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.fnmatch_lines([f"[[]XPASS(strict)] listed in KNOWN-RED.txt: slow (#14); {RUN}"])


def test_any_number_of_listed_failures_is_passed_over(pytester: pytest.Pytester) -> None:
    # The number of entries is not limited: the operators withdrew an earlier limit of three.
    numbers = range(2, 12)
    module = MODULE.replace("[1, 2]", str(list(numbers)))
    entries = "".join(f"test_some.py::test_bad[{n}] | {RUN} | cause {n} | #{n}\n" for n in numbers)
    result = run(pytester, entries, "-k", "bad", module=module)
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(xfailed=len(numbers), deselected=3)
    result.stdout.fnmatch_lines(
        [
            f"test_some.py::test_bad[[]{n}]: failed, passed over: cause {n} (#{n}); {RUN}"
            for n in numbers
        ]
    )


@pytest.mark.parametrize(
    ("line", "error"),
    [
        (FAILING, "missing command and seed"),
        (f"{FAILING} | {RUN}", "missing what was seen"),
        (f"{FAILING} | {RUN} | off by one", "missing issue"),
        (f"{FAILING} | {RUN} | off by one | #12 | more", "5 fields"),
        (f"{FAILING} |  | off by one | #12", "missing command and seed"),
        (f"{FAILING} | {RUN} |  | #12", "missing what was seen"),
        (f"{FAILING} | {RUN} | off by one |", "missing issue"),
        (f" | {RUN} | off by one | #12", "missing test id"),
        (f" # {FAILING}", "missing command and seed"),
        (" | | |", "missing test id"),
    ],
)
def test_a_malformed_line_is_rejected(pytester: pytest.Pytester, line: str, error: str) -> None:
    result = run(pytester, f"# one\n{line}\n", "test_some.py")
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(
        [
            f"*KNOWN-RED.txt:2: {error}, "
            "expected `test id | command and seed | what was seen | issue`: *"
        ]
    )


def test_a_test_that_is_listed_twice_is_rejected(pytester: pytest.Pytester) -> None:
    result = run(
        pytester, f"{FAILING} | {RUN} | off by one | #12\n{FAILING} | {RUN} | another | #13\n"
    )
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([r"*KNOWN-RED.txt:2: duplicate entry: test_some.py::test_bad[[]2]"])


ENTRIES_WITH_MISSING_TEST = f"{TWO_ENTRIES}test_some.py::test_gone | {RUN} | lost | #15\n"


def test_a_listed_test_that_does_not_exist_fails_a_full_run(pytester: pytest.Pytester) -> None:
    result = run(pytester, ENTRIES_WITH_MISSING_TEST)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines(
        ["*KNOWN-RED.txt: listed tests do not exist: test_some.py::test_gone"]
    )


@pytest.mark.parametrize("arguments", [("test_some.py",), ("-k", "bad"), ("--deselect", PASSING)])
def test_a_listed_test_may_be_missing_from_a_partial_run(
    pytester: pytest.Pytester, arguments: tuple[str, ...]
) -> None:
    result = run(pytester, ENTRIES_WITH_MISSING_TEST, *arguments)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        [
            f"test_some.py::test_bad[[]2]: failed, passed over: off by one (#12); {RUN}, seed 7",
            f"test_some.py::test_gone: not run: lost (#15); {RUN}",
        ]
    )


def test_a_module_that_cannot_be_imported_is_reported(pytester: pytest.Pytester) -> None:
    result = run(pytester, ENTRIES_WITH_MISSING_TEST, module="import nothing_of_this_name\n")
    assert result.ret == pytest.ExitCode.INTERRUPTED
    result.stdout.fnmatch_lines(["ERROR test_some.py"])


def test_a_listed_test_that_is_skipped_is_printed_as_such(pytester: pytest.Pytester) -> None:
    result = run(pytester, f"test_some.py::test_skipped | {RUN} | cause | #16\n", "-k", "skipped")
    result.stdout.fnmatch_lines([f"test_some.py::test_skipped: skipped: cause (#16); {RUN}"])
