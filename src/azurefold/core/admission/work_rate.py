"""Rate at which one place at an endpoint does work, from requests that ended."""

from dataclasses import dataclass, field

from azurefold.core.clock import Millis

__all__ = ["WorkRate"]

_USUAL_SERVICE_MS = 400.0
_SMOOTHING = 0.05
"""Weight of the newest request; the means follow a change within some 20 requests."""


@dataclass(slots=True)
class WorkRate:
    """Mean tokens of requests, and their mean duration from start to end."""

    mean_tokens: float | None = None
    mean_service_ms: float = _USUAL_SERVICE_MS
    _started: dict[str, Millis] = field(default_factory=dict)

    def record_request(self, tokens: int) -> None:
        """Record that a request asks for a place."""
        if self.mean_tokens is None:
            self.mean_tokens = float(tokens)
        self.mean_tokens += _SMOOTHING * (tokens - self.mean_tokens)

    def record_start(self, request_id: str, now: Millis) -> None:
        """Record that a request was given a place."""
        self._started[request_id] = now

    def record_end(self, request_id: str, now: Millis, *, is_whole: bool) -> None:
        """Record that a request has ended; one that is not known changes nothing.

        Parameters
        ----------
        request_id : str
        now : int
        is_whole : bool
            Whether it was answered. Others say nothing of how long a request takes.
        """
        started = self._started.pop(request_id, None)
        if started is not None and is_whole:
            self.mean_service_ms += _SMOOTHING * (
                max(1, now - started) - self.mean_service_ms
            )

    def tokens_done(self, places: float, elapsed: Millis) -> float:
        """Return the tokens that ``places`` busy places do in ``elapsed`` ms."""
        if self.mean_tokens is None:
            return 0.0
        return places * self.mean_tokens * elapsed / self.mean_service_ms
