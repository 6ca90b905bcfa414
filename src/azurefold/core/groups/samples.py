"""Popularity of experts from the counts of a few ranks."""

from dataclasses import dataclass, field

from azurefold.core.balance.popularity import Popularity, new_popularity, observe
from azurefold.core.clock import Millis

__all__ = ["CountSample", "SampledPopularity"]


@dataclass(frozen=True, slots=True)
class CountSample:
    """Counts of one rank since it started.

    Parameters
    ----------
    endpoint : str
        Ranks of several groups are sampled, so their numbers name none of them.
    epoch : int
    counts : tuple of tuple of int, shape (n_layers, n_experts)
        How often the rank's requests chose each expert.
    """

    endpoint: str
    epoch: int
    counts: tuple[tuple[int, ...], ...]


@dataclass(slots=True)
class SampledPopularity:
    """Decayed shares of the experts of each layer.

    Parameters
    ----------
    time_constant : int
        Milliseconds after which an old sample weighs 1/e.
    layers : tuple of Popularity
        Empty before the first growth of counts was seen.
    samples : int
        Rounds that were taken in.
    """

    time_constant: Millis
    layers: tuple[Popularity, ...] = ()
    samples: int = 0
    _last: dict[str, CountSample] = field(default_factory=dict)
    _sampled_at: Millis = 0

    @property
    def rates(self) -> tuple[tuple[float, ...], ...]:
        """Choices of each expert a second, by layer."""
        return tuple(layer.rates for layer in self.layers)

    def take(self, samples: list[CountSample], now: Millis) -> bool:
        """Take in one round of counts; return whether popularity is newer now.

        Ranks that were not asked last time, or began again, only give a base.
        """
        grown = [g for sample in samples if (g := self._growth(sample)) is not None]
        for sample in samples:
            self._last[sample.endpoint] = sample
        span = max(1, now - self._sampled_at)
        self._sampled_at = now
        if not grown or not any(map(any, grown[0])):
            return False
        summed = [
            [sum(of_expert) for of_expert in zip(*layers, strict=True)]
            for layers in zip(*grown, strict=True)
        ]
        known = self.layers or tuple(
            new_popularity(len(layer), self.time_constant) for layer in summed
        )
        self.layers = tuple(
            observe(popularity, layer, span, now)
            for popularity, layer in zip(known, summed, strict=True)
        )
        self.samples += 1
        return True

    def forget(self, endpoint: str) -> None:
        """Forget the counts of an endpoint that has started again or is gone."""
        self._last.pop(endpoint, None)

    def restore(self, rates: list[list[int]], now: Millis) -> None:
        """Begin with a popularity that another coordinator has seen."""
        self.layers = tuple(
            Popularity(tuple(map(float, layer)), now, self.time_constant)
            for layer in rates
        )

    def _growth(self, sample: CountSample) -> tuple[tuple[int, ...], ...] | None:
        last = self._last.get(sample.endpoint)
        if last is None or last.epoch != sample.epoch:
            return None
        grown = tuple(
            tuple(new - old for new, old in zip(new_layer, old_layer, strict=True))
            for new_layer, old_layer in zip(sample.counts, last.counts, strict=True)
        )
        if any(min(layer) < 0 for layer in grown):
            return None
        return grown
