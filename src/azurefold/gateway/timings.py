"""How long answers take, and how well they were estimated, by service."""

from dataclasses import dataclass, field

from azurefold.entry.histogram import ServiceHistogram

__all__ = ["Timings"]

_ANSWER_MS = (25, 50, 100, 200, 300, 400, 600, 1_000, 2_000, 4_000, 8_000)
_GAP_MS = (20, 40, 60, 80, 100, 120, 160, 250, 500, 1_500)
_THOUSANDTHS = (50, 100, 200, 350, 500, 700, 1_000, 1_400, 2_000, 3_000, 5_000, 10_000)


def _histogram(name: str, text: str, bounds: tuple[int, ...]) -> ServiceHistogram:
    return ServiceHistogram(f"azurefold_gateway_{name}_seconds", text, bounds)


def _first() -> ServiceHistogram:
    return _histogram("first_event", "To a stream's first event", _ANSWER_MS)


def _gaps() -> ServiceHistogram:
    return _histogram("event_gap", "Between two events of a stream", _GAP_MS)


def _ends() -> ServiceHistogram:
    return _histogram("request", "From a request to its final answer", _ANSWER_MS)


def _ratios() -> ServiceHistogram:
    return ServiceHistogram(
        "azurefold_gateway_answer_estimate_ratio",
        "Tokens of an answer by those that its request's hint made expected",
        _THOUSANDTHS,
    )


@dataclass(frozen=True, slots=True)
class Timings:
    """Histograms by service; never by organisation, of which there are thousands.

    Parameters
    ----------
    first_events, event_gaps, requests : ServiceHistogram
        In seconds; milliseconds are added.
    estimate_ratios : ServiceHistogram
        Answers of requests with a hint by their estimates; thousandths are added.
    """

    first_events: ServiceHistogram = field(default_factory=_first)
    event_gaps: ServiceHistogram = field(default_factory=_gaps)
    requests: ServiceHistogram = field(default_factory=_ends)
    estimate_ratios: ServiceHistogram = field(default_factory=_ratios)
