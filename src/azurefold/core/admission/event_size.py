"""How many tokens an event of a service's streams holds."""

__all__ = ["EventSize"]

_SHRINK = 0.98
_MAX_EXCESS_SHARE = 0.1
_GROW = 1.0 + (1.0 - _SHRINK) * _MAX_EXCESS_SHARE / (1.0 - _MAX_EXCESS_SHARE)
"""The size settles where a tenth of the streams seem longer than their maximum. Fewer
callers with a wrong maximum than that change nothing for long."""


class EventSize:
    """Tokens in one event, which streams do not tell.

    A pass of an engine sends one event with a token for each of its steps. Where
    streams would be longer than their requests allow, events hold fewer tokens.

    Parameters
    ----------
    steps_per_pass : int
        Largest size, and the first one.
    """

    def __init__(self, steps_per_pass: int = 1) -> None:
        self._largest = max(1, steps_per_pass)
        self.tokens = float(self._largest)

    def set_steps(self, steps_per_pass: int) -> None:
        """Start anew if the steps of a pass have changed."""
        if max(1, steps_per_pass) != self._largest:
            self._largest = max(1, steps_per_pass)
            self.tokens = float(self._largest)

    def observe(self, events: int, max_answer_tokens: int) -> None:
        """Learn from a stream that ended whole.

        Examples
        --------
        >>> size = EventSize(5)
        >>> for _ in range(100):
        ...     size.observe(20, 100)
        >>> size.tokens
        5.0
        >>> for _ in range(100):
        ...     size.observe(20, 20)
        >>> 1.0 <= size.tokens < 1.2
        True
        """
        # The last event may hold a single token.
        is_too_long = (events - 1) * self.tokens >= max_answer_tokens > 0
        factor = _SHRINK if is_too_long else _GROW
        self.tokens = max(1.0, min(float(self._largest), self.tokens * factor))
