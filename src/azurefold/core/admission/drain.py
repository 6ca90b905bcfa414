"""How fast a queue empties, and when a refused caller should come back."""

from math import exp

from azurefold.core.clock import Millis

__all__ = ["DrainRate", "jitter_retry_after"]

_MEMORY: Millis = 4_000
_LEAST_EVIDENCE = 200.0
_SHORTEST_RETRY: Millis = 200
_LONGEST_RETRY: Millis = 30_000


class DrainRate:
    """Tokens taken for each millisecond in which something waited.

    Time with an empty queue is left out: what leaves then is what arrives,
    which says nothing of how fast a backlog would go.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy = 0.0
        self._since: Millis | None = None

    def waiting(self, now: Millis) -> None:
        """Note that something waits from now on."""
        if self._since is None:
            self._since = now

    def taken(self, tokens: int, now: Millis, *, left: bool) -> None:
        """Note that work was taken; ``left`` says whether more waits."""
        self._advance(now)
        self._tokens += tokens
        if not left:
            self._since = None

    def emptied(self, now: Millis) -> None:
        """Note that nothing waits any more, without work having been taken."""
        self._advance(now)
        self._since = None

    def rate(self, now: Millis) -> float | None:
        """Return tokens a millisecond, or ``None`` while too little was seen."""
        # The time since the last take counts too. Otherwise a queue whose
        # drain has stopped would go on promising its old rate.
        idle = 0 if self._since is None else max(0, now - self._since)
        busy = self._busy + idle
        if busy < _LEAST_EVIDENCE:
            return None
        return self._tokens / busy

    def _advance(self, now: Millis) -> None:
        if self._since is None:
            return
        elapsed = max(0, now - self._since)
        kept = exp(-elapsed / _MEMORY)
        self._tokens *= kept
        self._busy = self._busy * kept + elapsed
        self._since = now


def jitter_retry_after(wait: float, draw: float) -> Millis:
    """Return when to come back: after the backlog, spread over as long again.

    Callers told the same moment would come back as one wave.

    Parameters
    ----------
    wait : float
        Milliseconds until the present backlog is gone.
    draw : float
        Random number in [0, 1).
    """
    base = min(max(wait, float(_SHORTEST_RETRY)), float(_LONGEST_RETRY))
    return int(base * (1.0 + draw))
