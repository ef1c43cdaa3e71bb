"""Runs the tests as pytest does and passes over the failures that KNOWN-RED.txt lists, and over no others.

One line for each entry, in one of two forms:

    test, cause, issue                                   a test that always fails
    test | command | seed | what was seen | issue        a found case, which fails now and then

The test is named as pytest names it. It has to exist, and at most three may be listed. A found case that no test plays
has "-" in place of the test; nothing is passed over for it. All found cases are printed, and each listed test that
failed. A line that is malformed, names no existing test, or names a test that always fails and has passed, fails the
run.
"""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

MAX_TESTS = 3
NO_TEST = "-"


class BadList(Exception):
    """KNOWN-RED.txt can't be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One line of KNOWN-RED.txt."""

    test: str
    text: str  # what is printed of it
    always_fails: bool


def read(path: Path) -> list[Entry]:
    """Returns the entries of the file, none if there is no file. Raises BadList."""
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    entries = [parse_case(line) if "|" in line else parse_test(line) for line in lines]
    tests = [entry.test for entry in entries if entry.test != NO_TEST]
    if len(tests) > MAX_TESTS:
        raise BadList(f"{len(tests)} tests, at most {MAX_TESTS} may be known to fail")
    for test in tests:
        if tests.count(test) > 1:
            raise BadList(f"named twice: {test}")
    return entries


def parse_test(line: str) -> Entry:
    """Parses the line of a test that always fails."""
    name, _, rest = (part.strip() for part in line.partition(", "))
    cause, _, issue = (part.strip() for part in rest.rpartition(", "))
    if "::" not in name or not cause or not issue.isdigit():
        raise BadList(f"not 'test, cause, issue': {line!r:.90}")
    return Entry(name, f"{cause} (issue {issue})", always_fails=True)


def parse_case(line: str) -> Entry:
    """Parses the line of a found case."""
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 5 or not all(parts) or not parts[4].isdigit() or ("::" not in parts[0] and parts[0] != NO_TEST):
        raise BadList(f"not 'test | command | seed | what was seen | issue': {line!r:.90}")
    test, command, seed, seen, issue = parts
    return Entry(test, f"{command}, seed {seed}: {seen} (issue {issue})", always_fails=False)


class KnownRedPlugin:
    """A pytest plugin that applies the entries to a run."""

    def __init__(self, entries: list[Entry]) -> None:
        self.entries = entries
        self.tests = {entry.test for entry in entries if entry.test != NO_TEST}
        self.collected: set[str] = set()
        self.failed: set[str] = set()
        self.skipped: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[Any]) -> None:
        self.collected = {item.nodeid for item in items}

    def pytest_runtest_logreport(self, report: Any) -> None:
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.skipped:
            self.skipped.add(report.nodeid)

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: Any, exitstatus: int) -> None:
        if exitstatus == pytest.ExitCode.TESTS_FAILED and self.failed and self.failed <= self.tests:
            session.exitstatus = pytest.ExitCode.OK
        if self.errors():
            session.exitstatus = max(pytest.ExitCode.TESTS_FAILED, session.exitstatus)

    def errors(self) -> list[str]:
        """Returns what the file says that is not so."""
        listed = [entry for entry in self.entries if entry.test != NO_TEST]
        missing = [f"no such test: {entry.test}" for entry in listed if entry.test not in self.collected]
        skipped = [f"skipped: {entry.test}" for entry in listed if entry.test in self.skipped]
        passed = self.collected - self.failed - self.skipped
        return [
            *missing,
            *skipped,
            *(
                f"passes, and is to be taken off the list: {entry.test}"
                for entry in listed
                if entry.always_fails and entry.test in passed
            ),
        ]

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        for entry in self.entries:
            if entry.test in self.failed:
                terminalreporter.write_line(f"known red: {entry.test}: {entry.text}")
            elif not entry.always_fails:
                terminalreporter.write_line(f"known case, not seen in this run: {entry.test}: {entry.text}")
        for error in self.errors():
            terminalreporter.write_line(f"KNOWN-RED.txt: {error}")


def main(args: list[str]) -> int:
    try:
        entries = read(Path("KNOWN-RED.txt"))
    except BadList as fault:
        print(f"KNOWN-RED.txt: {fault}", file=sys.stderr)
        return 2
    return int(pytest.main(args, plugins=[KnownRedPlugin(entries)]))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
