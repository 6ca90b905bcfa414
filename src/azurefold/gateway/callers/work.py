"""The work of one call in tokens: its estimate, and what it took."""

import logging
from dataclasses import dataclass, field

from azurefold.core.admission.work_estimate import HintFault, find_hint_fault
from azurefold.core.clock import Millis
from azurefold.core.routes.model import AnswerKind
from azurefold.gateway.callers.calls import Call
from azurefold.gateway.service_state import GatewayService
from azurefold.gateway.timings import Timings
from azurefold.internal.logs import log_event

__all__ = ["CallWork"]

_log = logging.getLogger("azurefold.gateway")

_RATIO_UNIT = 1_000


def _answer_tokens(call: Call, service: GatewayService, events: int) -> int:
    """Return the tokens in a number of events, at most the call's maximum."""
    tokens = round(events * service.event_size.tokens)
    return min(tokens, call.head.answer_tokens) if call.head.answer_tokens else tokens


@dataclass(slots=True)
class CallWork:
    """Estimate of a call's work, and comparison with what it took.

    Parameters
    ----------
    call : Call
    service : GatewayService
    hint : int or None
        The caller's hint if it can be used.
    estimated_tokens : int
        Of prompt and answer. Prompt and largest answer without a usable hint.
    has_run : bool
        Whether an endpoint may have run the call.
    """

    call: Call
    service: GatewayService
    hint: int | None = field(init=False)
    estimated_tokens: int = field(init=False)
    has_run: bool = False

    def __post_init__(self) -> None:
        head = self.call.head
        is_used = self.service.uses_size_hints and self._find_fault() is None
        self.hint = head.length_hint if is_used else None
        self.estimated_tokens = self.service.estimator.estimate(
            self.call.route.name,
            self.call.organisation,
            head.prompt_tokens,
            head.answer_tokens,
            self.hint,
        )

    @property
    def estimated_answer_tokens(self) -> int:
        """Of the answer alone."""
        return self.estimated_tokens - self.call.head.prompt_tokens

    def count_ignored_hint(self, now: Millis) -> None:
        """Count and log a hint that the call sent and that cannot be used."""
        fault = self._find_fault() if self.service.uses_size_hints else None
        if fault is None or not self.service.note_ignored_hint(fault, now):
            return
        head = self.call.head
        log_event(
            _log,
            "length_hint_ignored",
            logging.WARNING,
            request=self.call.id,
            service=self.call.service,
            organisation=self.call.organisation,
            why=fault,
            hint=head.bad_length_hint or head.length_hint,
            max_answer_tokens=head.answer_tokens,
        )

    def attempt_ended(self, events: int, *, is_run: bool) -> int | None:
        """Return what an attempt took that gave so many events of a stream.

        None for other answers, whose tokens are not known.
        """
        if not is_run:
            return 0
        self.has_run = True
        if self.call.route.kind is not AnswerKind.STREAMING:
            return None
        answer = _answer_tokens(self.call, self.service, events)
        return self.call.head.prompt_tokens + answer

    def record_whole(self, events: int, timings: Timings) -> None:
        """Learn from an answer that ended whole, if it is a stream from its start."""
        call = self.call
        is_stream = call.route.kind is AnswerKind.STREAMING
        is_learnt = self.service.uses_size_hints and is_stream
        if not is_learnt or not events or call.head.last_event_id is not None:
            return
        self.service.stream_ended(events, call.head.answer_tokens)
        answer = _answer_tokens(call, self.service, events)
        self.service.estimator.observe(
            call.route.name, call.organisation, answer, self.hint
        )
        if self.hint is not None:
            ratio = answer / self.estimated_answer_tokens
            histogram = timings.estimate_ratios.of(call.service)
            histogram.observe(round(ratio * _RATIO_UNIT))

    def fields(self, events: int) -> dict[str, int]:
        """Return the fields of the log line at a request's end, if it has a hint."""
        if self.hint is None:
            return {}
        answer = _answer_tokens(self.call, self.service, events)
        taken = self.call.head.prompt_tokens + answer
        return {
            "estimated_tokens": self.estimated_tokens,
            "tokens": taken if self.has_run else 0,
        }

    def _find_fault(self) -> HintFault | None:
        head = self.call.head
        if head.length_hint is None and not head.bad_length_hint:
            return None
        return find_hint_fault(head.length_hint, head.answer_tokens)
