"""Popularity of experts, estimated from the counts of a few ranks."""

from dataclasses import dataclass, field
from math import exp

from azurefold.core.clock import Millis

__all__ = ["CountSample", "SampledPopularity"]

_INITIAL_NOISE = 0.12
"""Total variation between the counts of two ranks and of all ranks over half a second,
while the popularity did not change."""

_NOISE_SMOOTHING = 0.2
"""Weight of the newest distance in the moving average of the noise."""

_JUMP_TO_NOISE_RATIO = 1.7
"""Ratio to the noise above which a total variation counts as a jump."""

_MIN_JUMP = 0.2
"""Minimum total variation of a jump. Jumps have 0.3 to 0.6; half seconds without a jump
have 0.05 to 0.13. A map planned for a popularity off by 0.2 has a skew of about 1.4."""


@dataclass(frozen=True, slots=True)
class CountSample:
    """Counts of one rank since it started.

    Parameters
    ----------
    endpoint : str
        Endpoint of the rank. Ranks of several groups are sampled, so rank numbers are
        not unique.
    epoch : int
        Epoch of the group.
    counts : tuple of tuple of int, shape (n_layers, n_experts)
        How often requests of the rank were routed to each expert.
    """

    endpoint: str
    epoch: int
    counts: tuple[tuple[int, ...], ...]


@dataclass(slots=True)
class SampledPopularity:
    """Popularity of the experts of each layer, from the growth of the ranks' counts.

    Popularity is nearly constant for some seconds and then jumps. While it is constant,
    all growth since the last jump is summed, so the estimate from a few ranks becomes
    more and more exact. A moving average with a constant decay would be noisy at first
    and would lag for a second after each jump. Growth that spans a jump mixes the
    popularity before and after it and must not be used to plan a map; another sample
    should follow soon.

    Parameters
    ----------
    time_constant : int
        Time after which old growth has decayed to 1/e, in milliseconds, so that the
        estimate follows slow drift.
    layers : tuple of tuple of float
        Summed growth of each expert's counts, by layer; empty before the first growth.
    usable_rounds : int
        Number of rounds so far whose result was usable for planning.
    is_unsettled : bool
        Whether the last growth may span a jump, so that it must not be used.
    last_distance : float
        Total variation between the last growth and the popularity before it.
    """

    time_constant: Millis
    layers: tuple[tuple[float, ...], ...] = ()
    usable_rounds: int = 0
    is_unsettled: bool = False
    last_distance: float = 0.0
    _noise: float = _INITIAL_NOISE
    _last_samples: dict[str, CountSample] = field(default_factory=dict)
    _sampled_at: Millis = 0

    @property
    def noise(self) -> float:
        """Estimated total variation between two samples without a jump."""
        return self._noise

    @property
    def rates(self) -> tuple[tuple[float, ...], ...]:
        """Popularity of each expert relative to the others, by layer."""
        return self.layers

    def add_counts(self, samples: list[CountSample], now: Millis) -> bool:
        """Add a round of counts; return whether the popularity is usable for planning.

        Counts of a rank without a previous sample, or from a restarted rank, only
        serve as the base for the next growth.
        """
        growths = [
            rank_growth
            for sample in samples
            if (rank_growth := self._growth(sample)) is not None
        ]
        growths = [each for each in growths if _shape(each) == _shape(growths[0])]
        for sample in samples:
            self._last_samples[sample.endpoint] = sample
        elapsed = now - self._sampled_at
        self._sampled_at = now
        if not growths or not any(map(any, growths[0])):
            return False
        growth = tuple(
            tuple(
                float(sum(expert_growths))
                for expert_growths in zip(*layers, strict=True)
            )
            for layers in zip(*growths, strict=True)
        )
        if not self._add_growth(growth, elapsed):
            return False
        self.usable_rounds += 1
        return True

    def discard_endpoint(self, endpoint: str) -> None:
        """Discard the counts of an endpoint that has restarted or was removed."""
        self._last_samples.pop(endpoint, None)

    def restore(self, rates: list[list[int]]) -> None:
        """Start from a popularity that another coordinator has stored."""
        self.layers = tuple(tuple(map(float, layer)) for layer in rates)

    def _add_growth(
        self, growth: tuple[tuple[float, ...], ...], elapsed: Millis
    ) -> bool:
        """Add growth or restart the sum with it; return whether it spans no jump."""
        if self.layers and _shape(self.layers) != _shape(growth):
            # The engine has other layers or experts than before.
            self.layers, self.usable_rounds = (), 0
        distance = _total_variation(self.layers, growth) if self.layers else 0.0
        self.last_distance = distance
        has_jumped = distance > max(_MIN_JUMP, _JUMP_TO_NOISE_RATIO * self._noise)
        if self.usable_rounds == 0:
            # The stored popularity of another coordinator is old. A difference to it
            # does not mean that this growth spans a jump.
            self.layers = ()
            has_jumped = False
        if has_jumped and not self.is_unsettled:
            self.layers = growth
            self.is_unsettled = True
            return False
        if has_jumped or self.is_unsettled or not self.layers:
            self.layers = growth
        else:
            self._noise += _NOISE_SMOOTHING * (distance - self._noise)
            decay = exp(-elapsed / self.time_constant)
            self.layers = tuple(
                tuple(decay * old + new for old, new in zip(before, added, strict=True))
                for before, added in zip(self.layers, growth, strict=True)
            )
        self.is_unsettled = False
        return True

    def _growth(self, sample: CountSample) -> tuple[tuple[int, ...], ...] | None:
        previous = self._last_samples.get(sample.endpoint)
        if previous is None or previous.epoch != sample.epoch:
            return None
        if _shape(previous.counts) != _shape(sample.counts):
            return None
        growth = tuple(
            tuple(new - old for new, old in zip(new_layer, old_layer, strict=True))
            for new_layer, old_layer in zip(sample.counts, previous.counts, strict=True)
        )
        if any(min(layer) < 0 for layer in growth):
            return None
        return growth


def _shape(layers: tuple[tuple[float, ...], ...]) -> tuple[int, ...]:
    return tuple(map(len, layers))


def _total_variation(
    known: tuple[tuple[float, ...], ...], growth: tuple[tuple[float, ...], ...]
) -> float:
    """Return the mean total variation between the layers of two popularities.

    Examples
    --------
    >>> _total_variation(((1.0, 1.0),), ((4.0, 0.0),))
    0.5
    """
    layer_distances = []
    for before, after in zip(known, growth, strict=True):
        share_pairs = zip(_shares(before), _shares(after), strict=True)
        layer_distances.append(sum(abs(a - b) for a, b in share_pairs) / 2)
    return sum(layer_distances) / len(layer_distances)


def _shares(counts: tuple[float, ...]) -> list[float]:
    total = sum(counts) or 1.0
    return [count / total for count in counts]
