"""State machine of callers, entries, the claim table and one agent.

The decisions come from the code under test: :class:`RequestState`, :class:`Ledger`
and :func:`decide_claim`. The network between them is simulated. Hypothesis chooses
which messages are delayed, duplicated and reordered. A message that is delayed until
the end of a run is lost.
"""

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from azurefold.core.attempts.claims import (
    Claim,
    ClaimAcquired,
    FollowAttempt,
    decide_claim,
)
from azurefold.core.attempts.ids import new_attempt_id
from azurefold.core.attempts.ledger import (
    Accepted,
    AlreadyKnown,
    NotRun,
    Refused,
    new_ledger,
)
from azurefold.core.attempts.outcome import RunStatus
from azurefold.core.attempts.request_state import (
    AgentUnresponsive,
    AttemptStatus,
    ConnectionLost,
    DispatchAgain,
    Fail,
    NotDispatched,
    QueryAttemptStatus,
    RequestState,
    ResumeAt,
    StatusReported,
)

KEYS = st.integers(0, 1)
CHOICES = st.integers(0, 63)
MAX_ATTEMPTS = 3
MAX_CALLS = 3
MAX_INCARNATIONS = 3
MAX_TIME_JUMPS = 2


@dataclass
class Call:
    """One call of a caller, and its current attempt."""

    number: int
    key: int
    request_state: RequestState
    next_action: object = field(default_factory=DispatchAgain)
    attempt: str = ""
    incarnation: str = ""
    attempts: int = 0
    version: int | None = None
    own_attempts: set[str] = field(default_factory=set)
    waiting: str | None = None
    reported: RunStatus | None = None


@dataclass(frozen=True)
class Message:
    """A request in transit to the agent."""

    kind: str
    call: int
    key: int
    attempt: str
    incarnation: str


@dataclass(frozen=True)
class Reply:
    """An agent's answer in transit to an entry."""

    call: int
    attempt: str
    kind: str
    event: object


