"""Orders to ranks from afar, what ranks report, and the waits between."""

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
"""Of what a rank reports: 200 to 300 ms by the passes that it lags behind."""

_EXCHANGE_MS: Millis = 40
"""For the order to hold and its answer: 3 to 10 ms, and the tick that sends it."""

_ARM_MS: Millis = 3
"""A rank's part in arming all: 16 ranks are armed after some 40 ms, 72 after some
200, as orders go out one after the other."""

_LOSSY_LEAD_MS: Millis = 400
"""Of 72 orders to arm some get no answer where one in ten gets none, and each is sent
again twice on average."""

ARM_TIMEOUT_MS: Millis = 150
"""The longest that a hold stands before ranks are armed. Another coordinator lets it
stand for longer before it releases a group in which no rank seems to be armed."""

ORDER_RETRY_MS: Millis = 150
"""Until an order other than to prepare that got no answer is sent again: late enough
for 72 answers, soon enough that one lost order keeps no group from its pass."""

PREPARE_ANSWER_TIMEOUT_MS: Millis = 400
"""The longest that an answer to a whole map is waited for: 72 maps on a slow link take
200."""

_ANSWERING_MARGIN = 2
"""On the time that all ranks took to answer, for slower ones."""

_ARMING_MARGIN = 1.5
"""On the time that arming all ranks took, for its tail."""


@dataclass(frozen=True, slots=True)
class Prepare:
    """Load the weights of map ``version``."""

    version: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Let the group not begin pass ``step`` until it is released."""

    step: int


@dataclass(frozen=True, slots=True)
class Arm:
    """Switch to map ``version`` as pass ``step`` begins."""

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class Disarm:
    """Do not switch to map ``version`` after all."""

    version: int


@dataclass(frozen=True, slots=True)
class Release:
    """End the hold before pass ``step``."""

    step: int


RankOrder = Prepare | Hold | Arm | Disarm | Release


class Verdict(Enum):
    """What came of an order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class RankView:
    """What one rank reports; some hundred milliseconds old.

    Parameters
    ----------
    rank : int
    epoch : int
        Rises each time the group forms anew.
    is_running : bool
        Whether the group runs.
    step : int
        The last pass that was begun.
    version : int
        Of the map in force.
    prepared, armed : int or None
        Versions that are loaded, and armed.
    held : int or None
        The pass that this rank keeps the group from.
    active : int
        Requests that it runs.
    pace : float
        Above 1 if it is slow as such.
    """

    rank: int
    epoch: int
    is_running: bool
    step: int
    version: int = 0
    prepared: int | None = None
    armed: int | None = None
    held: int | None = None
    active: int = 0
    pace: float = 1.0


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Send an order to a rank, and report its verdict."""

    rank: int
    order: RankOrder


@dataclass(frozen=True, slots=True)
class RequestReport:
    """Ask a rank for its report."""

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
    """The change is over; ``STUCK`` leaves the group held for a successor."""

    end: ChangeEnd


ChangeAction = SendOrder | RequestReport | ChangeFinished


@dataclass(frozen=True, slots=True)
class ChangePolicy:
    """Waits of a change, in milliseconds.

    Parameters
    ----------
    prepare_timeout : int
        For all ranks to load the weights; beyond the 0.3 s that it takes, one
        repeat for a lost order.
    prepare_retry_interval : int
        Until an order to prepare that got no answer is sent again; as long as its
        answer is waited for. Loading begins so much later at a rank that did not get
        it, and all others wait.
    report_poll_interval : int
        Between two looks at the reports of ranks that are still loading.
    arm_retry_interval : int
        Until a rank that may still be loading is told again to be armed.
    arm_timeout : int
        With the group held, for which ranks may still be loading.
    lead_time : int
        From the choice of a pass to that pass: the exchanges with the ranks. If it
        is too short the group is held, and all its streams are late.
    lossy_lead_time : int
        Added where orders get no answer. Without it the group was held for 0.44 s
        when one order in ten got none.
    has_lost_orders : bool
        Whether orders got no answer lately.
    min_lead_passes : int
        Passes that lie between at least.
    retry_interval : int
        Until an order other than to prepare is sent again.
    hold_timeout : int
        With the group held, until another coordinator should try.
    max_hold_attempts : int
        Passes to try before the change is given up.
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
    """Return the waits of a change for a group of ``size`` ranks.

    Parameters
    ----------
    size : int
    arming_ms : int
        What arming all ranks took lately; 0 if that is not known.
    answering_ms : int
        What all ranks took lately to answer an order to prepare; 0 if that is not
        known.
    has_lost_orders : bool
        Whether orders got no answer lately.

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
    arming = arming_ms or _ARM_MS * size
    lead = _EXCHANGE_MS + round(_ARMING_MARGIN * arming)
    repeat = min(
        PREPARE_ANSWER_TIMEOUT_MS, max(ORDER_RETRY_MS, _ANSWERING_MARGIN * answering_ms)
    )
    if not answering_ms:
        repeat = PREPARE_ANSWER_TIMEOUT_MS
    return ChangePolicy(
        prepare_retry_interval=repeat, lead_time=lead, has_lost_orders=has_lost_orders
    )
