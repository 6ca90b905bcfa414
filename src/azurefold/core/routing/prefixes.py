"""Which endpoint has probably cached which prompt prefix.

Cache events arrive late and with gaps, and an engine evicts without saying so
in time. Every entry is therefore a hint that expires; a wrong one costs a
prefill, never a wrong answer.
"""

from collections import OrderedDict

from azurefold.core.clock import Millis
from azurefold.core.routing.messages import Prefix

__all__ = ["PrefixHints"]

_HINT_LIFE: Millis = 60_000
_MAX_PREFIXES = 20_000
_MAX_HOLDERS = 8


class PrefixHints:
    """A bounded map from prefix hash to the endpoints that may hold it.

    Parameters
    ----------
    life : int, default=60000
        Milliseconds after which a hint that was not renewed is forgotten.
    max_prefixes : int, default=20000
        Prefixes kept; the least recently renewed one goes first.
    """

    def __init__(
        self, *, life: Millis = _HINT_LIFE, max_prefixes: int = _MAX_PREFIXES
    ) -> None:
        self._life = life
        self._max_prefixes = max_prefixes
        self._holders: OrderedDict[int, dict[str, Millis]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def cached(self, endpoint: str, prefix_hash: int, now: Millis) -> None:
        """Note that ``endpoint`` holds, or has just computed, the prefix."""
        holders = self._holders.setdefault(prefix_hash, {})
        self._holders.move_to_end(prefix_hash)
        # Taken out first, so that the dict stays ordered by expiry and the
        # holder dropped for want of room is the one renewed longest ago.
        holders.pop(endpoint, None)
        holders[endpoint] = now + self._life
        if len(holders) > _MAX_HOLDERS:
            del holders[next(iter(holders))]
        if len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)

    def evicted(self, endpoint: str, prefix_hash: int) -> None:
        """Note that ``endpoint`` no longer holds the prefix."""
        holders = self._holders.get(prefix_hash)
        if holders is None:
            return
        holders.pop(endpoint, None)
        if not holders:
            del self._holders[prefix_hash]

    def cached_tokens(
        self, endpoint: str, prefixes: tuple[Prefix, ...], now: Millis
    ) -> int:
        """Return the tokens of the longest prefix hinted at ``endpoint``."""
        for prefix in reversed(prefixes):
            holders = self._holders.get(prefix.hash)
            if holders and holders.get(endpoint, now) > now:
                return prefix.tokens
        return 0

    def holders(self, prefixes: tuple[Prefix, ...], now: Millis) -> list[str]:
        """Return the endpoints hinted to hold the longest known prefix."""
        for prefix in reversed(prefixes):
            holders = self._holders.get(prefix.hash)
            if not holders:
                continue
            live = [name for name, expiry in holders.items() if expiry > now]
            if live:
                return live
        return []
