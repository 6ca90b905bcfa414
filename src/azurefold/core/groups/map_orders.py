"""Remote orders to ranks, their results, rank reports, and timeouts of a change.

Orders and reports number the forward passes of a group; ``step`` is such a number.
"""

from dataclasses import dataclass
from enum import Enum

from azurefold.core.clock import Millis

__all__ = [
    "ARM_TIMEOUT_MS",
    "PREPARE_ANSWER_TIMEOUT_MS",
    "ORDER_RETRY_MS",
    "REPORT_AGE_MS",
    "Arm",
    "RequestReport",
    "ChangeAction",
    "ChangeEnd",
    "ChangePolicy",
    "Disarm",
    "ChangeFinished",
    "Hold",
    "Prepare",
    "RankOrder",
    "RankView",
    "Release",
    "SendOrder",
    "Verdict",
    "make_change_policy",
]

REPORT_AGE_MS: Millis = 250
"""Typical age of a rank report: it lags 200 to 300 ms behind the passes."""

_EXCHANGE_MS: Millis = 40
"""Time for the order to hold and its answer: 3 to 10 ms, plus the wait for the next
tick, which sends the order."""

_ARM_MS_PER_RANK: Millis = 3
"""Time to arm one rank. Orders are sent one after the other: arming takes some 40 ms
for 16 ranks and some 200 ms for 72."""

_LOSSY_LEAD_MS: Millis = 400
"""Additional lead time if orders get no answer. If one order in ten gets none, this
happens to some of 72 orders to arm, and each of these is resent twice on average."""

ARM_TIMEOUT_MS: Millis = 150
"""Maximum time from the hold until all ranks are armed. A successor waits longer than
this before it releases a held group in which no rank is reported as armed."""

ORDER_RETRY_MS: Millis = 150
"""Time after which an unanswered order other than :class:`Prepare` is resent. Long
enough for 72 answers, short enough that one lost order does not delay a pass."""

PREPARE_ANSWER_TIMEOUT_MS: Millis = 400
"""Answer timeout of :class:`Prepare`. The order carries a whole map, and sending 72
maps over a slow link takes 200 ms."""

_ANSWERING_MARGIN = 2
"""Factor on the time all ranks took to answer, to allow for slower answers."""

_ARMING_MARGIN = 1.5
"""Factor on the time it took to arm all ranks, to cover the tail latency."""


@dataclass(frozen=True, slots=True)
class Prepare:
    """Load the weights of map ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Do not let the group start pass ``step`` until the hold is released."""

    step: int


@dataclass(frozen=True, slots=True)
class Arm:
    """Switch to map ``version`` at the start of pass ``step``."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class Disarm:
    """Cancel the switch to map ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Release:
    """End the hold before pass ``step``."""

    step: int


RankOrder = Prepare | Hold | Arm | Disarm | Release


class Verdict(Enum):
    """Result of an order; ``LOST`` means that no answer arrived."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class RankView:
    """State of one rank as reported; some hundred milliseconds old.

    Parameters
    ----------
    rank : int
        Rank number.
    epoch : int
        Epoch of the group, incremented each time the group is re-formed.
    is_running : bool
        Whether the group is running.
    step : int
        Number of the last pass that was started.
    version : int
        Version of the map in effect.
    prepared_version : int or None
        Version of the map whose weights are loaded for a change; None if there is none.
    armed_version : int or None
        Version of the map that the rank will switch to; None if it is not armed.
    held_step : int or None
        Number of the pass that this rank prevents the group from starting; None if it
        holds none.
    active_requests : int
        Number of requests the rank is running.
    slowdown : float
        How much slower the rank itself is than a healthy one; above 1 if it is a
        straggler.
    """

    rank: int
    epoch: int
    is_running: bool
    step: int
    version: int = 0
    prepared_version: int | None = None
    armed_version: int | None = None
    held_step: int | None = None
    active_requests: int = 0
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to a rank; the result goes to :meth:`MapChange.on_verdict`."""

    rank: int
    order: RankOrder


@dataclass(frozen=True, slots=True)
class RequestReport:
    """Request a report from a rank."""

    rank: int


