"""Whether this node seems to be cut off from the others, by their silence."""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = ["IsolationDetector"]

_SILENT_AFTER_MS: Millis = 700
"""Peers tell at least twice a second, under load more often. One lost message is no
silence; half of all peers that lose one at the same time are a cut."""

_FORGOTTEN_AFTER_MS: Millis = 20_000
"""A peer that was silent for so long is gone rather than cut off."""

_SILENT_SHARE = 0.5
_FEWEST_PEERS = 2


@dataclass(slots=True)
class IsolationDetector:
    """When each peer was last heard."""

    _heard: dict[str, Millis] = field(default_factory=dict)

    def record_message(self, peer: str, now: Millis) -> None:
        """Take in a message of a peer."""
        self._heard[peer] = now

    def is_isolated(self, now: Millis) -> bool:
        """Whether half of the peers, or more, have fallen silent."""
        for peer, at in list(self._heard.items()):
            if now - at >= _FORGOTTEN_AFTER_MS:
                del self._heard[peer]
        if len(self._heard) < _FEWEST_PEERS:
            return False
        silent = sum(now - at >= _SILENT_AFTER_MS for at in self._heard.values())
        return silent >= _SILENT_SHARE * len(self._heard)
