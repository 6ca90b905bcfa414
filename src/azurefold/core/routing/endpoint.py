"""What this node knows of one endpoint's load and speed."""

from collections import deque
from dataclasses import dataclass, field
from math import ceil, exp
from zlib import crc32

from azurefold.core.clock import Millis
from azurefold.core.routing.concurrency import ConcurrencyLimit
from azurefold.core.routing.messages import LoadReport, Prefix

__all__ = ["Attempt", "DividedSlots", "Endpoint", "ExchangedLoads", "Sharing"]

_HISTORY: Millis = 10_000
_HISTORY_LENGTH = 512
_REPORT_HORIZON: Millis = 3_000
_PACE_SMOOTHING = 0.15
_DEFAULT_SLOTS = 16
_KEPT_FREE = 2


@dataclass(frozen=True, slots=True)
class DividedSlots:
    """Nodes hear of each other's load late: each keeps to a share of the slots."""


@dataclass(frozen=True, slots=True)
class ExchangedLoads:
    """Nodes tell each other their loads within a fraction of a second.

    Parameters
    ----------
    beyond_slots : int
        Requests that an endpoint may have beyond its slots, so that one is
        there when another ends.
    """

    beyond_slots: int = 0


Sharing = DividedSlots | ExchangedLoads


@dataclass(slots=True)
class Attempt:
    """One attempt in flight."""

    started: Millis
    prefixes: tuple[Prefix, ...]
    prefill: float
    first_token: Millis | None = None


