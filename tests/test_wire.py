"""Tests of the wire adapter: malformed input is an error, unknown settings are ignored."""

import io
import json
from typing import Any

import pytest

from ternquay.balance import Balancer
from ternquay.wirehost import serve

FACTS: dict[str, Any] = {
    "Balancers": 1,
    "Quantum": 1000,
    "Unheard": {"Of": 1},
    "LoadReport": {"Names": ["never_seen"], "Source": "probe"},
    "Profiles": [{"Name": "clip", "Semantics": "repeatable", "ServiceGoal": 500000, "HardLimit": 900000}],
    "Limits": {"ParallelTries": False, "MostHops": 3, "RetryAfter": True, "MaxRetryAfter": 50000},
    "Invariants": {"ColdShare": 0.2, "WarmWithin": 9000000, "TipMultiple": 3.0, "Fall": 1000000},
}
HOST = {
    "Host": "10.0.0.1:80",
    "Locality": "a",
    "ClassOfHost": "k",
    "Block": 0,
    "Availability": "IN",
    "CapacityHint": 1,
    "OnlineSince": None,
}
BEGIN: list[dict[str, Any]] = [
    {"msg": "Init", "Who": 0, "Nonce64": 5, "Facts": FACTS},
    {"msg": "Membership", "Who": 0, "Mode": "Persisted", "Revision": 1, "Records": [HOST]},
]
ARRIVAL = {
    "msg": "Arrival",
    "Who": 0,
    "Corr": "t/a",
    "Type": "clip",
    "Realm": "nobody",
    "Subject": None,
    "Ttl": 400000,
    "Hint": None,
    "BytesHint": None,
    "IsRetry": None,
    "Mutates": False,
}


def encode_batch(*events: dict[str, Any]) -> bytes:
    lines: list[dict[str, Any]] = [{"msg": "Round", "Wall": 7000000}, *events, {"msg": "EofBatch"}]
    return b"".join(json.dumps(x).encode() + b"\n" for x in lines)


def run_adapter(*batches: bytes) -> list[dict[str, Any]]:
    out = io.BytesIO()
    serve.serve(io.BytesIO(b"".join(batches)), out)
    return [json.loads(x) for x in out.getvalue().splitlines()]


def test_a_transaction_is_sent_and_unknown_settings_are_ignored() -> None:
    messages = run_adapter(encode_batch(*BEGIN), encode_batch(ARRIVAL))
    assert {"msg": "Deliver", "Who": 0, "Corr": "t/a", "Host": "10.0.0.1:80", "NotPast": 7397000} in messages


@pytest.mark.parametrize("stats", [None, [], ["x"], "odd", [1.0, 2.0]])
def test_a_missing_or_odd_load_report_changes_nothing(stats: Any) -> None:
    probe = {"msg": "StatusBack", "Who": 0, "Took": 5, "StateCode": "done", "Host": HOST["Host"], "Stats": stats}
    assert (
        run_adapter(encode_batch(*BEGIN), encode_batch(probe, ARRIVAL))[-2:]
        == run_adapter(encode_batch(*BEGIN), encode_batch(ARRIVAL))[-2:]
    )


def test_a_killed_instance_loses_its_state_and_can_start_again() -> None:
    killed = {"msg": "Killed", "Who": 0}
    messages = run_adapter(encode_batch(*BEGIN, ARRIVAL), encode_batch(killed, *BEGIN, ARRIVAL | {"Corr": "t/b"}))
    assert [x["Corr"] for x in messages if x["msg"] == "Deliver"] == ["t/a", "t/b"]


@pytest.mark.parametrize(
    "text",
    [
        b"{\n",
        b"[1]\n",
        b'{"msg":"EofBatch"}\n',
        b'{"msg":"Round"}\n',
        b'{"msg":"Round","Wall":1}\n',
        encode_batch({"msg": "Sideways", "Who": 0}),
        encode_batch(ARRIVAL),
        encode_batch({"msg": "Init", "Who": 0, "Nonce64": 1}),
        encode_batch(*BEGIN, ARRIVAL | {"Type": "unheard"}),
        encode_batch(*BEGIN, {"msg": "Sideways", "Who": 0}),
    ],
)
def test_malformed_input_is_an_error(text: bytes) -> None:
    with pytest.raises(serve.WireError):
        run_adapter(text)


def test_an_exception_in_the_decisions_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise ValueError("broken on purpose")

    monkeypatch.setattr(Balancer, "decide", broken)
    messages = run_adapter(encode_batch(*BEGIN))
    assert messages[0]["msg"] == "GiveIn" and "broken on purpose" in messages[0]["BodyText"]
