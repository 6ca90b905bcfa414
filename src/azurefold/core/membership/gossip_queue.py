"""Queue of changes to send to peers, and the rate limit of gossip."""

from collections.abc import Iterable

from azurefold.core.clock import SECOND, Millis
from azurefold.core.membership.endpoints import Endpoint
from azurefold.core.membership.messages import Timing

__all__ = [
    "DATAGRAM_OVERHEAD_BYTES",
    "MAX_PAYLOAD_BYTES",
    "GossipQueue",
    "GossipRateLimiter",
    "split_into_datagrams",
    "wire_size",
]

MAX_PAYLOAD_BYTES = 1_050
"""Maximum size of the records in one datagram, so that none is fragmented."""

DATAGRAM_OVERHEAD_BYTES = 96
"""Size of UDP and IP headers and of the seal, which authenticates the sender. The seal
contains the sender's name, here of 25 letters."""

_RECORD_OVERHEAD_BYTES = 34


def wire_size(record: Endpoint) -> int:
    """Return an upper bound of a record's size in a datagram, in bytes."""
    text_bytes = len(record.name) + len(record.address) + len(record.service)
    return _RECORD_OVERHEAD_BYTES + text_bytes


def split_into_datagrams(records: Iterable[Endpoint]) -> list[tuple[Endpoint, ...]]:
    """Split records into groups that each fit into one datagram."""
    groups: list[list[Endpoint]] = []
    remaining_bytes = 0
    for record in records:
        size = wire_size(record)
        if not groups or size > remaining_bytes:
            groups.append([])
            remaining_bytes = MAX_PAYLOAD_BYTES
        groups[-1].append(record)
        remaining_bytes -= size
    return [tuple(group) for group in groups]


class GossipRateLimiter:
    """A token bucket that limits the bytes of gossip.

    After a rack failure or the end of a network partition hundreds of records change at
    once. Without a limit each control would send them all to many peers immediately and
    exceed a node's bandwidth budget. With the limit it takes some seconds longer.
    """

    def __init__(self, timing: Timing, now: Millis) -> None:
        self._timing = timing
        self._tokens = float(timing.burst_bytes)
        self._refilled_at = now

    def try_consume(self, size: int, now: Millis) -> bool:
        """Consume ``size`` bytes if available; return whether they may be sent."""
        refill = (now - self._refilled_at) * self._timing.bytes_per_second / SECOND
        self._tokens = min(self._tokens + refill, float(self._timing.burst_bytes))
        self._refilled_at = now
        if self._tokens < size:
            return False
        self._tokens -= size
        return True


class GossipQueue:
    """Names whose latest record still has to be sent to peers."""

    def __init__(self, sends_per_update: int) -> None:
        self._sends_per_update = sends_per_update
        self._remaining_sends: dict[str, int] = {}
        self._urgent: set[str] = set()

    def __bool__(self) -> bool:
        return bool(self._remaining_sends)

    def add(self, name: str, urgent: bool) -> None:
        """Queue the record of ``name`` for ``sends_per_update`` sends.

        Changes of controls and of leaving endpoints are urgent: they are sent first,
        and the full number of times. While controls disagree about which controls
        exist, they keep reassigning endpoints to different owners.
        """
        self._remaining_sends[name] = self._sends_per_update
        if urgent:
            self._urgent.add(name)

    def discard(self, name: str) -> None:
        """Remove ``name`` from the queue."""
        self._remaining_sends.pop(name, None)
        self._urgent.discard(name)

    def next_names(self, count: int) -> list[str]:
        """Return up to ``count`` names, urgent ones and the least often sent first."""

        def sort_key(name: str) -> tuple[bool, int, str]:
            return name not in self._urgent, -self._remaining_sends[name], name

        return sorted(self._remaining_sends, key=sort_key)[:count]

    def record_duplicate(self, name: str) -> None:
        """Omit one send, because a peer already has the change, unless it is urgent."""
        if name not in self._urgent:
            self.decrement_remaining_sends([name])

    def decrement_remaining_sends(self, names: Iterable[str]) -> None:
        """Record one send of each name, and remove the names without further sends."""
        for name in names:
            remaining = self._remaining_sends.get(name, 0) - 1
            if remaining > 0:
                self._remaining_sends[name] = remaining
            else:
                self.discard(name)
