"""Finds an endpoint for each attempt of a request, and claims the caller's key."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from azurefold.core.attempts.claims import ClaimAcquired, FollowAttempt
from azurefold.core.attempts.ledger import AttemptRefusalReason
from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.core.attempts.request_state import (
    AttemptStatus,
    Event,
    NotDispatched,
    StatusReported,
)
from azurefold.core.clock import Clock
from azurefold.core.routing.messages import Chosen, Outcome, RouteRequest
from azurefold.entry.admission import Admission, Ticket
from azurefold.entry.agent_messages import AgentAddress
from azurefold.entry.claims import ClaimTaker
from azurefold.entry.requests import CallerRequest

__all__ = ["Placement"]

_MAX_ATTEMPTS = 4


@dataclass(slots=True)
class Placement:
    """The endpoints that one request was and may be sent to.

    Parameters
    ----------
    request : CallerRequest
    admission : Admission
        Of the request's service.
    clock : Clock
        Monotonic.
    claim : ClaimTaker or None
        For non-idempotent requests with a key.
    admit : callable
        Returns why the request may not be run now, or None.
    """

    request: CallerRequest
    admission: Admission
    clock: Clock
    claim: ClaimTaker | None
    admit: Callable[[], Failure | None]
    _tried: set[str] = field(default_factory=set)
    _attempts: int = 0
    _sent: bool = False
    _admitted: bool = False
    _open: Chosen | None = None
    _attempt_id: str = ""

    def acquire(self, attempt_id: str) -> Chosen | Failure:
        """Return an endpoint for an attempt, or why there is none."""
        chosen = self._chosen(self._ticket(attempt_id))
        if isinstance(chosen, Chosen):
            self._attempts += 1
            self._open = chosen
            self._attempt_id = attempt_id
        return chosen

    def unknown(self, endpoint: str) -> None:
        """Take in that nobody knows where the endpoint's agent listens."""
        self._tried.add(endpoint)

    def sent(self, endpoint: str) -> None:
        """Take in that an attempt is sent to the endpoint."""
        self._sent = True
        self._tried.add(endpoint)

    def take_claim(
        self, agent: AgentAddress, attempt_id: str
    ) -> ClaimAcquired | FollowAttempt | Failure:
        """Claim the caller's key, if there is one, for an attempt."""
        if self.claim is None:
            return ClaimAcquired()
        return self.claim.take(attempt_id, agent.endpoint, agent.incarnation)

    def check_refusal(self, failure: Failure) -> FollowAttempt | Failure:
        """Make a refusal true for the caller's key, not only for this call."""
        if self.claim is None or failure.ran is not RunStatus.NOT_RUN:
            return failure
        return self.claim.check_refusal(failure)

    def not_taken(self, endpoint: str, reason: str) -> None:
        """Take in why an agent did not take the attempt."""
        # The agent knows first that its endpoint leaves. An entry that no
        # control process tells would else send it every other request and
        # spend its retry budget on the refusals.
        if reason == AttemptRefusalReason.LEAVING:
            self.admission.pool.mark_leaving(endpoint, self.clock.now())

    def report(self, outcome: Outcome) -> None:
        """Give up the present endpoint, if there is one."""
        chosen = self._open
        if chosen is None:
            return
        self._open = None
        self.admission.finished(chosen.endpoint, self._attempt_id, outcome)

    def may_retry(self, event: Event, passed: int) -> bool:
        """Return whether another attempt may be made after this event."""
        if self._attempts >= _MAX_ATTEMPTS or passed > 0:
            return False
        if self.clock.now() >= self.request.deadline or self._attempts == 0:
            return False
        # Taking over a key whose claim was never dispatched is no retry: this
        # call has sent nothing yet. Charged to the budget, the repeats that
        # come after an outage would be refused although all is well again.
        # A refusal for old news costs the endpoint next to nothing, and what
        # never reached it nothing at all. The budget protects endpoints from
        # added load; charged for these, it would refuse the requests that met
        # connections gone silent, all at the same moment.
        if not self._sent or _cost_nothing(event):
            return True
        return self.admission.try_retry()

    def _chosen(self, ticket: Ticket) -> Chosen | Failure:
        if self._sent:
            return self.admission.retry(ticket)
        refused = None if self._admitted else self.admit()
        if refused is not None:
            return refused
        self._admitted = True
        return self.admission.acquire(ticket)

    def _ticket(self, attempt_id: str) -> Ticket:
        request = self.request
        ticket = Ticket(
            attempt_id,
            request.organisation,
            request.priority,
            request.tokens,
            request.deadline,
            RouteRequest(request.prefixes, request.prompt_tokens),
        )
        if not self._tried:
            return ticket
        route = replace(ticket.route, exclude=frozenset(self._tried))
        return replace(ticket, route=route)


def _cost_nothing(event: Event) -> bool:
    match event:
        case StatusReported(status=AttemptStatus.NOT_RUN):
            return True
        case NotDispatched(reason=reason):
            return reason in (
                AttemptRefusalReason.LEAVING,
                AttemptRefusalReason.WRONG_INCARNATION,
            )
        case _:
            return False