@dataclass(slots=True)
class Endpoint:
    """Own attempts, the last report and the speed of one endpoint.

    Parameters
    ----------
    name : str
        The endpoint's name.
    concurrency : ConcurrencyLimit
        How many requests this node keeps there.
    sharing : Sharing
        How nodes share its slots.
    distance : int
        Milliseconds of waiting that a nearer endpoint is worth.
    doubted : bool
        Whether its group seems to stand still.
    most : int or None
        Requests that it may have from all nodes, so that its group's passes stay
        short; None for as many as it has slots.
    """

    name: str
    concurrency: ConcurrencyLimit
    sharing: Sharing = DividedSlots()
    distance: Millis = 0
    attempts: dict[str, Attempt] = field(default_factory=dict)
    awaiting: dict[str, Millis] = field(default_factory=dict)
    share: int = _DEFAULT_SLOTS
    counted_room: int = 0
    counted_capacity: int = 0
    is_counted: bool = False
    leaving: bool = False
    is_suspected: bool = False
    most: int | None = None
    slots: int = _DEFAULT_SLOTS
    others: float = 0.0
    reported: Millis | None = None
    pace: float | None = None
    pace_samples: int = 0
    last_progress: Millis = 0
    _nodes: int = 1
    _position: int = 0
    _history: deque[tuple[Millis, int]] = field(
        default_factory=lambda: deque(maxlen=_HISTORY_LENGTH)
    )

    @property
    def in_flight(self) -> int:
        """Attempts of this node that have not ended."""
        return len(self.attempts)

    @property
    def capacity(self) -> int:
        """How many attempts this node may keep in flight there.

        Its share of the engine's slots, and half of what the other nodes
        leave unused of theirs by the last report, but for two slots. Without
        the share, a node would find no room beside busy others. If each took
        all that seems unused, the nodes would together overfill the engine
        while reports lag; seen as confirmations that wait in its queue.

        Where loads are exchanged at once, all that the others leave is room.
        """
        match self.sharing:
            case ExchangedLoads(beyond_slots=beyond):
                usual = self.slots + beyond
                most = usual if self.most is None else min(usual, self.most)
                return max(0, most - ceil(self.others))
            case DividedSlots():
                return self._divided_capacity()

    def _divided_capacity(self) -> int:
        unused = self.slots - int(self.others) - self.share - _KEPT_FREE
        return min(self.concurrency.limit, self.share + max(0, unused // 2))

    @property
    def room(self) -> int:
        """How many more this node may send."""
        return max(0, self.capacity - len(self.attempts))

    @property
    def has_room(self) -> bool:
        """Whether this node may send one more."""
        return len(self.attempts) < self.capacity

    def share_slots(self, nodes: int, position: int) -> None:
        """Set this node's share of the slots among ``nodes`` nodes.

        What does not divide evenly goes to other nodes at each endpoint.
        """
        self._nodes = nodes
        self._position = position
        even, rest = divmod(self.slots, nodes)
        place = (position + crc32(self.name.encode())) % nodes
        self.share = max(1, even + (place < rest))

    def set_slots(self, slots: int) -> None:
        """Take in how many requests the engine runs in one batch."""
        self.slots = slots
        self.share_slots(self._nodes, self._position)

    def start(self, attempt_id: str, attempt: Attempt) -> None:
        """Add an attempt; a repeated one changes nothing."""
        if attempt_id in self.attempts:
            return
        self.attempts[attempt_id] = attempt
        self.awaiting[attempt_id] = attempt.started
        self._remember(attempt.started)

    def end(self, attempt_id: str, now: Millis) -> Attempt | None:
        """Take an attempt out; ``None`` if it is not, or no longer, known."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        self.awaiting.pop(attempt_id, None)
        self._remember(now)
        return attempt

    def take_over(self, former: "Endpoint") -> None:
        """Go on with the attempts that ``former``, the same endpoint, still has."""
        self.attempts = former.attempts
        self.awaiting = former.awaiting
        self._history = former._history

    def report(self, report: LoadReport, now: Millis) -> None:
        """Take in a load report, which is old by ``report.age``."""
        measured = now - report.age
        # An older report may overtake a newer one on the way.
        if self.reported is not None and measured < self.reported:
            return
        self.reported = measured
        # Agents count attempts but do not know the engine's slots. Taken for
        # a number, their 0 would leave each node one slot; seen as an idle
        # endpoint in front of a full queue.
        if report.slots and report.slots != self.slots:
            self.set_slots(report.slots)
        # The report counts our own attempts as they were then. Adding our
        # present ones without taking those out would count them twice.
        self.others = max(0.0, float(report.in_flight - self._own_at(measured)))

    def fill_up(self) -> None:
        """Take the endpoint for full until the next report.

        It refused a request, so others must have sent it more than is known
        here. Without this the node would send it the next request as well.
        """
        match self.sharing:
            case ExchangedLoads(beyond_slots=beyond):
                full = float(self.slots + beyond - len(self.attempts))
                self.others = max(self.others, full)
            case DividedSlots():
                pass

    def load(self, mean_others: float, now: Millis) -> float:
        """Return the requests expected there now, from all nodes.

        The older the report, the less it says of this endpoint in particular;
        the estimate moves to the pool's mean. Without that, every node sends
        to the endpoint that was idle some seconds ago.
        """
        if self.reported is None:
            return len(self.attempts) + mean_others
        trust = exp((self.reported - now) / _REPORT_HORIZON)
        return len(self.attempts) + mean_others + trust * (self.others - mean_others)

    def observe_pace(self, milliseconds_per_token: float) -> None:
        """Learn the time between tokens from one answer."""
        self.pace_samples += 1
        if self.pace is None:
            self.pace = milliseconds_per_token
            return
        self.pace += _PACE_SMOOTHING * (milliseconds_per_token - self.pace)

    def forget_pace(self) -> None:
        """Drop what is known of the speed, after an ejection."""
        self.pace = None
        self.pace_samples = 0

    def silent_for(self, now: Millis) -> Millis:
        """Return how long requests have waited without any progress."""
        oldest = next(iter(self.awaiting.values()), None)
        if oldest is None:
            return 0
        return now - max(oldest, self.last_progress)

    def _remember(self, now: Millis) -> None:
        self._history.append((now, len(self.attempts)))
        while self._history and self._history[0][0] < now - _HISTORY:
            self._history.popleft()

    def _own_at(self, then: Millis) -> int:
        for changed, count in reversed(self._history):
            if changed <= then:
                return count
        return 0
