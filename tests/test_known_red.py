"""Of the tests that are known to fail, CI passes over just these, and tells of each."""

import subprocess
import sys
from pathlib import Path

import pytest

RUNNER = Path(__file__).parents[1] / ".ci" / "known_red.py"
TESTS = "def test_good():\n    pass\n\n\ndef test_bad():\n    assert False\n\n\ndef test_worse():\n    assert 1 == 2\n"
CASE = "test_x.py::test_bad | pytest -k bad, twelve at once | 7 | 21 of 180 runs fail | 33"
CASE_WITHOUT_TEST = "- | rig play calm | 5 | one answer late | 47"
BAD, WORSE = "test_x.py::test_bad, the clock stands still, 43", "test_x.py::test_worse, one is not two, 7"


def run(folder: Path, *lines: str, tests: str = TESTS) -> "subprocess.CompletedProcess[str]":
    (folder / "test_x.py").write_text(tests)
    if lines:
        (folder / "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
    return subprocess.run(
        [sys.executable, str(RUNNER), "-q", "-p", "no:cacheprovider"],
        cwd=folder,
        text=True,
        capture_output=True,
        timeout=60,
    )


def test_the_failing_of_those_it_names_is_passed_over_and_told(tmp_path: Path) -> None:
    done = run(tmp_path, BAD, WORSE)
    assert done.returncode == 0 and "2 failed, 1 passed" in done.stdout
    assert "known red: test_x.py::test_bad: the clock stands still (issue 43)" in done.stdout
    assert "known red: test_x.py::test_worse: one is not two (issue 7)" in done.stdout


@pytest.mark.parametrize(
    ("lines", "said"),
    [
        ((), "2 failed"),
        ((BAD,), "2 failed"),
        (
            (BAD, WORSE, "test_x.py::test_good, never, 1"),
            "passes, and is to be taken off the list: test_x.py::test_good",
        ),
        ((BAD, WORSE, "test_x.py::test_gone, never, 1"), "no such test: test_x.py::test_gone"),
        ((BAD, WORSE, CASE.replace("_bad", "_gone")), "no such test: test_x.py::test_gone"),
        ((CASE,), "2 failed"),
        ((CASE, CASE_WITHOUT_TEST), "2 failed"),
    ],
)
def test_all_other_failings_and_a_list_that_is_not_so_fail_the_run(
    tmp_path: Path, lines: tuple[str, ...], said: str
) -> None:
    done = run(tmp_path, *lines)
    assert done.returncode == 1 and said in done.stdout


@pytest.mark.parametrize(
    ("lines", "said"),
    [
        ((BAD, WORSE, "a.py::b, c, 1", "a.py::d, e, 2"), "4 tests, at most 3"),
        (("test_x.py::test_bad, no issue",), "not 'test, cause, issue'"),
        (("test_bad, a cause, 3",), "not 'test,"),
        (("test_x.py::test_bad, a cause, three",), "not 'test,"),
        (("just words",), "not 'test,"),
        ((BAD, BAD), "named twice"),
        ((BAD, CASE), "named twice"),
        ((CASE.rpartition("|")[0],), "not 'test | command | seed | what was seen | issue'"),
        ((CASE.replace("7", " "),), "not 'test | command"),
        ((CASE.replace("33", "soon"),), "not 'test | command"),
        ((CASE.replace("::", " "),), "not 'test | command"),
    ],
)
def test_a_list_that_can_not_be_read_fails_before_any_test(tmp_path: Path, lines: tuple[str, ...], said: str) -> None:
    done = run(tmp_path, *lines)
    assert done.returncode == 2 and said in done.stderr and not done.stdout


@pytest.mark.parametrize("fails", [True, False])
def test_a_found_case_is_printed_and_passed_over_whether_it_fails_or_not(tmp_path: Path, fails: bool) -> None:
    tests = "def test_good():\n    pass\n\n\ndef test_bad():\n    assert %s\n" % (not fails)
    done = run(tmp_path, CASE, CASE_WITHOUT_TEST, tests=tests)
    text = "test_x.py::test_bad: pytest -k bad, twelve at once, seed 7: 21 of 180 runs fail (issue 33)"
    assert (
        done.returncode == 0
        and ("known red: " if fails else "known case, not seen in this run: ") + text in done.stdout
    )
    assert "known case, not seen in this run: -: rig play calm, seed 5: one answer late (issue 47)" in done.stdout


def test_a_found_case_does_not_excuse_another_test_that_fails_beside_it(tmp_path: Path) -> None:
    assert run(tmp_path, CASE).returncode == 1
    done = run(tmp_path, CASE, WORSE)
    assert done.returncode == 0 and "2 failed, 1 passed" in done.stdout


def test_without_a_list_and_with_an_empty_one_all_must_pass(tmp_path: Path) -> None:
    good = "def test_good():\n    pass\n"
    assert run(tmp_path, tests=good).returncode == 0
    assert run(tmp_path, "", tests=good).returncode == 0
    assert run(tmp_path, "", tests=TESTS).returncode == 1


def test_a_test_that_is_skipped_is_not_one_that_fails(tmp_path: Path) -> None:
    skipped = "import pytest\n\n\ndef test_bad():\n    pytest.skip()\n"
    done = run(tmp_path, BAD, tests=skipped)
    assert done.returncode == 1 and "skipped: test_x.py::test_bad" in done.stdout
