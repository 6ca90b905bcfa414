"""Estimates of the work of requests, from hints of callers and from ended streams.

A hint is the caller's estimate of an answer's tokens. How far it can be trusted is
learnt for each organisation on each route from the streams that ended. Requests
without a hint are estimated at their prompt and their largest answer.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from math import exp, log

__all__ = ["HintFault", "WorkEstimator", "find_hint_fault"]

_MAX_ORGANISATIONS = 10_000
"""Organisations remembered for each route; the largest site has 8,200."""

_MIN_STREAMS = 8
"""Ended streams of a route before hints are used: with fewer, the route's spread is
not known, against which hints are weighted."""

_ROUTE_SMOOTHING = 0.01
_HINT_SMOOTHING = 0.05
"""Least weights of the newest stream. An organisation that changes how it computes
its hints is followed within some 20 of its streams."""

_PRIOR_STREAMS = 2.0
_PRIOR_SQUARED_ERROR = 1.0
"""What is assumed of hints before any was compared with an answer: right on average,
and off by a factor of e, with the weight of this many streams."""

_MIN_SQUARED_ERROR = 1e-3
"""Keeps the weights finite where all errors so far were zero."""


class HintFault(StrEnum):
    """Why a hint is ignored."""

    UNREADABLE = "unreadable"
    ZERO = "zero"
    NO_MAXIMUM = "no_maximum"
    ABOVE_MAXIMUM = "above_maximum"


def find_hint_fault(hint: int | None, max_answer_tokens: int) -> HintFault | None:
    """Return why the hint of a request that sent one is ignored; None if it is not.

    Parameters
    ----------
    hint : int or None
        None if it cannot be read.
    max_answer_tokens : int
        0 if the request does not say.

    Examples
    --------
    >>> find_hint_fault(40, 100), find_hint_fault(400, 100)
    (None, <HintFault.ABOVE_MAXIMUM: 'above_maximum'>)
    """
    if hint is None:
        return HintFault.UNREADABLE
    if hint <= 0:
        return HintFault.ZERO
    if max_answer_tokens <= 0:
        return HintFault.NO_MAXIMUM
    return HintFault.ABOVE_MAXIMUM if hint > max_answer_tokens else None


@dataclass(slots=True)
class _MovingMean:
    """Moving mean of a logarithm, and of the squared error of that mean as forecast.

    Parameters
    ----------
    smoothing : float
        Least weight of the newest value.
    prior_count : float
        Values for which the first ``mean`` and ``squared_error`` stand; 0 if the
        first value replaces the mean.
    """

    smoothing: float
    prior_count: float = 0.0
    mean: float = 0.0
    squared_error: float = _PRIOR_SQUARED_ERROR
    count: int = 0

    def observe(self, value: float) -> None:
        """Update the means with one value."""
        self.count += 1
        seen = self.count + self.prior_count
        weight = max(self.smoothing, 1.0 / seen)
        error = value - self.mean
        self.mean += weight * error
        # A first value without a prior shows no error: there was no forecast.
        if seen > 1.0:
            self.squared_error += weight * (error * error - self.squared_error)

    @property
    def weight(self) -> float:
        """Weight of a forecast with this error, beside others."""
        return 1.0 / max(_MIN_SQUARED_ERROR, self.squared_error)


def _answers() -> _MovingMean:
    return _MovingMean(_ROUTE_SMOOTHING)


def _ratios() -> _MovingMean:
    return _MovingMean(_HINT_SMOOTHING, _PRIOR_STREAMS)


@dataclass(slots=True)
class _RouteStreams:
    """Ended streams of a route: their answers, and ratios of answer to hint."""

    answers: _MovingMean = field(default_factory=_answers)
    ratios: OrderedDict[str, _MovingMean] = field(default_factory=OrderedDict)

    def ratios_of(self, organisation: str) -> _MovingMean:
        """Return an organisation's ratios, to add to; the oldest one makes room."""
        ratios = self.ratios.setdefault(organisation, _ratios())
        self.ratios.move_to_end(organisation)
        if len(self.ratios) > _MAX_ORGANISATIONS:
            self.ratios.popitem(last=False)
        return ratios


class WorkEstimator:
    """Estimates the tokens of one service's requests at one gateway.

    Only routes given to :meth:`set_routes` are remembered, and of each route the
    10,000 organisations whose streams ended last.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteStreams] = {}

    def set_routes(self, routes: Iterable[str]) -> None:
        """Replace the routes; streams of those that stay are still remembered."""
        self._routes = {
            name: self._routes.get(name) or _RouteStreams() for name in routes
        }

    def estimate(
        self,
        route: str,
        organisation: str,
        prompt_tokens: int,
        max_answer_tokens: int,
        hint: int | None,
    ) -> int:
        """Return the tokens of a request's prompt and answer, at least 1.

        Parameters
        ----------
        route, organisation : str
        prompt_tokens, max_answer_tokens : int
            0 where the request does not say.
        hint : int or None
            Must be between 1 and ``max_answer_tokens``; None without a usable hint.

        Examples
        --------
        >>> estimator = WorkEstimator()
        >>> estimator.set_routes(["r"])
        >>> estimator.estimate("r", "o", 70, 100, hint=5)
        170
        >>> for _ in range(50):
        ...     estimator.observe("r", "o", 5, hint=None)
        >>> estimator.estimate("r", "o", 70, 100, hint=5)
        75
        >>> estimator.estimate("r", "o", 70, 100, hint=None)
        170
        >>> estimator.estimate("r", "o", 0, 0, hint=None)
        1
        >>> estimator.set_routes([])
        >>> estimator.estimate("r", "o", 70, 100, hint=5)
        170
        """
        answer = max_answer_tokens
        streams = self._routes.get(route)
        if hint is not None and streams and streams.answers.count >= _MIN_STREAMS:
            likely = _likely_answer(streams, organisation, hint)
            answer = max(1, min(max_answer_tokens, round(likely)))
        return prompt_tokens + answer or 1

    def observe(
        self, route: str, organisation: str, answer_tokens: int, hint: int | None
    ) -> None:
        """Learn from a stream that ended whole.

        Parameters
        ----------
        route, organisation : str
        answer_tokens : int
            The whole answer.
        hint : int or None
            None without a usable hint.
        """
        streams = self._routes.get(route)
        if streams is None:
            return
        answer = log(max(1, answer_tokens))
        streams.answers.observe(answer)
        if hint is not None:
            streams.ratios_of(organisation).observe(answer - log(hint))


_UNKNOWN_RATIOS = _ratios()


def _likely_answer(streams: _RouteStreams, organisation: str, hint: int) -> float:
    """Return the mean, in logarithms, of the corrected hint and the route's answers."""
    ratios = streams.ratios.get(organisation, _UNKNOWN_RATIOS)
    corrected = log(hint) + ratios.mean
    answers = streams.answers
    total = ratios.weight + answers.weight
    return exp((corrected * ratios.weight + answers.mean * answers.weight) / total)
