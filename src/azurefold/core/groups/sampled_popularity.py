"""Popularity of experts from the counts of a few ranks."""

from dataclasses import dataclass, field
from math import exp

from azurefold.core.clock import Millis

__all__ = ["CountSample", "SampledPopularity"]

_USUAL_NOISE = 0.12
"""Total variation between two ranks' counts of half a second and those of all ranks,
while popularity stayed."""

_NOISE_SMOOTHING = 0.2
_JUMP_OVER_NOISE = 1.7
_LEAST_JUMP = 0.2
"""A jump moved popularity by 0.3 to 0.6, half seconds without one by 0.05 to 0.13. A
map planned for a popularity that is off by 0.2 has a skew of about 1.4."""


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
    """Popularity of the experts of each layer, from the growth of ranks' counts.

    Popularity stays nearly still for some seconds and then jumps. While it stays, all
    growth since the last jump is added up, so that few ranks' counts tell it more and
    more exactly; a mean that forgets at a steady rate is noise at first and lags for
    a second after each jump. Growth in which a jump falls tells of before and after
    alike, and is no popularity to plan for: another sample is wanted soon.

    Parameters
    ----------
    time_constant : int
        Milliseconds after which growth weighs 1/e, for slow drift.
    layers : tuple of tuple of float
        Growth of each expert's counts by layer, added up; empty before the first.
    usable_rounds : int
        Rounds that were taken in and may be planned for.
    is_unsettled : bool
        Whether the last growth may be of before and after a jump.
    last_distance : float
        Total variation between the last growth and the popularity before it.
    """

    time_constant: Millis
    layers: tuple[tuple[float, ...], ...] = ()
    usable_rounds: int = 0
    is_unsettled: bool = False
    last_distance: float = 0.0
    _noise: float = _USUAL_NOISE
    _last: dict[str, CountSample] = field(default_factory=dict)
    _sampled_at: Millis = 0

    @property
    def noise(self) -> float:
        """Total variation between two samples while popularity stays."""
        return self._noise

    @property
    def rates(self) -> tuple[tuple[float, ...], ...]:
        """Popularity of each expert beside the others, by layer."""
        return self.layers

    def add_counts(self, samples: list[CountSample], now: Millis) -> bool:
        """Take in one round of counts; return whether it may be planned for.

        Ranks that were not asked last time, or began again, only give a base.
        """
        grown = [g for sample in samples if (g := self._growth(sample)) is not None]
        for sample in samples:
            self._last[sample.endpoint] = sample
        span = now - self._sampled_at
        self._sampled_at = now
        if not grown or not any(map(any, grown[0])):
            return False
        summed = tuple(
            tuple(float(sum(of_expert)) for of_expert in zip(*layers, strict=True))
            for layers in zip(*grown, strict=True)
        )
        if not self._settles(summed, span):
            return False
        self.usable_rounds += 1
        return True

    def discard_endpoint(self, endpoint: str) -> None:
        """Forget the counts of an endpoint that has started again or is gone."""
        self._last.pop(endpoint, None)

    def restore(self, rates: list[list[int]]) -> None:
        """Begin with a popularity that another coordinator has seen."""
        self.layers = tuple(tuple(map(float, layer)) for layer in rates)

    def _settles(self, summed: tuple[tuple[float, ...], ...], span: Millis) -> bool:
        """Add growth up, or begin anew with it; return if no jump falls in it."""
        distance = _distance(self.layers, summed) if self.layers else 0.0
        self.last_distance = distance
        jumped = distance > max(_LEAST_JUMP, _JUMP_OVER_NOISE * self._noise)
        if self.usable_rounds == 0:
            # What another coordinator saw is of long ago: there is no jump in this
            # growth to wait for the end of.
            self.layers = ()
            jumped = False
        if jumped and not self.is_unsettled:
            self.layers = summed
            self.is_unsettled = True
            return False
        if jumped or self.is_unsettled or not self.layers:
            self.layers = summed
        else:
            self._noise += _NOISE_SMOOTHING * (distance - self._noise)
            kept = exp(-span / self.time_constant)
            self.layers = tuple(
                tuple(kept * old + new for old, new in zip(before, grown, strict=True))
                for before, grown in zip(self.layers, summed, strict=True)
            )
        self.is_unsettled = False
        return True

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


def _distance(
    known: tuple[tuple[float, ...], ...], grown: tuple[tuple[float, ...], ...]
) -> float:
    """Return the mean total variation between the layers of two popularities.

    Examples
    --------
    >>> _distance(((1.0, 1.0),), ((4.0, 0.0),))
    0.5
    """
    distances = []
    for before, now in zip(known, grown, strict=True):
        parts = zip(_shares(before), _shares(now), strict=True)
        distances.append(sum(abs(a - b) for a, b in parts) / 2)
    return sum(distances) / len(distances)


def _shares(counts: tuple[float, ...]) -> list[float]:
    total = sum(counts) or 1.0
    return [count / total for count in counts]
