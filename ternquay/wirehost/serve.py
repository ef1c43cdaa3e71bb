"""Reads batches of events, passes each event to its balancer instance, and writes the actions."""

import gc
from traceback import format_exc
from typing import Any, BinaryIO

import orjson

from ternquay import model as m
from ternquay.balance import Balancer
from ternquay.facts import US, NameTable, parse_deployment

OUTCOMES = {
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
STATUSES = {"IN": m.HostStatus.READY, "LAME": m.HostStatus.DRAINING, "OUT": m.HostStatus.GONE}


class WireError(Exception):
    """The input violates the wire protocol."""


class Instance:
    """One balancer, with the tables that map ids on the wire to indices."""

    def __init__(self, seed: int, facts: dict[str, Any]) -> None:
        self.balancer = Balancer(parse_deployment(seed, facts))
        self.hosts: dict[str, int] = {}
        self.addresses: list[str] = []
        self.txs: dict[str, int] = {}
        self.correlations: dict[int, str] = {}
        self.next_tx = 0
        self.names = NameTable(facts)

    def host_index(self, address: str) -> int:
        """The index of a host; an unknown address gets the next one."""
        index = self.hosts.get(address)
        if index is None:
            index = self.hosts[address] = len(self.addresses)
            self.addresses.append(address)
        return index

    def listed_hosts(self, records: list[dict[str, Any]] | None) -> tuple[m.ListedHost, ...]:
        return tuple(
            m.ListedHost(
                host=self.host_index(r["Host"]),
                address=r["Host"],
                zone=self.names.zones.get(r.get("Locality"), -1),
                kind=self.names.kinds.get(r.get("ClassOfHost"), -1),
                cell=r.get("Block") or 0,
                status=STATUSES[r["Availability"]],
                weight=float(r.get("CapacityHint") or 0.0),
                started_at=(r.get("OnlineSince") or 0) * US,
            )
            for r in records or ()
        )

    def decode_arrival(self, message: dict[str, Any]) -> m.Event:
        tx = self.next_tx
        self.next_tx += 1
        correlation = message["Corr"]
        self.txs[correlation] = tx
        self.correlations[tx] = correlation
        return m.TxArrived(
            tx,
            self.names.profiles[message["Type"]],
            self.names.shares.get(message.get("Realm") or "", -1),
            message.get("Subject"),
            message["Ttl"] * US,
            bool(message.get("IsRetry")),
            bool(message.get("Mutates")),
        )

    def decode_reply(self, message: dict[str, Any]) -> m.Event | None:
        tx = self.txs.get(message["Corr"])
        if tx is None:
            return None
        return m.HopEnded(
            tx,
            message["Trial"],
            OUTCOMES[message["StateCode"]],
            message["Took"] * US,
            message["Ended"],
            message.get("Detail") or 0,
            self.names.parse_report(message.get("Stats")),
        )

    def decode_event(self, message: dict[str, Any]) -> m.Event | None:
        """The event that a message stands for, or None if the balancer ignores it. Raises WireError."""
        name = message["msg"]
        if name == "Arrival":
            return self.decode_arrival(message)
        if name == "Reply":
            return self.decode_reply(message)
        if name == "Fired":
            return m.TimerFired()
        if name == "Gone":
            tx = self.txs.get(message["Corr"])
            return None if tx is None else m.ClientGone(tx)
        if name == "Membership":
            if message["Mode"] == "Error":
                return m.ListUnavailable()
            return m.ListChanged(message["Mode"] != "Partial", self.listed_hosts(message.get("Records")))
        if name in ("StatusBack", "Inbox", "Flowing"):
            return None  # no action requests probes, peer messages or streams yet
        raise WireError(f"unknown message {name!r}")

    def encode_action(self, instance_id: int, action: m.Action) -> dict[str, Any]:
        if isinstance(action, m.SendHop):
            return {
                "msg": "Deliver",
                "Who": instance_id,
                "Corr": self.correlations[action.tx],
                "Host": self.addresses[action.host],
                "NotPast": action.deadline // US,
            }
        if isinstance(action, m.SetTimer):
            return {"msg": "Defer", "Who": instance_id, "Nonce": "t", "When": -(-action.at // US)}
        if isinstance(action, m.RollBack):
            return {
                "msg": "Busy",
                "Who": instance_id,
                "Corr": self.correlations[action.tx],
                "Backoff": action.backoff // US,
            }
        if isinstance(action, m.Abandon):
            return {"msg": "Fail", "Who": instance_id, "Corr": self.correlations[action.tx]}
        if isinstance(action, m.CancelHop):
            return {
                "msg": "AbortAttempt",
                "Who": instance_id,
                "Corr": self.correlations[action.tx],
                "Trial": action.hop,
            }
        return {"msg": "Subscribe", "Who": instance_id, "Want": True}


def decode_line(line: bytes) -> dict[str, Any]:
    """A message. Raises WireError."""
    try:
        value = orjson.loads(line)
    except orjson.JSONDecodeError as fault:
        raise WireError(f"not JSON: {line[:80]!r}") from fault
    if not isinstance(value, dict) or "msg" not in value:
        raise WireError(f"not a message: {line[:80]!r}")
    return value


class InstanceTable:
    """All balancer instances of this process. They share no state."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def handle(self, now: int, message: dict[str, Any], out: list[bytes]) -> None:
        """Handle one message and append the encoded actions to `out`."""
        instance_id = message["Who"]
        name = message["msg"]
        if name == "Init":
            self.instances[instance_id] = Instance(message["Nonce64"], message["Facts"])
            return
        if name == "Killed":
            self.instances.pop(instance_id, None)
            return
        instance = self.instances[instance_id]
        event = instance.decode_event(message)
        if event is None:
            return
        try:
            actions = instance.balancer.decide(now, event)
        except Exception:
            out.append(orjson.dumps({"msg": "GiveIn", "Who": instance_id, "BodyText": format_exc()[-2000:]}))
            return
        for action in actions:
            out.append(orjson.dumps(instance.encode_action(instance_id, action)))

    def handle_batch(self, now: int, events: list[dict[str, Any]]) -> bytes:
        out: list[bytes] = []
        for message in events:
            try:
                self.handle(now, message, out)
            except (KeyError, TypeError, AttributeError) as fault:
                raise WireError(f"malformed {message.get('msg')}: {fault!r}") from fault
        out.append(b'{"msg":"Eor"}\n')
        return b"\n".join(out)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Serve batches until the input ends. Raises WireError if the input violates the protocol."""
    gc.freeze()
    gc.disable()  # no reference cycles arise, and a collection would count as CPU time of a batch
    table = InstanceTable()
    now: int | None = None
    events: list[dict[str, Any]] = []
    for line in source:
        message = decode_line(line)
        name = message["msg"]
        if name == "Round":
            if now is not None or not isinstance(message.get("Wall"), int):
                raise WireError("Round inside a round, or without an integer Wall")
            now = message["Wall"] * US
        elif now is None:
            raise WireError(f"{name} outside a round")
        elif name == "EofBatch":
            sink.write(table.handle_batch(now, events))
            sink.flush()
            now, events = None, []
        else:
            events.append(message)
    if now is not None:
        raise WireError("input ended inside a round")
