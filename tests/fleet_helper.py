"""A fleet of hosted services as processes of their own, with a layer between them that cuts, slows and loses."""

import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ternquay.rig.between import Between
from ternquay.rig.ports import free_place
from tests.hosted_helper import HostedService, HttpReply, document

KEY = b"0123456789abcdef0123456789abcdef"
READ = b"mg k%d v Oi%d Pc=read,d=800\r\n"


class Fellow(HostedService):
    """One member; `address` is what its tenants' listeners are bound to."""

    def __init__(self, folder: Path, name: str, number: int, operator: str, peers: str) -> None:
        folder.mkdir()
        (folder / "fleet.key").write_bytes(KEY)
        self.name, self.address, self.odd = name, f"127.7.0.{number + 1}", ""
        super().__init__(
            folder,
            tls=f'[peers]\nfleet = "test"\nme = "{name}"\nkey_file = "fleet.key"\n'
            f'address = "{self.address}"\n{peers}\n',
        )
        self.config_text = self.config_text.replace(self.digest(self.operator_token), self.digest(operator))
        self.operator_token = operator
        self.config_file.write_text(self.config_text)

    def command(self) -> list[str]:
        return ["-m", "tests.fleet_launcher", self.odd, str(self.folder)] if self.odd else super().command()

    @staticmethod
    def digest(token: str) -> str:
        from ternquay.hosted.administration import keys

        return keys.digest_of(token).hex()

    def stop(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGCONT)

    def fleet(self) -> Any:
        return self.call("GET", "/v1/fleet").body

    def read(self, port: int, wait: float = 0.4) -> bytes:
        """What a client gets for one read: a value, a word to come again, or nothing."""
        return self.exchange(f"{self.address}:{port}", READ % (1, 1), wait)


class Fleet:
    def __init__(self, folder: Path, names: str = "abc", more: str = "", odd: str = "") -> None:
        from ternquay.hosted.administration import keys

        places = {name: HostedService.parse_address(free_place("127.0.0.1")) for name in names}
        self.between = Between(places)
        operator = keys.made("", "main")
        self.all: dict[str, Fellow] = {}
        self.port = HostedService.parse_address(free_place("127.7.0.1"))[1]
        for n, name in enumerate(names):
            rows = "".join(
                '[[peers.members]]\nname = "{}"\nplace = "{}"\n'.format(
                    other, "{}:{}".format(*places[name]) if other == name else self.between.place(name, other)
                )
                for other in names
            )
            self.all[name] = Fellow(folder / name, name, n, operator, f"{more}\n{rows}")
            self.all[name].odd = odd

    def start(self, *names: str) -> "Fleet":
        for name in names or self.all:
            self.all[name].launch()
        for name in names or self.all:
            self.all[name].wait_until_ready()
        return self

    def end(self) -> None:
        for one in self.all.values():
            if one.process is not None and one.process.poll() is None:
                one.kill()
        self.between.end()

    def __getitem__(self, name: str) -> Fellow:
        return self.all[name]

    def leader(self, among: str = "", within: float = 20.0) -> Fellow:
        """Who leads, once those agree on one that takes changes."""
        names = among or "".join(self.all)
        found: list[Any] = []

        def agreed() -> bool:
            found[:] = [self.all[name].fleet() for name in names]
            return len({row["leader"] for row in found}) == 1 and found[0]["leader"] in tuple(names)

        until(agreed, within, lambda: str(found))
        return self.all[found[0]["leader"]]

    def others(self, one: Fellow) -> list[Fellow]:
        return [other for other in self.all.values() if other is not one]

    def make(self, at: Fellow, name: str, servers: tuple[str, ...] = (), **terms: Any) -> int:
        """Takes a tenant in, at a port of every member."""
        port = HostedService.parse_address(free_place("127.7.0.1"))[1]
        found = self.change(at, "POST", "/v1/tenants", document(name, f"0.0.0.0:{port}", servers, **terms))
        assert found.status == 201, found.body
        return port

    def change(
        self, at: Fellow, method: str, path: str, body: Any = None, within: float = 15.0, key: str = ""
    ) -> HttpReply:
        """Asked again while it is told that it is not now, or isn't known; always the same call."""
        end = time.monotonic() + within
        headers = {"idempotency_key": key or f"key-{time.monotonic_ns()}"}
        if method != "POST":
            headers["if_match"] = "*"
        while True:
            found = at.call(method, path, body, **headers)
            if found.status not in (503, 504) or time.monotonic() > end:
                return found
            time.sleep(0.05)

    def same(self, among: str = "", within: float = 15.0) -> int:
        """Waits until all have the same in force and take by it; its version."""
        rows: list[Any] = []

        def alike() -> bool:
            rows[:] = [
                (one["version"], one["why"])
                for name in among or "".join(self.all)
                for one in self.all[name].fleet()["members"]
                if one["name"] == name
            ]
            return len(set(rows)) == 1 and not rows[0][1]

        until(alike, within, lambda: str(rows))
        return int(rows[0][0])


def until(what: Callable[[], bool], within: float, told: Callable[[], str] = lambda: "") -> None:
    end = time.monotonic() + within
    while not what():
        assert time.monotonic() < end, told()
        time.sleep(0.03)
