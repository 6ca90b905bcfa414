"""Refusal of messages that were seen before, and the reasons of all refusals."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["REPLAY_WINDOW", "Reason", "ReplayGuard"]

# A process has one counter for all it sends to. An entry that begins hundreds of
# streams at once is overtaken by its own requests by as many counters, and each
# beyond the window would be refused as a replay. 4,096 bits are 512 bytes for
# each sender that is heard.
REPLAY_WINDOW = 4_096
MAX_SENDERS = 8_192


class Reason(StrEnum):
    """Why a sealed message was refused; used as a label of a counter."""

    MALFORMED = "malformed"
    UNKNOWN_KEY = "unknown_key"
    BAD_MAC = "bad_mac"
    STALE_INCARNATION = "stale_incarnation"
    REPLAYED = "replayed"
    EXPIRED = "expired"


@dataclass(slots=True)
class _Window:
    incarnation: int
    highest: int
    seen: int


class ReplayGuard:
    """Lets each (sender, incarnation, counter) pass once.

    Without it whoever records a datagram can send it again and keep a dead
    endpoint alive or repeat an order. A sliding window of counters lets
    reordered datagrams pass; older ones are dropped, as they might be repeats.
    A newer incarnation replaces the window of the older one, whose messages
    are stale from then on. Only messages with a good code get this far, so an
    outsider cannot move a window.
    """

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self._max_senders = max_senders
        self._windows: OrderedDict[str, _Window] = OrderedDict()

    def check(self, sender: str, incarnation: int, counter: int) -> Reason | None:
        """Note a message and return None, or the reason to refuse it."""
        window = self._windows.get(sender)
        if window is None or incarnation > window.incarnation:
            self._windows[sender] = _Window(incarnation, counter, 1)
            self._windows.move_to_end(sender)
            self._forget_the_most_silent()
            return None
        self._windows.move_to_end(sender)
        if incarnation < window.incarnation:
            return Reason.STALE_INCARNATION
        return _note(window, counter)

    def _forget_the_most_silent(self) -> None:
        while len(self._windows) > self._max_senders:
            self._windows.popitem(last=False)


def _note(window: _Window, counter: int) -> Reason | None:
    age = window.highest - counter
    if age < 0:
        # Shifting by the whole gap would let one message make a giant integer.
        shift = min(-age, REPLAY_WINDOW)
        window.seen = ((window.seen << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
        window.highest = counter
        return None
    bit = 1 << age if age < REPLAY_WINDOW else 0
    if not bit or window.seen & bit:
        return Reason.REPLAYED
    window.seen |= bit
    return None
