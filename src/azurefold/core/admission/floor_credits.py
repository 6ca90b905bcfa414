"""Tokens that the less urgent classes are owed, so that none of them starves."""

__all__ = ["FloorCredits"]

_MAX_OWED_REQUESTS = 2
"""Requests for which a class may collect credit. While no endpoint has room, more
credit would later displace the more urgent classes at once."""


class FloorCredits:
    """Credits of the classes of one queue; the most urgent class has none.

    A class collects credit from its first request that has to wait or is refused until
    one is served that it was not owed, with none left waiting. A class that collected
    only while requests wait would lose its credit whenever they expire, and at a
    gateway with few requests would never have enough for one.

    Parameters
    ----------
    count : int
        Number of classes.
    floor : float
        Minimum share of the tokens of a class that wants to be served.
    """

    def __init__(self, count: int, floor: float) -> None:
        self._per_token = floor / (1.0 - floor)
        self._credits = [0.0] * count
        self._wanted_tokens: list[int | None] = [None] * count

    def covers(self, priority: int, tokens: int) -> bool:
        """Whether a class is owed a request of ``tokens`` tokens."""
        return priority > 0 and self._credits[priority] >= tokens

    def is_wanted(self, priority: int) -> bool:
        """Whether a class collects credit."""
        return self._wanted_tokens[priority] is not None

    def record_wanted(self, priority: int, tokens: int) -> None:
        """Record that a request has to wait or is refused."""
        self._wanted_tokens[priority] = tokens

    def record_served(self, served: int, tokens: int, *, is_last: bool) -> None:
        """Record that a request was served.

        Parameters
        ----------
        served : int
            Its class.
        tokens : int
            Its cost.
        is_last : bool
            Whether it was not owed and no request of its class is left waiting.
        """
        self._credits[served] = max(0.0, self._credits[served] - tokens)
        for priority in range(1, len(self._credits)):
            if priority != served:
                self.collect(priority, tokens)
        if is_last:
            self._wanted_tokens[served] = None

    def collect(self, priority: int, tokens: float) -> None:
        """Credit one class for ``tokens`` of work that others got."""
        wanted = self._wanted_tokens[priority]
        if priority == 0 or wanted is None:
            return
        earned = self._credits[priority] + tokens * self._per_token
        limit = max(self._credits[priority], _MAX_OWED_REQUESTS * wanted)
        self._credits[priority] = min(limit, earned)
