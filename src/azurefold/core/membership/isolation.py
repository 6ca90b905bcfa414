"""Detects from the silence of its peers whether this node is cut off."""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = ["IsolationDetector"]

_SILENT_AFTER_MS: Millis = 700
"""Peers send at least twice a second, and more often under load. After one lost message
a peer may seem silent. If messages of half of the peers are missing at the same time,
this node is cut off."""

_FORGOTTEN_AFTER_MS: Millis = 20_000
"""A peer that is silent for longer has stopped and is no evidence of isolation."""

_SILENT_SHARE = 0.5
_MIN_PEERS = 2


@dataclass(slots=True)
class IsolationDetector:
    """Detector that compares the times of the last message from each peer."""

    _last_message_at: dict[str, Millis] = field(default_factory=dict)

    def record_message(self, peer: str, now: Millis) -> None:
        """Record a message from a peer."""
        self._last_message_at[peer] = now

    def is_isolated(self, now: Millis) -> bool:
        """Whether at least half of the peers are silent."""
        for peer, received_at in list(self._last_message_at.items()):
            if now - received_at >= _FORGOTTEN_AFTER_MS:
                del self._last_message_at[peer]
        if len(self._last_message_at) < _MIN_PEERS:
            return False
        silent_count = sum(
            now - received_at >= _SILENT_AFTER_MS
            for received_at in self._last_message_at.values()
        )
        return silent_count >= _SILENT_SHARE * len(self._last_message_at)