class ChangeEnd(Enum):
    """How a change ended."""

    IN_EFFECT = "in_force"
    ROLLED_BACK = "taken_back"
    NOT_PREPARED = "not_prepared"
    NEW_EPOCH = "new_epoch"
    STUCK = "stuck"


@dataclass(frozen=True, slots=True)
class ChangeFinished:
    """The change has ended; after ``STUCK`` the group stays held until resumed."""

    end: ChangeEnd


ChangeAction = SendOrder | RequestReport | ChangeFinished


@dataclass(frozen=True, slots=True)
class ChangePolicy:
    """Timeouts, in milliseconds, and retry limits of a map change.

    Parameters
    ----------
    prepare_timeout : int
        Time for all ranks to load the weights. Loading takes 0.3 s; the rest of the
        time is for one retry of a lost order.
    prepare_retry_interval : int
        Time after which an unanswered order to prepare is resent, equal to its answer
        timeout. A rank that missed the order starts to load this much later, and all
        other ranks wait for it.
    report_poll_interval : int
        Time between two requests for the reports of ranks that are still loading.
    arm_retry_interval : int
        Time until the order to arm is resent to a rank that may still be loading.
    arm_timeout : int
        Time, with the group held, during which ranks may still be loading.
    lead_time : int
        Time from the choice of a pass to its start, in which a rank is ordered to hold
        and all ranks are armed. If it is too short, the group waits at the pass and all
        its streams are delayed.
    lossy_lead_time : int
        Additional lead time if orders get no answer. Without it the group was held
        for 0.44 s when one order in ten got none.
    has_lost_orders : bool
        Whether orders recently got no answer.
    min_lead_passes : int
        Minimum number of passes between the choice of a pass and its start.
    retry_interval : int
        Time until an order other than :class:`Prepare` is resent.
    hold_timeout : int
        Time, with the group held, after which the change ends as ``STUCK``, so that
        another coordinator can take over.
    max_hold_attempts : int
        Number of passes to try before the change is abandoned.
    """

    prepare_timeout: Millis = 2_500
    prepare_retry_interval: Millis = PREPARE_ANSWER_TIMEOUT_MS
    report_poll_interval: Millis = 120
    arm_retry_interval: Millis = 30
    arm_timeout: Millis = ARM_TIMEOUT_MS
    lead_time: Millis = 260
    lossy_lead_time: Millis = _LOSSY_LEAD_MS
    has_lost_orders: bool = False
    min_lead_passes: int = 3
    retry_interval: Millis = 60
    hold_timeout: Millis = 1_200
    max_hold_attempts: int = 6


def make_change_policy(
    size: int,
    arming_ms: Millis = 0,
    answering_ms: Millis = 0,
    *,
    has_lost_orders: bool = False,
) -> ChangePolicy:
    """Return the policy of a change for a group of ``size`` ranks.

    Parameters
    ----------
    size : int
        Number of ranks in the group.
    arming_ms : int
        Recent time to arm all ranks; 0 if unknown.
    answering_ms : int
        Recent time of all ranks to answer an order to prepare; 0 if unknown.
    has_lost_orders : bool
        Whether orders recently got no answer.

    Examples
    --------
    >>> make_change_policy(16).lead_time, make_change_policy(72).lead_time
    (112, 364)
    >>> make_change_policy(16, arming_ms=200).lead_time
    340
    >>> make_change_policy(16).prepare_retry_interval
    400
    >>> make_change_policy(16, 40, 50).prepare_retry_interval
    150
    """
    arming_estimate_ms = arming_ms or _ARM_MS_PER_RANK * size
    lead_time = _EXCHANGE_MS + round(_ARMING_MARGIN * arming_estimate_ms)
    retry_interval = min(
        PREPARE_ANSWER_TIMEOUT_MS, max(ORDER_RETRY_MS, _ANSWERING_MARGIN * answering_ms)
    )
    if not answering_ms:
        retry_interval = PREPARE_ANSWER_TIMEOUT_MS
    return ChangePolicy(
        prepare_retry_interval=retry_interval,
        lead_time=lead_time,
        has_lost_orders=has_lost_orders,
    )
