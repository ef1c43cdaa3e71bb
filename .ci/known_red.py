"""Runs the tests as pytest does; the failing of those that KNOWN-RED.txt names, and of no others, is passed over.

One line for each: the test as pytest names it, the cause, the issue; three at most. A line that is malformed, names no
test that there is, or names one that passes fails the run.
"""

import sys
from pathlib import Path
from typing import Any

import pytest

MOST = 3


class BadList(Exception):
    """KNOWN-RED.txt can't be taken; the text says why."""


def read(path: Path) -> dict[str, str]:
    """What is said of each test, by its name."""
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    if len(lines) > MOST:
        raise BadList(f"{len(lines)} tests, at most {MOST} may be known to fail")
    found: dict[str, str] = {}
    for line in lines:
        name, _, rest = (part.strip() for part in line.partition(", "))
        cause, _, issue = (part.strip() for part in rest.rpartition(", "))
        if "::" not in name or not cause or not issue.isdigit():
            raise BadList(f"not 'test, cause, issue': {line!r:.90}")
        if name in found:
            raise BadList(f"named twice: {name}")
        found[name] = f"{cause} (issue {issue})"
    return found


class Reds:
    def __init__(self, known: dict[str, str]) -> None:
        self.known = known
        self.ran: set[str] = set()
        self.failed: set[str] = set()
        self.skipped: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[Any]) -> None:
        self.ran = {item.nodeid for item in items}

    def pytest_runtest_logreport(self, report: Any) -> None:
        if report.failed:
            self.failed.add(report.nodeid)
        elif report.skipped:
            self.skipped.add(report.nodeid)

    @pytest.hookimpl(trylast=True)
    def pytest_sessionfinish(self, session: Any, exitstatus: int) -> None:
        if exitstatus == pytest.ExitCode.TESTS_FAILED and self.failed and self.failed <= self.known.keys():
            session.exitstatus = pytest.ExitCode.OK
        if self.wrong():
            session.exitstatus = max(pytest.ExitCode.TESTS_FAILED, session.exitstatus)

    def wrong(self) -> list[str]:
        """What the list says that is not so."""
        found = [f"no such test: {name}" for name in self.known if name not in self.ran]
        found += [f"skipped: {name}" for name in self.known if name in self.skipped]
        return found + [
            f"passes, and is to be taken off the list: {name}"
            for name in self.known
            if name in self.ran - self.failed - self.skipped
        ]

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        for name, said in self.known.items():
            if name in self.failed:
                terminalreporter.write_line(f"known red: {name}: {said}")
        for line in self.wrong():
            terminalreporter.write_line(f"KNOWN-RED.txt: {line}")


def main(args: list[str]) -> int:
    try:
        known = read(Path("KNOWN-RED.txt"))
    except BadList as fault:
        print(f"KNOWN-RED.txt: {fault}", file=sys.stderr)
        return 2
    return int(pytest.main(args, plugins=[Reds(known)]))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
