"""What this member knows of its peers: process starts, disks, and whether each is suspected to be down.

    peers = PeerTable(("b", "c"), suspect_after=1_500_000_000)
    peers.record(frame, now)               # raises FrameRejected: superseded start, rolled-back disk, unknown sender
    peers.reachability(now)                # -> {"b": "alive", "c": "suspected"}

Performs no I/O; times are whole nanoseconds of this member's clock. The table has one row for each configured peer,
however many frames arrive.
"""

from dataclasses import dataclass, field

from ternquay.peers.frames import DurableState, Frame, FrameRejected

BOOT_RANDOM_BITS = 20  # a boot id is the disk's start counter above this many random bits
MAX_REFUSED_BOOTS = 64


@dataclass(slots=True)
class PeerState:
    """The last accepted state of one peer."""

    disk_id: str = ""
    boot_id: int = 0
    heard_at: int = 0  # 0 for never
    durable: DurableState = DurableState()
    refused_boots: set[int] = field(default_factory=set)  # starts from a rolled-back copy of that disk


class PeerTable:
    """The configured peers; a peer silent for `suspect_after` nanoseconds is suspected until it is heard again."""

    def __init__(self, others: tuple[str, ...], suspect_after: int) -> None:
        self.peers = {name: PeerState() for name in others}
        self.suspect_after = suspect_after

    def record(self, frame: Frame, now: int) -> PeerState:
        """Updates the sender's row and returns it.

        Raises FrameRejected: "stranger" for an unknown sender, "start" for a process start that a later one has
        replaced, "set back" for a rolled-back disk, which the caller has to report to the sender.
        """
        peer = self.peers.get(frame.sender)
        if peer is None:
            raise FrameRejected("stranger")
        if frame.disk_id == peer.disk_id:
            self._check_same_disk(peer, frame)
        else:
            peer.disk_id, peer.durable, peer.refused_boots = frame.disk_id, DurableState(), set()
        peer.boot_id, peer.heard_at = frame.boot_id, now
        if not frame.durable.is_behind(peer.durable):
            peer.durable = frame.durable
        return peer

    def _check_same_disk(self, peer: PeerState, frame: Frame) -> None:
        if frame.boot_id == peer.boot_id:
            return
        if frame.boot_id in peer.refused_boots:
            raise FrameRejected("set back")
        counter, last_counter = frame.boot_id >> BOOT_RANDOM_BITS, peer.boot_id >> BOOT_RANDOM_BITS
        if counter < last_counter and not frame.durable.is_behind(peer.durable):
            raise FrameRejected("start")
        if counter <= last_counter or frame.durable.is_behind(peer.durable):
            # The start counter or the durable state went backwards: the disk is an earlier copy of itself.
            if len(peer.refused_boots) >= MAX_REFUSED_BOOTS:
                peer.refused_boots.clear()
            peer.refused_boots.add(frame.boot_id)
            raise FrameRejected("set back")

    def reachability(self, now: int) -> dict[str, str]:
        """Whether each peer is "alive", "suspected" or was "never heard"."""
        return {
            name: "never heard"
            if not peer.heard_at
            else "alive"
            if now - peer.heard_at < self.suspect_after
            else "suspected"
            for name, peer in self.peers.items()
        }
