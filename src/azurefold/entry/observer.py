"""What counts the turns that requests take."""

from typing import Protocol

__all__ = ["Observer"]


class Observer(Protocol):
    """What counts the turns that requests take."""

    def dropped(self, reason: str) -> None:
        """Count a frame that was not passed on."""

    def lost(self, service: str) -> None:
        """Count a connection that was lost with an attempt on it."""

    def settled(self, service: str, state: str) -> None:
        """Count an agent's answer to what became of an attempt."""
