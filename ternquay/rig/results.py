"""Writes what came of a play: `result.json`, and the evidence of each breach in `breaches.json`."""

import json
from pathlib import Path
from typing import Any

import msgspec

from ternquay.rig.judge import Breach
from ternquay.rig.system_calls import failure_counts

EVIDENCE_MOST = 200


def write_result(out: Path, result: dict[str, Any], breaches: list[Breach]) -> None:
    """With the system calls that failed, and the steps of clocks, as the processes' own logs count them."""
    out.mkdir(parents=True, exist_ok=True)
    result["struck"] = dict(sorted(failure_counts(out / "logs").items()))
    (out / "result.json").write_text(json.dumps(result, indent=1) + "\n")
    kept = [msgspec.structs.asdict(b) for b in breaches[:EVIDENCE_MOST]]
    (out / "breaches.json").write_text(json.dumps(kept, indent=1) + "\n")
