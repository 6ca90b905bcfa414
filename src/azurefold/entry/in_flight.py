"""Counts the requests that an entry has in flight."""

from collections.abc import Iterator

from azurefold.entry.state import EntryState

__all__ = ["InFlight"]


class InFlight:
    """One request in the entry's count of those in flight."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._events: Iterator[bytes] | None = None
        state.in_flight += 1

    def until_end_of(self, events: Iterator[bytes]) -> "InFlight":
        """Count the request until the server has closed this stream."""
        self._events = events
        return self

    def end_unless_streaming(self) -> None:
        """Count the request no more if its answer is complete."""
        if self._events is None:
            self._state.in_flight -= 1

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        """Count the request no more; the server calls it once for each answer."""
        # A generator that was never begun runs no cleanup of its own when it
        # is closed, so that the count would stay up for good.
        self._state.in_flight -= 1
        self._events.close()
