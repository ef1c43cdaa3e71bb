"""A fleet of hosted services as separate processes, with a proxy layer that partitions, delays and loses messages."""

import signal
import time
from collections.abc import Callable
from itertools import count
from pathlib import Path
from typing import Any

from ternquay.rig.between import Between
from ternquay.rig.ports import free_place
from tests.hosted_helper import HostedService, HttpReply, document

KEY = b"0123456789abcdef0123456789abcdef"
READ_COMMAND = b"mg k1 v Oi%d Pc=read,d=800\r\n"
read_ids = count(1)


def read_command() -> bytes:
    """Returns a read of one key, with an id of its own."""
    return READ_COMMAND % next(read_ids)


class MemberProcess(HostedService):
    """One member; its tenants' listeners are bound to `address`. `fault`: a mode of the launcher, "" for none."""

    def __init__(self, folder: Path, name: str, number: int, operator: str, peers: str) -> None:
        folder.mkdir()
        (folder / "fleet.key").write_bytes(KEY)
        self.name, self.address, self.fault = name, f"127.7.0.{number + 1}", ""
        super().__init__(
            folder,
            tls=f'[peers]\nfleet = "test"\nme = "{name}"\nkey_file = "fleet.key"\n'
            f'address = "{self.address}"\n{peers}\n',
        )
        self.config_text = self.config_text.replace(self.digest(self.operator_token), self.digest(operator))
        self.operator_token = operator
        self.config_file.write_text(self.config_text)

    def command(self) -> list[str]:
        return ["-m", "tests.fleet_launcher", self.fault, str(self.folder)] if self.fault else super().command()

    @staticmethod
    def digest(token: str) -> str:
        from ternquay.hosted.administration import keys

        return keys.digest_of(token).hex()

    def pause(self) -> None:
        """Stops the process with SIGSTOP."""
        assert self.process is not None
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGCONT)

    def status(self) -> Any:
        return self.call("GET", "/v1/fleet").body

    def read(self, port: int, wait: float = 0.4) -> bytes:
        """What a client gets for one read: a value, a busy answer, or nothing. The id of the read counts as `i1`."""
        number = next(read_ids)
        answer = self.exchange(f"{self.address}:{port}", READ_COMMAND % number, wait)
        return answer.replace(b" Oi%d\r\n" % number, b" Oi1\r\n")


class FleetProcesses:
    """The processes of one fleet, by their members' names."""

    def __init__(self, folder: Path, names: str = "abc", more: str = "", fault: str = "") -> None:
        from ternquay.hosted.administration import keys

        addresses = {name: HostedService.parse_address(free_place("127.0.0.1")) for name in names}
        self.between = Between(addresses)
        operator = keys.generate_token("", "main")
        self.members: dict[str, MemberProcess] = {}
        self.port = HostedService.parse_address(free_place("127.7.0.1"))[1]
        for n, name in enumerate(names):
            rows = "".join(
                '[[peers.members]]\nname = "{}"\nplace = "{}"\n'.format(
                    other, "{}:{}".format(*addresses[name]) if other == name else self.between.place(name, other)
                )
                for other in names
            )
            self.members[name] = MemberProcess(folder / name, name, n, operator, f"{more}\n{rows}")
            self.members[name].fault = fault

    def start(self, *names: str) -> "FleetProcesses":
        for name in names or self.members:
            self.members[name].launch()
        for name in names or self.members:
            self.members[name].wait_until_ready()
        return self

    def end(self) -> None:
        for one in self.members.values():
            if one.process is not None and one.process.poll() is None:
                one.kill()
        self.between.end()

    def __getitem__(self, name: str) -> MemberProcess:
        return self.members[name]

    def wait_for_leader(self, among: str = "", within: float = 20.0) -> MemberProcess:
        """Waits until the members `among` agree on one of them as the leader, and returns it."""
        names = among or "".join(self.members)
        found: list[Any] = []

        def agreed() -> bool:
            found[:] = [self.members[name].status() for name in names]
            return len({row["leader"] for row in found}) == 1 and found[0]["leader"] in tuple(names)

        wait_until(agreed, within, lambda: str(found))
        return self.members[found[0]["leader"]]

    def others(self, one: MemberProcess) -> list[MemberProcess]:
        return [other for other in self.members.values() if other is not one]

    def create_tenant(self, at: MemberProcess, name: str, servers: tuple[str, ...] = (), **terms: Any) -> int:
        """Creates a tenant that listens on the returned port at every member."""
        port = HostedService.parse_address(free_place("127.7.0.1"))[1]
        found = self.call_until_final(at, "POST", "/v1/tenants", document(name, f"0.0.0.0:{port}", servers, **terms))
        assert found.status == 201, found.body
        return port

    def call_until_final(
        self, at: MemberProcess, method: str, path: str, body: Any = None, within: float = 15.0, key: str = ""
    ) -> HttpReply:
        """Repeats the same call, with the same key, until its answer is neither 503 nor 504."""
        end = time.monotonic() + within
        headers = {"idempotency_key": key or f"key-{time.monotonic_ns()}"}
        if method != "POST":
            headers["if_match"] = "*"
        while True:
            found = at.call(method, path, body, **headers)
            if found.status not in (503, 504) or time.monotonic() > end:
                return found
            time.sleep(0.05)

    def wait_converged(self, among: str = "", within: float = 15.0) -> int:
        """Waits until all members serve the same version, and returns it."""
        rows: list[Any] = []

        def converged() -> bool:
            rows[:] = [
                (one["version"], one["why"])
                for name in among or "".join(self.members)
                for one in self.members[name].status()["members"]
                if one["name"] == name
            ]
            return len(set(rows)) == 1 and not rows[0][1]

        wait_until(converged, within, lambda: str(rows))
        return int(rows[0][0])


def wait_until(condition: Callable[[], bool], within: float, describe: Callable[[], str] = lambda: "") -> None:
    """Fails with describe() if the condition does not hold within so many seconds."""
    end = time.monotonic() + within
    while not condition():
        assert time.monotonic() < end, describe()
        time.sleep(0.03)
