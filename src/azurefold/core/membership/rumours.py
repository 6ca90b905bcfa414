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

    def __bool__(self) -> bool:
        return bool(self._left)

    def add(self, name: str) -> None:
        """Pass the record of ``name`` on, counting anew."""
        self._left[name] = self._sends

    def discard(self, name: str) -> None:
        """Pass it on no more."""
        self._left.pop(name, None)

    def next_page(self, records: dict[str, Endpoint]) -> tuple[Endpoint, ...]:
        """Return the records least often sent that fit one datagram."""
        ordered = sorted(self._left, key=lambda name: (-self._left[name], name))
        pages = page(records[name] for name in ordered if name in records)
        return pages[0] if pages else ()

    def mark_sent(self, sent: Iterable[Endpoint]) -> None:
        """Note that these records were passed on once more."""
        for record in sent:
            self._left[record.name] -= 1
            if self._left[record.name] <= 0:
                del self._left[record.name]