class AtMostOnceMachine(RuleBasedStateMachine):
    """Non-idempotent requests under lost, late and duplicated messages and restarts."""

    use_claims = True

    def make_ledger(self, incarnation):
        """Return the ledger of an agent that has just started."""
        return new_ledger(incarnation)

    def make_request_state(self):
        """Return the request state of a new call."""
        return RequestState(is_idempotent=False)

    def __init__(self):
        super().__init__()
        self.now = 0
        self.time_jumps = 0
        self.attempts_created = 0
        self.latest_incarnation = 1
        self.known_incarnation = "1"
        self.ledger = self.make_ledger("1")
        self.table = {}
        self.calls = []
        self.messages = []
        self.replies = []
        self.runs = {0: [], 1: []}
        self.reached_incarnations = {}

    @precondition(lambda self: len(self.calls) < MAX_CALLS)
    @rule(key=KEYS)
    def receive_call(self, key):
        self.calls.append(Call(len(self.calls), key, self.make_request_state()))

    @precondition(
        lambda self: self.messages and self.latest_incarnation < MAX_INCARNATIONS
    )
    @rule()
    def restart_agent(self):
        self.latest_incarnation += 1
        self.ledger = self.make_ledger(str(self.latest_incarnation))

    @precondition(lambda self: self.known_incarnation != str(self.latest_incarnation))
    @rule()
    def update_known_incarnation(self):
        self.known_incarnation = str(self.latest_incarnation)

    @precondition(lambda self: self.calls and self.time_jumps < MAX_TIME_JUMPS)
    @rule(duration=st.sampled_from([1_000, 4_000_000]))
    def advance_time(self, duration):
        self.time_jumps += 1
        self.now += duration
        self.ledger.evict_expired(self.now)

    @precondition(lambda self: len(self.calls) == MAX_CALLS and not self._ready_calls())
    @rule()
    def do_nothing(self):
        pass

    @precondition(lambda self: any(self._ready_calls()))
    @rule(choice=CHOICES, is_table_available=st.booleans())
    def perform_next_action(self, choice, is_table_available):
        ready_calls = self._ready_calls()
        call = ready_calls[choice % len(ready_calls)]
        match call.next_action:
            case DispatchAgain():
                self._dispatch(call, is_table_available)
            case QueryAttemptStatus() | ResumeAt():
                call.waiting = "settle"
                self._send_message("settle", call)
            case Fail(failure=failure):
                self._report_outcome(call, failure.ran)

    @precondition(lambda self: self.messages)
    @rule(choice=CHOICES, is_duplicated=st.booleans())
    def deliver_message(self, choice, is_duplicated):
        index = choice % len(self.messages)
        message = self.messages[index]
        if not is_duplicated:
            del self.messages[index]
        if message.kind == "dispatch":
            self._deliver_dispatch(message)
        else:
            self._settle_at_agent(message)

    @precondition(lambda self: self.replies)
    @rule(choice=CHOICES)
    def deliver_reply(self, choice):
        reply = self.replies.pop(choice % len(self.replies))
        call = self.calls[reply.call]
        if call.waiting == reply.kind and call.attempt == reply.attempt:
            self._handle_event(call, reply.event)

    @precondition(lambda self: any(call.waiting for call in self.calls))
    @rule(choice=CHOICES)
    def break_connection(self, choice):
        waiting = [call for call in self.calls if call.waiting]
        call = waiting[choice % len(waiting)]
        event = ConnectionLost() if call.waiting == "dispatch" else AgentUnresponsive()
        self._handle_event(call, event)

    @invariant()
    def no_key_runs_twice(self):
        for key, attempts in self.runs.items():
            assert len(attempts) <= 1, f"key {key} ran in attempts {attempts}"

    @invariant()
    def not_run_is_reported_only_if_true(self):
        for call in self.calls:
            if call.reported is RunStatus.NOT_RUN:
                ran = call.own_attempts.intersection(self.runs[call.key])
                assert not ran, f"call {call.number} reported not run, but {ran} ran"

    def _ready_calls(self):
        return [
            call
            for call in self.calls
            if call.reported is None and call.waiting is None
        ]

    def _dispatch(self, call, is_table_available):
        call.attempts += 1
        self.attempts_created += 1
        call.attempt = new_attempt_id(self.now, f"{self.attempts_created:08x}")
        call.incarnation = self.known_incarnation
        decision = self._claim(call, is_table_available)
        if decision is None:
            self._report_outcome(call, RunStatus.UNKNOWN)
            return
        if isinstance(decision, FollowAttempt):
            call.attempt = decision.claim.attempt_id
            call.incarnation = decision.claim.incarnation
            call.next_action = QueryAttemptStatus()
            return
        call.own_attempts.add(call.attempt)
        call.waiting = "dispatch"
        self._send_message("dispatch", call)

    def _claim(self, call, is_table_available):
        own_claim = Claim(call.attempt, "e", call.incarnation, "digest")
        if not self.use_claims:
            return ClaimAcquired()
        if not is_table_available:
            return None
        version, row = self.table.get(call.key, (None, None))
        if version == call.version:
            version, row = (version or 0) + 1, own_claim
            self.table[call.key] = (version, row)
        call.version = version
        return decide_claim(own_claim, row)

    def _send_message(self, kind, call):
        self.messages.append(
            Message(kind, call.number, call.key, call.attempt, call.incarnation)
        )

    def _deliver_dispatch(self, message):
        # An entry sends each dispatch once, on one TCP connection, which ends with the
        # agent's process. A duplicated dispatch therefore reaches only one incarnation
        # of the agent, which need not be the one that it names.
        reached_incarnation = self.reached_incarnations.setdefault(
            message.attempt, self.latest_incarnation
        )
        if reached_incarnation == self.latest_incarnation:
            self._dispatch_at_agent(message)

    def _dispatch_at_agent(self, message):
        answer = self.ledger.dispatch(
            message.attempt, message.incarnation, "org", 1_000, self.now
        )
        match answer:
            case Accepted():
                self.runs[message.key].append(message.attempt)
            case Refused(reason=reason):
                event = NotDispatched(str(reason))
                self._send_reply(message, event)

    def _settle_at_agent(self, message):
        answer = self.ledger.settle(
            message.attempt, message.incarnation, "org", self.now
        )
        match answer:
            case AlreadyKnown(phase=phase):
                event = StatusReported(AttemptStatus(str(phase)))
            case NotRun():
                event = StatusReported(AttemptStatus.NOT_RUN)
            case _:
                event = StatusReported(AttemptStatus.UNKNOWN)
        self._send_reply(message, event)

    def _send_reply(self, message, event):
        self.replies.append(Reply(message.call, message.attempt, message.kind, event))

    def _handle_event(self, call, event):
        call.waiting = None
        next_action = call.request_state.handle_event(
            event, lambda: call.attempts < MAX_ATTEMPTS
        )
        if isinstance(next_action, ResumeAt):
            self._report_outcome(call, RunStatus.RAN)
        else:
            call.next_action = next_action

    def _report_outcome(self, call, ran):
        call.reported = ran
        if ran is RunStatus.NOT_RUN and self.use_claims:
            assert not self.runs[call.key], (
                "not run was reported for a key that had run"
            )
