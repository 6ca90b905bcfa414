"""What an entry counts."""

from collections.abc import Iterator
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from azurefold.core.clock import Clock
from azurefold.entry.relay import GivenUp, Part, Text, Whole
from azurefold.entry.requests import CallerRequest

__all__ = ["EntryMetrics", "new_entry_metrics"]

_SECOND_MS = 1_000
_FIRST_TOKEN_BUCKETS = (0.05, 0.1, 0.25, 0.5, 0.8, 1.1, 1.5, 2.5, 5.0, 10.0)
_BETWEEN_BUCKETS = (0.01, 0.02, 0.035, 0.05, 0.07, 0.1, 0.2, 0.5, 1.0)


@dataclass(slots=True)
class EntryMetrics:
    """Counters and histograms of one entry.

    Histograms carry the service, never the organisation: 8,200 of them times
    the buckets would be more memory than the whole process may take.
    """

    clock: Clock
    registry: CollectorRegistry
    answers: Counter
    first_token: Histogram
    between_tokens: Histogram
    dropped_frames: Counter
    organisation_answers: Counter
    waiting: Gauge
    endpoints: Gauge

    def dropped(self, reason: str) -> None:
        """Count a frame that was not passed on."""
        self.dropped_frames.labels(reason=reason).inc()

    def observed(self, request: CallerRequest, parts: Iterator[Part]) -> Iterator[Part]:
        """Yield an answer's parts and note when they came and how it ended."""
        started = self.clock.now()
        last = None
        result = "abandoned"
        first_token = self.first_token.labels(service=request.service)
        between = self.between_tokens.labels(service=request.service)
        try:
            for part in parts:
                if isinstance(part, Text):
                    now = self.clock.now()
                    if last is None:
                        first_token.observe((now - started) / _SECOND_MS)
                    else:
                        between.observe((now - last) / _SECOND_MS)
                    last = now
                elif isinstance(part, Whole):
                    result = "answered"
                elif isinstance(part, GivenUp):
                    result = str(part.failure.ran)
                yield part
        finally:
            self.answers.labels(service=request.service, result=result).inc()
            self.organisation_answers.labels(
                organisation=request.organisation,
                result="answered" if result == "answered" else "other",
            ).inc()


def new_entry_metrics(clock: Clock) -> EntryMetrics:
    """Return an entry's metrics in a registry of their own."""
    registry = CollectorRegistry()
    return EntryMetrics(
        clock=clock,
        registry=registry,
        answers=Counter(
            "azurefold_entry_answers",
            "Final answers to callers",
            ["service", "result"],
            registry=registry,
        ),
        first_token=Histogram(
            "azurefold_entry_first_token_seconds",
            "From the request to the first text",
            ["service"],
            buckets=_FIRST_TOKEN_BUCKETS,
            registry=registry,
        ),
        between_tokens=Histogram(
            "azurefold_entry_between_tokens_seconds",
            "Between two texts of one answer",
            ["service"],
            buckets=_BETWEEN_BUCKETS,
            registry=registry,
        ),
        dropped_frames=Counter(
            "azurefold_entry_dropped_frames",
            "Frames not passed on to a caller",
            ["reason"],
            registry=registry,
        ),
        organisation_answers=Counter(
            "azurefold_entry_organisation_answers",
            "Final answers by organisation",
            ["organisation", "result"],
            registry=registry,
        ),
        waiting=Gauge(
            "azurefold_entry_waiting",
            "Requests that wait for an endpoint",
            ["service"],
            registry=registry,
        ),
        endpoints=Gauge(
            "azurefold_entry_endpoints",
            "Endpoints that requests may go to",
            ["service"],
            registry=registry,
        ),
    )
