"""Reads batches, hands each event to its instance, writes the actions back."""

import gc
from traceback import format_exc
from typing import Any, BinaryIO

import orjson

from ternquay import model as m
from ternquay.balance import Balancer
from ternquay.facts import US, NameTable, parse_deployment

ENDS = {
    "done": m.HopOutcome.DONE,
    "err": m.HopOutcome.ERROR,
    "busy": m.HopOutcome.FULL,
    "etimedout": m.HopOutcome.TIMED_OUT,
    "econnrefused": m.HopOutcome.UNREACHABLE,
    "econnreset": m.HopOutcome.RESET,
    "ecanceled": m.HopOutcome.CANCELLED,
    "skipped": m.HopOutcome.SKIPPED,
    "enoent": m.HopOutcome.MISS,
}
STANDINGS = {"IN": m.HostStatus.READY, "LAME": m.HostStatus.DRAINING, "OUT": m.HostStatus.GONE}


class WireError(Exception):
    """What came in is not the wire's."""


class Instance:
    """One balancer and the two tables that give its ids small indices."""

    def __init__(self, seed: int, facts: dict[str, Any]) -> None:
        self.balancer = Balancer(parse_deployment(seed, facts))
        self.hosts: dict[str, int] = {}
        self.addresses: list[str] = []
        self.txs: dict[str, int] = {}
        self.words: dict[int, str] = {}
        self.next_tx = 0
        self.names = NameTable(facts)

    def host(self, address: str) -> int:
        index = self.hosts.get(address)
        if index is None:
            index = self.hosts[address] = len(self.addresses)
            self.addresses.append(address)
        return index

    def lines(self, records: list[dict[str, Any]] | None) -> tuple[m.ListedHost, ...]:
        return tuple(
            m.ListedHost(
                host=self.host(r["Host"]),
                address=r["Host"],
                zone=self.names.zones.get(r.get("Locality"), -1),
                kind=self.names.kinds.get(r.get("ClassOfHost"), -1),
                cell=r.get("Block") or 0,
                status=STANDINGS[r["Availability"]],
                weight=float(r.get("CapacityHint") or 0.0),
                started_at=(r.get("OnlineSince") or 0) * US,
            )
            for r in records or ()
        )

    def arrival(self, e: dict[str, Any]) -> m.Event:
        tx = self.next_tx
        self.next_tx += 1
        word = e["Corr"]
        self.txs[word] = tx
        self.words[tx] = word
        return m.TxArrived(
            tx,
            self.names.profiles[e["Type"]],
            self.names.shares.get(e.get("Realm") or "", -1),
            e.get("Subject"),
            e["Ttl"] * US,
            bool(e.get("IsRetry")),
            bool(e.get("Mutates")),
        )

    def reply(self, e: dict[str, Any]) -> m.Event | None:
        tx = self.txs.get(e["Corr"])
        if tx is None:
            return None
        return m.HopEnded(
            tx,
            e["Trial"],
            ENDS[e["StateCode"]],
            e["Took"] * US,
            e["Ended"],
            e.get("Detail") or 0,
            self.names.parse_report(e.get("Stats")),
        )

    def event(self, e: dict[str, Any]) -> m.Event | None:
        name = e["msg"]
        if name == "Arrival":
            return self.arrival(e)
        if name == "Reply":
            return self.reply(e)
        if name == "Fired":
            return m.TimerFired()
        if name == "Gone":
            tx = self.txs.get(e["Corr"])
            return None if tx is None else m.ClientGone(tx)
        if name == "Membership":
            if e["Mode"] == "Error":
                return m.ListUnavailable()
            return m.ListChanged(e["Mode"] != "Partial", self.lines(e.get("Records")))
        if name in ("StatusBack", "Inbox", "Flowing"):
            return None  # nothing asks for probes, peers or streams yet
        raise WireError(f"unknown message {name!r}")

    def action(self, who: int, a: m.Action) -> dict[str, Any]:
        if isinstance(a, m.SendHop):
            return {
                "msg": "Deliver",
                "Who": who,
                "Corr": self.words[a.tx],
                "Host": self.addresses[a.host],
                "NotPast": a.deadline // US,
            }
        if isinstance(a, m.SetTimer):
            return {"msg": "Defer", "Who": who, "Nonce": "t", "When": -(-a.at // US)}
        if isinstance(a, m.RollBack):
            return {"msg": "Busy", "Who": who, "Corr": self.words[a.tx], "Backoff": a.backoff // US}
        if isinstance(a, m.Abandon):
            return {"msg": "Fail", "Who": who, "Corr": self.words[a.tx]}
        if isinstance(a, m.CancelHop):
            return {"msg": "AbortAttempt", "Who": who, "Corr": self.words[a.tx], "Trial": a.hop}
        return {"msg": "Subscribe", "Who": who, "Want": True}


def read(line: bytes) -> dict[str, Any]:
    try:
        value = orjson.loads(line)
    except orjson.JSONDecodeError as fault:
        raise WireError(f"not JSON: {line[:80]!r}") from fault
    if not isinstance(value, dict) or "msg" not in value:
        raise WireError(f"not a message: {line[:80]!r}")
    return value


class Host:
    """All the instances of this process. They share nothing."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def one(self, now: int, e: dict[str, Any], out: list[bytes]) -> None:
        who = e["Who"]
        name = e["msg"]
        if name == "Init":
            self.instances[who] = Instance(e["Nonce64"], e["Facts"])
            return
        if name == "Killed":
            self.instances.pop(who, None)
            return
        instance = self.instances[who]
        happened = instance.event(e)
        if happened is None:
            return
        try:
            actions = instance.balancer.decide(now, happened)
        except Exception:
            out.append(orjson.dumps({"msg": "GiveIn", "Who": who, "BodyText": format_exc()[-2000:]}))
            return
        for a in actions:
            out.append(orjson.dumps(instance.action(who, a)))

    def batch(self, now: int, events: list[dict[str, Any]]) -> bytes:
        out: list[bytes] = []
        for e in events:
            try:
                self.one(now, e, out)
            except (KeyError, TypeError, AttributeError) as fault:
                raise WireError(f"malformed {e.get('msg')}: {fault!r}") from fault
        out.append(b'{"msg":"Eor"}\n')
        return b"\n".join(out)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    gc.freeze()
    gc.disable()  # no cycles are kept; a collection within a batch would be booked as CPU
    host = Host()
    now: int | None = None
    events: list[dict[str, Any]] = []
    for line in source:
        e = read(line)
        name = e["msg"]
        if name == "Round":
            if now is not None or not isinstance(e.get("Wall"), int):
                raise WireError("a round within a round, or without its clock")
            now = e["Wall"] * US
        elif now is None:
            raise WireError(f"{name} outside a round")
        elif name == "EofBatch":
            sink.write(host.batch(now, events))
            sink.flush()
            now, events = None, []
        else:
            events.append(e)
    if now is not None:
        raise WireError("the input ended within a round")
