"""Deficit round robin over the organisations of one priority class.

Shreedhar and Varghese, "Efficient fair queuing using deficit round robin",
1996. The quantum is in tokens, so an organisation with long prompts gets no
more work done than one with short ones.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from azurefold.core.admission.messages import QueueItem
from azurefold.core.clock import Millis

__all__ = ["DeficitRoundRobinQueue"]


_MOST_TURNS = 10_000
"""Organisations whose last turn is remembered; the largest site has 8,200."""


@dataclass(slots=True)
class _Share:
    """What one organisation has waiting, and the tokens it may still take."""

    items: OrderedDict[str, QueueItem] = field(default_factory=OrderedDict)
    tokens: int = 0
    deficit: int = 0


class DeficitRoundRobinQueue:
    """The waiting requests of one priority class.

    Parameters
    ----------
    quantum : int
        Tokens an organisation may take in each round.
    """

    def __init__(self, quantum: int) -> None:
        self._quantum = quantum
        self._quanta: dict[str, int] = {}
        self._shares: OrderedDict[str, _Share] = OrderedDict()
        self._length = 0
        self._tokens = 0
        self._turn = 0
        self._turns: dict[str, int] = {}

    def __len__(self) -> int:
        return self._length

    def set_weights(self, shares: Mapping[str, float]) -> None:
        """Take in organisations' weights; one that is not named has 1."""
        self._quanta = {
            name: max(1, int(self._quantum * share)) for name, share in shares.items()
        }

    def weight_of(self, organisation: str) -> float:
        """Return an organisation's weight."""
        return self._quantum_of(organisation) / self._quantum

    @property
    def weight(self) -> float:
        """The weights of all organisations that have something waiting."""
        return sum(self.weight_of(organisation) for organisation in self._shares)

    @property
    def tokens(self) -> int:
        """Tokens that wait in all."""
        return self._tokens

    @property
    def organisations(self) -> int:
        """Organisations that have something waiting."""
        return len(self._shares)

    def length_of(self, organisation: str) -> int:
        """Return how many requests of ``organisation`` wait."""
        share = self._shares.get(organisation)
        return len(share.items) if share else 0

    def tokens_of(self, organisation: str) -> int:
        """Return how many tokens of ``organisation`` wait."""
        share = self._shares.get(organisation)
        return share.tokens if share else 0

    def longest(self) -> str | None:
        """Return the organisation with most requests waiting."""
        return max(self._shares, key=self.length_of, default=None)

    def newest_of(self, organisation: str) -> QueueItem:
        """Return the request of ``organisation`` that came last."""
        return next(reversed(self._shares[organisation].items.values()))

    def push(self, item: QueueItem) -> None:
        """Add a request behind those of its organisation."""
        share = self._shares.get(item.organisation)
        if share is None:
            share = _Share()
            self._shares[item.organisation] = share
        share.items[item.request_id] = item
        share.tokens += item.tokens
        self._length += 1
        self._tokens += item.tokens

    def remove(self, item: QueueItem) -> None:
        """Take out a request wherever it stands."""
        share = self._shares[item.organisation]
        del share.items[item.request_id]
        share.tokens -= item.tokens
        self._length -= 1
        self._tokens -= item.tokens
        # A deficit must not be saved up while nothing waits, or an idle
        # organisation could later take the whole line for itself.
        if not share.items:
            del self._shares[item.organisation]

    def head(self) -> QueueItem | None:
        """Return the request whose turn it is, which stays where it is."""
        if not self._shares:
            return None
        for _ in range(len(self._shares)):
            if (item := self._front_if_due()) is not None:
                return item
        self._skip_rounds()
        while (item := self._front_if_due()) is None:
            pass
        return item

    def oldest(self) -> QueueItem:
        """Return the request that has waited longest."""
        heads = (next(iter(share.items.values())) for share in self._shares.values())
        return min(heads, key=lambda item: item.queued_at)

    def pop(self, *, newest: bool = False) -> QueueItem | None:
        """Take the request whose turn it is.

        Parameters
        ----------
        newest : bool, default=False
            Take the newest of the organisation whose turn it is.
        """
        item = self.head()
        if item is None:
            return None
        if newest:
            item = self.newest_of(item.organisation)
        self._shares[item.organisation].deficit -= item.tokens
        self.remove(item)
        return item

    def pop_on_time(self, now: Millis) -> QueueItem | None:
        """Take a request whose answer can still be on time, if there is one.

        Of the organisation whose last one was longest ago; of its requests the
        newest, which has most time left.
        """
        newest = map(self.newest_of, self._shares)
        in_time = [item for item in newest if item.can_be_on_time(now)]
        if not in_time:
            return None
        item = min(in_time, key=lambda item: self._turns.get(item.organisation, 0))
        self._turn += 1
        self._turns[item.organisation] = self._turn
        if len(self._turns) > _MOST_TURNS:
            self._turns.clear()
        self._shares[item.organisation].deficit -= item.tokens
        self.remove(item)
        return item

    def _front_if_due(self) -> QueueItem | None:
        organisation, share = next(iter(self._shares.items()))
        item = next(iter(share.items.values()))
        if share.deficit >= item.tokens:
            return item
        share.deficit += self._quantum_of(organisation)
        self._shares.move_to_end(organisation)
        return None

    def _skip_rounds(self) -> None:
        # A request of many quanta would otherwise cost as many turns of the
        # loop in head(); whole rounds that serve nobody are added at once.
        rounds = min(
            (next(iter(share.items.values())).tokens - share.deficit - 1)
            // self._quantum_of(organisation)
            for organisation, share in self._shares.items()
        )
        if rounds <= 0:
            return
        for organisation, share in self._shares.items():
            share.deficit += rounds * self._quantum_of(organisation)

    def _quantum_of(self, organisation: str) -> int:
        return self._quanta.get(organisation, self._quantum)
