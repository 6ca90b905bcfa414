"""Generated days of expert popularity: drift, a recall wave, booking hours."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from azurefold.core.clock import SECOND, Millis

__all__ = ["BOOKING_END", "BOOKING_START", "MINUTE", "Shape", "Tick", "trace"]

MINUTE: Millis = 60 * SECOND
HOUR: Millis = 60 * MINUTE
BOOKING_START: Millis = 9 * HOUR
BOOKING_END: Millis = 14 * HOUR

_ZIPF_EXPONENT = 0.8
_DRIFT_SIGMA = 0.35
_DRIFT_TIME_CONSTANT: Millis = 3 * HOUR
_DAILY_AMPLITUDE = 0.4
_WAVE_START: Millis = 13 * HOUR
_WAVE_END: Millis = 14 * HOUR + 30 * MINUTE
_WAVE_RAMP: Millis = 6 * MINUTE
_WAVE_SHARE = 0.05
_WAVE_FACTOR = 5.0
_BOOKING_SHARE = 0.10
_BOOKING_FACTOR = 2.0
_BOOKING_RAMP: Millis = 30 * MINUTE
_PICKS_PER_STEP = 131_072
_STEPS_PER_TICK = 3
_STRAGGLER_START: Millis = 10 * HOUR
_STRAGGLER_RANK = 3
_STRAGGLER_SPEED = 0.7


@dataclass(frozen=True, slots=True)
class Shape:
    """Size of a group and of its trace."""

    n_ranks: int
    n_experts: int
    slots_per_rank: int
    n_layers: int
    n_ticks: int
    straggler: bool
    seed: int

    @property
    def tick(self) -> Millis:
        """Milliseconds between two decisions; the ticks cover one day."""
        return 24 * HOUR // self.n_ticks

    @property
    def name(self) -> str:
        """Words for the tables."""
        slow = ", one straggler" if self.straggler else ""
        return f"{self.n_ranks} ranks, {self.n_experts} experts{slow}"


@dataclass(frozen=True, slots=True)
class Tick:
    """What happens in one tick.

    Parameters
    ----------
    time_of_day : int
        Start of the tick, milliseconds since midnight.
    counts : tuple of tuple of int
        For each layer the tokens that each expert got in the tick.
    steps : tuple of tuple of tuple of float
        For a few sampled steps, for each layer, the picks of each expert.
    speeds : tuple of float
        True speed of each rank.
    """

    time_of_day: Millis
    counts: tuple[tuple[int, ...], ...]
    steps: tuple[tuple[tuple[float, ...], ...], ...]
    speeds: tuple[float, ...]


@dataclass(slots=True)
class _Expert:
    base: float
    phase: float
    in_wave: bool
    in_booking: bool
    drift: float


def trace(shape: Shape) -> Iterator[Tick]:
    """Yield the ticks of a day spread over ``shape.n_ticks``."""
    rng = random.Random(shape.seed)
    layers = [_experts(shape, rng) for _ in range(shape.n_layers)]
    for index in range(shape.n_ticks):
        at = index * shape.tick
        weights = [_weights(experts, at, shape.tick, rng) for experts in layers]
        steps = tuple(
            tuple(_step(of_layer, rng) for of_layer in weights)
            for _ in range(_STEPS_PER_TICK)
        )
        yield Tick(at, _counts(weights), steps, _speeds(shape, at))


def _experts(shape: Shape, rng: random.Random) -> list[_Expert]:
    places = list(range(1, shape.n_experts + 1))
    rng.shuffle(places)
    return [
        _Expert(
            base=place**-_ZIPF_EXPONENT,
            phase=rng.uniform(0, 2 * math.pi),
            in_wave=rng.random() < _WAVE_SHARE,
            in_booking=rng.random() < _BOOKING_SHARE,
            drift=rng.gauss(0, _DRIFT_SIGMA),
        )
        for place in places
    ]


def _weights(
    experts: list[_Expert], at: Millis, spacing: Millis, rng: random.Random
) -> list[float]:
    """Return the share of each expert, after drift has gone on by one tick."""
    keep = math.exp(-spacing / _DRIFT_TIME_CONSTANT)
    fresh = _DRIFT_SIGMA * math.sqrt(1 - keep * keep)
    wave = _ramp(at, _WAVE_START, _WAVE_END, _WAVE_RAMP) * (_WAVE_FACTOR - 1)
    booking = _ramp(at, BOOKING_START, BOOKING_END, _BOOKING_RAMP)
    booking *= _BOOKING_FACTOR - 1
    weights = []
    for expert in experts:
        expert.drift = keep * expert.drift + fresh * rng.gauss(0, 1)
        angle = 2 * math.pi * at / (24 * HOUR) + expert.phase
        weight = expert.base * math.exp(
            expert.drift + _DAILY_AMPLITUDE * math.sin(angle)
        )
        weight *= 1 + wave * expert.in_wave
        weight *= 1 + booking * expert.in_booking
        weights.append(weight)
    total = sum(weights)
    return [weight / total for weight in weights]


def _ramp(at: Millis, start: Millis, end: Millis, ramp: Millis) -> float:
    """Return 0 outside, 1 inside, and a line between on both sides."""
    if at < start or at > end + ramp:
        return 0.0
    if at <= end:
        return min(1.0, (at - start) / ramp)
    return 1.0 - (at - end) / ramp


def _step(weights: list[float], rng: random.Random) -> tuple[float, ...]:
    picks = [weight * _PICKS_PER_STEP for weight in weights]
    return tuple(max(0.0, mean + rng.gauss(0, math.sqrt(mean))) for mean in picks)


def _counts(weights: list[list[float]]) -> tuple[tuple[int, ...], ...]:
    per_tick = 1_000 * _PICKS_PER_STEP
    return tuple(
        tuple(round(weight * per_tick) for weight in layer) for layer in weights
    )


def _speeds(shape: Shape, at: Millis) -> tuple[float, ...]:
    speeds = [1.0] * shape.n_ranks
    if shape.straggler and at >= _STRAGGLER_START:
        speeds[_STRAGGLER_RANK] = _STRAGGLER_SPEED
    return tuple(speeds)
