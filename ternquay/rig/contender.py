"""What is played: a revision of the repository, a settings file, or a baseline, and how its process is started."""

import subprocess
import sys
import tarfile
from dataclasses import dataclass, field
from io import BytesIO
from pathlib import Path
from typing import Any

from ternquay.rig.baselines import MODULES
from ternquay.rig.terms import DayError, read_toml
from ternquay.rig.twins import TWINS

ROOT = Path(__file__).resolve().parents[2]
TABLES = {"settings", "limits"}


@dataclass(slots=True, frozen=True)
class Contender:
    """`over` is laid over each balancer's configuration; `tree` is where its program is run from."""

    name: str
    decisions: str = "pat"
    tree: Path = ROOT
    over: dict[str, Any] = field(default_factory=dict)

    def command(self, config: Path) -> list[str]:
        if self.decisions != "pat":
            return [sys.executable, "-m", "ternquay.rig.balancer", self.decisions, str(config)]
        return [sys.executable, "-m", "ternquay", "serve", "--config", str(config)]


def by_decisions(name: str) -> Contender:
    if name != "pat" and name not in MODULES and name not in TWINS:
        raise DayError(f"--decisions: {name}: there are pat, {', '.join([*MODULES, *TWINS])}")
    return Contender(name, name)


def contender(name: str, scratch: Path) -> Contender:
    """`now` is the work tree; a revision is unpacked below `scratch`."""
    if name in ("now", "pat"):
        return Contender(name)
    if name in MODULES:
        return Contender(name, name)
    if name.endswith(".toml"):
        return Contender(Path(name).stem, over=read_settings(Path(name)))
    return Contender(name, tree=unpacked(name, scratch))


def read_settings(path: Path) -> dict[str, Any]:
    told = read_toml(path)
    for name, table in told.items():
        if name not in TABLES or not isinstance(table, dict):
            raise DayError(f"{path}: {name}: only the tables settings and limits are known")
    return told


def unpacked(revision: str, scratch: Path) -> Path:
    """The tree of a revision of this repository."""
    found = subprocess.run(
        ["git", "-C", str(ROOT), "rev-parse", "--verify", "--quiet", "--end-of-options", f"{revision}^{{commit}}"],
        capture_output=True,
        text=True,
        check=False,
    )
    if found.returncode:
        raise DayError(f"{revision}: no revision, settings file or baseline of that name")
    where = scratch / found.stdout.strip()[:12]
    if not where.exists():
        packed = subprocess.run(
            ["git", "-C", str(ROOT), "archive", found.stdout.strip()], capture_output=True, check=True
        ).stdout
        where.mkdir(parents=True)
        with tarfile.open(fileobj=BytesIO(packed)) as archive:
            archive.extractall(where, filter="data")
    return where
