"""State of one endpoint: its load and its speed, as this node knows them."""

from collections import deque
from dataclasses import dataclass, field
from math import ceil, exp
from zlib import crc32

from azurefold.core.clock import Millis
from azurefold.core.routing.concurrency import ConcurrencyLimit
from azurefold.core.routing.messages import LoadReport, Prefix

__all__ = ["Attempt", "DividedSlots", "Endpoint", "ExchangedLoads", "SlotSharing"]

_ATTEMPT_HISTORY_MS: Millis = 10_000
_MAX_ATTEMPT_HISTORY_LENGTH = 512
_REPORT_DECAY_MS: Millis = 3_000
_TOKEN_INTERVAL_SMOOTHING = 0.15
_DEFAULT_SLOTS = 16
_RESERVED_SLOTS = 2


@dataclass(frozen=True, slots=True)
class DividedSlots:
    """Each node has a share of the slots, because it learns other nodes' loads late."""


@dataclass(frozen=True, slots=True)
class ExchangedLoads:
    """Nodes exchange their loads within a fraction of a second.

    Parameters
    ----------
    extra_requests : int
        Requests that an endpoint may have beyond its slots, so that the next one is
        already there when another ends.
    """

    extra_requests: int = 0


SlotSharing = DividedSlots | ExchangedLoads


