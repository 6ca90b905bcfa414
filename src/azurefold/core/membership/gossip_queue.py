"""Changes still to be passed on, within a budget of bytes."""

from collections.abc import Iterable

from azurefold.core.clock import SECOND, Millis
from azurefold.core.membership.endpoints import Endpoint
from azurefold.core.membership.messages import Timing

__all__ = ["MAX_PAYLOAD", "OVERHEAD", "Pacer", "Rumours", "page", "wire_size"]

MAX_PAYLOAD = 1_050
"""Bytes of records in one datagram, so that none is fragmented."""

OVERHEAD = 96
"""Bytes of UDP, IP and seal with a name of 25 letters."""

_RECORD_OVERHEAD = 34


def wire_size(record: Endpoint) -> int:
    """Return an upper estimate of a record's bytes in a datagram."""
    texts = len(record.name) + len(record.address) + len(record.service)
    return _RECORD_OVERHEAD + texts


def page(records: Iterable[Endpoint]) -> list[tuple[Endpoint, ...]]:
    """Split records into groups that each fit one datagram."""
    pages: list[list[Endpoint]] = []
    room = 0
    for record in records:
        size = wire_size(record)
        if not pages or size > room:
            pages.append([])
            room = MAX_PAYLOAD
        pages[-1].append(record)
        room -= size
    return [tuple(records) for records in pages]


class Pacer:
    """A token bucket of bytes for gossip.

    After a rack's failure or a healed cut hundreds of records change at once.
    Unpaced, each control would send them all to many peers in a moment and
    exceed what a node may spend; paced, they take some seconds longer.
    """

    def __init__(self, timing: Timing, now: Millis) -> None:
        self._timing = timing
        self._tokens = float(timing.burst_bytes)
        self._filled_at = now

    def take(self, size: int, now: Millis) -> bool:
        """Return whether ``size`` bytes may be sent, and spend them if so."""
        gained = (now - self._filled_at) * self._timing.bytes_per_second / SECOND
        self._tokens = min(self._tokens + gained, float(self._timing.burst_bytes))
        self._filled_at = now
        if self._tokens < size:
            return False
        self._tokens -= size
        return True


class Rumours:
    """The names whose newest record is still to be passed on some times."""

    def __init__(self, sends: int) -> None:
        self._sends = sends
        self._left: dict[str, int] = {}
        self._urgent: set[str] = set()

    def __bool__(self) -> bool:
        return bool(self._left)

    def add(self, name: str, urgent: bool) -> None:
        """Pass the record of ``name`` on, counting anew.

        Who is a control and who leaves is urgent: it goes first and the whole
        number of times. While controls disagree on who is a control, they send
        endpoints to and fro between their lists of homes.
        """
        self._left[name] = self._sends
        if urgent:
            self._urgent.add(name)

    def discard(self, name: str) -> None:
        """Pass it on no more."""
        self._left.pop(name, None)
        self._urgent.discard(name)

    def next_names(self, count: int) -> list[str]:
        """Return up to ``count`` names, the least often passed on first."""

        def order(name: str) -> tuple[bool, int, str]:
            return name not in self._urgent, -self._left[name], name

        return sorted(self._left, key=order)[:count]

    def heard_again(self, name: str) -> None:
        """Note that a peer told what was known: the news has got about."""
        if name not in self._urgent:
            self.count_down([name])

    def count_down(self, names: Iterable[str]) -> None:
        """Note that these were passed on once more."""
        for name in names:
            left = self._left.get(name, 0) - 1
            if left > 0:
                self._left[name] = left
            else:
                self.discard(name)
