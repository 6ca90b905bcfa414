"""Tracks which endpoints have probably cached which prompt prefixes.

Cache events arrive late and incompletely, and evictions are reported late. Every entry
is therefore a hint that expires. A wrong hint costs a prefill, but never causes a wrong
answer.
"""

from collections import OrderedDict

from azurefold.core.clock import Millis
from azurefold.core.routing.messages import Prefix

__all__ = ["PrefixHints"]

_HINT_TTL_MS: Millis = 60_000
_MAX_PREFIXES = 20_000
_MAX_HOLDERS = 8


class PrefixHints:
    """A bounded map from prefix hashes to the endpoints that probably hold them.

    Parameters
    ----------
    ttl_ms : int, default=60000
        Time after which a hint that was not renewed expires.
    max_prefixes : int, default=20000
        Number of prefixes kept; the least recently renewed one is removed first.
    """

    def __init__(
        self, *, ttl_ms: Millis = _HINT_TTL_MS, max_prefixes: int = _MAX_PREFIXES
    ) -> None:
        self._ttl_ms = ttl_ms
        self._max_prefixes = max_prefixes
        self._holders: OrderedDict[int, dict[str, Millis]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._holders)

    def add(self, endpoint: str, prefix_hash: int, now: Millis) -> None:
        """Record that ``endpoint`` holds, or has just computed, the prefix."""
        holders = self._holders.setdefault(prefix_hash, {})
        self._holders.move_to_end(prefix_hash)
        # Removed first, so that the dict stays ordered by expiry, and the holder that
        # is dropped when there are too many is the least recently renewed one.
        holders.pop(endpoint, None)
        holders[endpoint] = now + self._ttl_ms
        if len(holders) > _MAX_HOLDERS:
            del holders[next(iter(holders))]
        if len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)

    def remove(self, endpoint: str, prefix_hash: int) -> None:
        """Record that ``endpoint`` no longer holds the prefix."""
        holders = self._holders.get(prefix_hash)
        if holders is None:
            return
        holders.pop(endpoint, None)
        if not holders:
            del self._holders[prefix_hash]

    def cached_tokens(
        self, endpoint: str, prefixes: tuple[Prefix, ...], now: Millis
    ) -> int:
        """Return the length of the longest prefix that ``endpoint`` probably holds."""
        for prefix in reversed(prefixes):
            holders = self._holders.get(prefix.hash)
            if holders and holders.get(endpoint, now) > now:
                return prefix.tokens
        return 0

    def find_endpoints(self, prefixes: tuple[Prefix, ...], now: Millis) -> list[str]:
        """Return the endpoints that probably hold the longest known prefix."""
        for prefix in reversed(prefixes):
            holders = self._holders.get(prefix.hash)
            if not holders:
                continue
            live_holders = [name for name, expiry in holders.items() if expiry > now]
            if live_holders:
                return live_holders
        return []