@dataclass(slots=True)
class Attempt:
    """One attempt in flight.

    Parameters
    ----------
    started_at : int
        When the attempt was sent.
    prefixes : tuple of Prefix
        Cacheable prefixes of its prompt.
    prefill_ms : float
        Expected prefill time of the uncached part of its prompt.
    first_token_at : int or None
        When the first token was received; None before that.
    prompt_tokens, answer_tokens : int
        Length of the prompt, and the estimated one of the answer.
    permit_until : int or None
        Until when its permit allows it to be sent to a cold endpoint; None if the
        endpoint was not cold when it was chosen.
    """

    started_at: Millis
    prefixes: tuple[Prefix, ...]
    prefill_ms: float
    first_token_at: Millis | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    permit_until: Millis | None = None

    @property
    def held_tokens(self) -> int:
        """Tokens that the engine is estimated to hold in the end."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(slots=True)
class Endpoint:
    """This node's attempts, the last load report and the speed of one endpoint.

    Parameters
    ----------
    name : str
        The endpoint's name.
    concurrency : ConcurrencyLimit
        Limit on this node's requests in flight.
    sharing : SlotSharing
        How nodes share the endpoint's slots.
    distance_ms : int
        Milliseconds added to the expected wait, so that nearer endpoints are preferred.
    attempts : dict of str to Attempt
        This node's attempts in flight, by attempt identifier.
    awaiting_first_token : dict of str to int
        Start times of the attempts without a first token, oldest first.
    slot_share : int
        This node's share of the slots, used if they are divided.
    counted_room, counted_capacity, counted_places : int
        Room, capacity and places that the totals of the pool include for this endpoint.
    is_eligible : bool
        Whether the endpoint may be chosen at present.
    is_leaving : bool
        Whether the endpoint is leaving and must get no further requests.
    is_suspected : bool
        Whether the endpoint's group is possibly stalled.
    max_requests : int or None
        Largest number of requests from all nodes, which keeps the passes of the
        endpoint's group short; None if only the slots limit them.
    permits : int or None
        Requests that this node may send while the endpoint is cold; None if it is not.
    slots : int
        Requests that the engine runs in one batch.
    peer_requests : float
        Requests of other nodes, according to the last load report.
    measured_at : int or None
        When the last load report was measured; None before the first one.
    token_interval : float or None
        Smoothed milliseconds between tokens; None without observations.
    token_interval_samples : int
        Number of observations in ``token_interval``.
    last_progress_at : int
        When the endpoint last sent a first token or completed an answer, or when it
        was added or readmitted.
    held_tokens : int
        Estimated tokens of this node's attempts in flight in the engine's memory.
    """

    name: str
    concurrency: ConcurrencyLimit
    sharing: SlotSharing = DividedSlots()
    distance_ms: Millis = 0
    attempts: dict[str, Attempt] = field(default_factory=dict)
    awaiting_first_token: dict[str, Millis] = field(default_factory=dict)
    slot_share: int = _DEFAULT_SLOTS
    counted_room: int = 0
    counted_capacity: int = 0
    counted_places: int = 0
    is_eligible: bool = False
    is_leaving: bool = False
    is_suspected: bool = False
    max_requests: int | None = None
    permits: int | None = None
    slots: int = _DEFAULT_SLOTS
    peer_requests: float = 0.0
    measured_at: Millis | None = None
    token_interval: float | None = None
    token_interval_samples: int = 0
    last_progress_at: Millis = 0
    held_tokens: int = 0
    _node_count: int = 1
    _node_position: int = 0
    _attempt_history: deque[tuple[Millis, int]] = field(
        default_factory=lambda: deque(maxlen=_MAX_ATTEMPT_HISTORY_LENGTH)
    )

    @property
    def in_flight(self) -> int:
        """Number of this node's attempts that have not ended."""
        return len(self.attempts)

    @property
    def capacity(self) -> int:
        """Number of attempts that this node may have in flight.

        With divided slots, this is the node's share, plus half of the slots that the
        last report shows as unused by other nodes, less two reserved slots. Without a
        share, a node would find no room beside busy nodes. If each node used all slots
        that seem unused, the nodes would together overfill the engine while reports
        are late, and confirmations would wait in its queue.

        With exchanged loads, it is all that the other nodes leave unused.
        """
        match self.sharing:
            case ExchangedLoads(extra_requests=extra_requests):
                # Not by ``places``: this is read for each endpoint of each choice.
                total = self.slots + extra_requests
                limit = self.max_requests
                limit = total if limit is None else min(total, limit)
                return max(0, limit - ceil(self.peer_requests))
            case DividedSlots():
                return self._divided_capacity()

    @property
    def places(self) -> int:
        """Number of requests that the endpoint may have from all nodes together.

        With divided slots, it is the same as the capacity for this node.
        """
        match self.sharing:
            case ExchangedLoads(extra_requests=extra_requests):
                total = self.slots + extra_requests
                if self.max_requests is None:
                    return total
                return min(total, self.max_requests)
            case DividedSlots():
                return self._divided_capacity()

    def _divided_capacity(self) -> int:
        unused = (
            self.slots - int(self.peer_requests) - self.slot_share - _RESERVED_SLOTS
        )
        return min(self.concurrency.limit, self.slot_share + max(0, unused // 2))

    @property
    def room(self) -> int:
        """Number of further attempts that this node may send."""
        room = self.unpermitted_room
        return room if self.permits is None else min(room, self.permits)

    @property
    def unpermitted_room(self) -> int:
        """Number of further attempts for which it has places, with permits or not."""
        return max(0, self.capacity - len(self.attempts))

    @property
    def has_room(self) -> bool:
        """Whether this node may send another attempt."""
        return self.permits != 0 and len(self.attempts) < self.capacity

    def share_slots(self, node_count: int, position: int) -> None:
        """Set this node's share of the slots among ``node_count`` nodes.

        ``position`` is the index of this node among them, from 0. The remainder of the
        division goes to different nodes at each endpoint.
        """
        self._node_count = node_count
        self._node_position = position
        even_share, remainder = divmod(self.slots, node_count)
        rotated_position = (position + crc32(self.name.encode())) % node_count
        self.slot_share = max(1, even_share + (rotated_position < remainder))

    def set_slots(self, slots: int) -> None:
        """Set how many requests the engine runs in one batch."""
        self.slots = slots
        self.share_slots(self._node_count, self._node_position)

    def add_attempt(self, attempt_id: str, attempt: Attempt) -> None:
        """Add an attempt; a known one changes nothing."""
        if attempt_id in self.attempts:
            return
        self.attempts[attempt_id] = attempt
        self.held_tokens += attempt.held_tokens
        self.awaiting_first_token[attempt_id] = attempt.started_at
        self._record_attempt_count(attempt.started_at)

    def remove_attempt(self, attempt_id: str, now: Millis) -> Attempt | None:
        """Remove and return an attempt; ``None`` if it is not known, or no longer."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        self.held_tokens -= attempt.held_tokens
        self.awaiting_first_token.pop(attempt_id, None)
        self._record_attempt_count(now)
        return attempt

    def adopt_attempts(self, former: "Endpoint") -> None:
        """Adopt the attempts of ``former``, an earlier entry for the same endpoint."""
        self.attempts = former.attempts
        self.held_tokens = former.held_tokens
        self.awaiting_first_token = former.awaiting_first_token
        self._attempt_history = former._attempt_history

    def record_load(self, report: LoadReport, now: Millis) -> None:
        """Apply a load report; one measured before the last one is ignored."""
        measured_at = now - report.age_ms
        # An older report may arrive after a newer one.
        if self.measured_at is not None and measured_at < self.measured_at:
            return
        self.measured_at = measured_at
        # Agents report 0 slots, as they count attempts but do not know the engine's
        # slots. If the 0 were used, each node would have one slot, and the endpoint
        # would be idle while requests are queued.
        if report.slots and report.slots != self.slots:
            self.set_slots(report.slots)
        # The report includes this node's attempts at that time. They are subtracted
        # here, because the present ones are added later and would be counted twice.
        self.peer_requests = max(
            0.0, float(report.in_flight - self._own_attempts_at(measured_at))
        )

    def mark_full(self) -> None:
        """Treat the endpoint as full until the next load report.

        A refusal shows that other nodes have sent more requests than this node knows
        of. Without this, the node would send the next request there as well.
        """
        match self.sharing:
            case ExchangedLoads(extra_requests=extra_requests):
                unused = float(self.slots + extra_requests - len(self.attempts))
                self.peer_requests = max(self.peer_requests, unused)
            case DividedSlots():
                pass

    def expected_load(self, mean_peer_requests: float, now: Millis) -> float:
        """Return the estimated number of requests from all nodes at present.

        The older the report, the closer the estimate is to the pool's mean. Otherwise
        every node would send to the endpoint that was idle some seconds ago.
        """
        if self.measured_at is None:
            return len(self.attempts) + mean_peer_requests
        weight = exp((self.measured_at - now) / _REPORT_DECAY_MS)
        return (
            len(self.attempts)
            + mean_peer_requests
            + weight * (self.peer_requests - mean_peer_requests)
        )

    def observe_token_interval(self, milliseconds_per_token: float) -> None:
        """Update the smoothed time between tokens from one response."""
        self.token_interval_samples += 1
        if self.token_interval is None:
            self.token_interval = milliseconds_per_token
            return
        self.token_interval += _TOKEN_INTERVAL_SMOOTHING * (
            milliseconds_per_token - self.token_interval
        )

    def reset_token_interval(self) -> None:
        """Discard the time between tokens after an ejection."""
        self.token_interval = None
        self.token_interval_samples = 0

    def time_without_progress(self, now: Millis) -> Millis:
        """Return how long attempts have waited for a first token without progress."""
        oldest_start = next(iter(self.awaiting_first_token.values()), None)
        if oldest_start is None:
            return 0
        return now - max(oldest_start, self.last_progress_at)

    def _record_attempt_count(self, now: Millis) -> None:
        self._attempt_history.append((now, len(self.attempts)))
        while (
            self._attempt_history
            and self._attempt_history[0][0] < now - _ATTEMPT_HISTORY_MS
        ):
            self._attempt_history.popleft()

    def _own_attempts_at(self, time: Millis) -> int:
        for changed_at, count in reversed(self._attempt_history):
            if changed_at <= time:
                return count
        return 0
