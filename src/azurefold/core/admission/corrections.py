"""Corrections of what organisations were charged for requests of a wrong estimate."""

from collections import OrderedDict
from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["Corrections"]

_MAX_ORGANISATIONS = 10_000
"""Organisations with a correction; the largest site has 8,200."""

_MAX_QUANTA = 400
"""Largest correction of an organisation, in its quanta: some 200,000 tokens, more
than the streams of one organisation at a gateway can be off together."""

_IDLE_MS: Millis = 5_000
"""Corrections of an organisation without requests for this long are forgotten, as its
deficit is: shares are due only among those that ask at the same time."""


@dataclass(slots=True)
class _Correction:
    tokens: int
    at: Millis


class Corrections:
    """Tokens that organisations still owe, or are owed (below 0).

    They are settled against the quanta that an organisation gets, so they also last
    while it has nothing waiting, and no other organisation pays for them.
    """

    def __init__(self) -> None:
        self._by_organisation: OrderedDict[str, _Correction] = OrderedDict()

    def __len__(self) -> int:
        return len(self._by_organisation)

    def add(self, organisation: str, tokens: int, quantum: int, now: Millis) -> None:
        """Add the tokens that a request took beyond its estimate; below 0 if fewer.

        Examples
        --------
        >>> corrections = Corrections()
        >>> for number in range(10_500):
        ...     corrections.add(f"o{number}", 10**9, quantum=512, now=0)
        >>> len(corrections), corrections.owed_by("o10499")
        (10000, 204800)
        """
        self.note_request(organisation, now)
        known = self._by_organisation.get(organisation)
        limit = _MAX_QUANTA * quantum
        total = max(-limit, min(limit, tokens + (known.tokens if known else 0)))
        self._by_organisation[organisation] = _Correction(total, now)
        self._by_organisation.move_to_end(organisation)
        if len(self._by_organisation) > _MAX_ORGANISATIONS:
            self._by_organisation.popitem(last=False)

    def note_request(self, organisation: str, now: Millis) -> None:
        """Note that the organisation asks; forget its correction if it was idle."""
        known = self._by_organisation.get(organisation)
        if known is None:
            return
        if now - known.at > _IDLE_MS:
            del self._by_organisation[organisation]
        else:
            known.at = now

    def owed_by(self, organisation: str) -> int:
        """Return the tokens that an organisation still owes."""
        known = self._by_organisation.get(organisation)
        return known.tokens if known else 0

    def settle(self, organisation: str, tokens: int) -> int:
        """Return what is left for the organisation of ``tokens`` that it gets."""
        known = self._by_organisation.get(organisation)
        if known is None:
            return tokens
        if known.tokens <= tokens:
            del self._by_organisation[organisation]
            return tokens - known.tokens
        known.tokens -= tokens
        return 0
