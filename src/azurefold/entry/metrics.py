"""What an entry counts."""

from collections.abc import Iterator
from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter

from azurefold.core.clock import Clock
from azurefold.entry.histogram import ServiceHistogram
from azurefold.entry.parts import GivenUp, Part, Text, Whole
from azurefold.entry.requests import CallerRequest

__all__ = ["EntryMetrics", "new_entry_metrics"]

_FIRST_TOKEN_MS = (50, 100, 250, 500, 800, 1_100, 1_500, 2_500, 5_000, 10_000)
_BETWEEN_MS = (10, 20, 35, 50, 70, 100, 200, 500, 1_000)


@dataclass(slots=True)
class EntryMetrics:
    """Counters and histograms of one entry.

    Histograms carry the service, never the organisation: 8,200 of them times
    the buckets would be more memory than the whole process may take.
    """

    clock: Clock
    registry: CollectorRegistry
    answers: Counter
    first_token: ServiceHistogram
    between_tokens: ServiceHistogram
    dropped_frames: Counter
    organisation_answers: Counter
    connections_lost: Counter
    settles: Counter
    bad_requests: Counter

    def dropped(self, reason: str) -> None:
        """Count a frame that was not passed on."""
        self.dropped_frames.labels(reason=reason).inc()

    def lost(self, service: str) -> None:
        """Count a connection that was lost with an attempt on it."""
        self.connections_lost.labels(service=service).inc()

    def settled(self, service: str, state: str) -> None:
        """Count an agent's answer to what became of an attempt."""
        self.settles.labels(service=service, state=state).inc()

    def observed(self, request: CallerRequest, parts: Iterator[Part]) -> Iterator[Part]:
        """Yield an answer's parts and note when they came and how it ended."""
        started = self.clock.now()
        last = None
        result = "abandoned"
        first_token = self.first_token.of(request.service)
        between = self.between_tokens.of(request.service)
        try:
            for part in parts:
                if isinstance(part, Text):
                    now = self.clock.now()
                    if last is None:
                        first_token.observe(now - started)
                    else:
                        between.observe(now - last)
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
    first_token = ServiceHistogram(
        "azurefold_entry_first_token_seconds",
        "From the request to the first text",
        _FIRST_TOKEN_MS,
    )
    between_tokens = ServiceHistogram(
        "azurefold_entry_between_tokens_seconds",
        "Between two texts of one answer",
        _BETWEEN_MS,
    )
    registry.register(first_token)
    registry.register(between_tokens)
    return EntryMetrics(
        clock=clock,
        registry=registry,
        answers=Counter(
            "azurefold_entry_answers",
            "Final answers to callers",
            ["service", "result"],
            registry=registry,
        ),
        first_token=first_token,
        between_tokens=between_tokens,
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
        connections_lost=Counter(
            "azurefold_entry_connections_lost",
            "Connections to agents that broke or went silent with an attempt on them",
            ["service"],
            registry=registry,
        ),
        settles=Counter(
            "azurefold_entry_settles",
            "What agents said became of attempts",
            ["service", "state"],
            registry=registry,
        ),
        bad_requests=Counter(
            "azurefold_entry_bad_requests",
            "Requests that could not be understood",
            ["reason"],
            registry=registry,
        ),
    )
