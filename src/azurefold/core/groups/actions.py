"""What the state machines of a group ask of the process round them."""

from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.core.groups.engine import EngineOrder
from azurefold.core.groups.messages import Message

__all__ = ["Action", "GroupTiming", "Order", "SendToCoordinator", "SendToRank"]


@dataclass(frozen=True, slots=True)
class SendToRank:
    """Send ``message`` to the agent of ``rank``."""

    rank: int
    message: Message


@dataclass(frozen=True, slots=True)
class SendToCoordinator:
    """Send ``message`` to the coordinator that holds ``fence``."""

    fence: int
    message: Message


@dataclass(frozen=True, slots=True)
class Order:
    """Give ``order`` to this rank's engine and report its reply."""

    order: EngineOrder


Action = SendToRank | SendToCoordinator | Order


@dataclass(frozen=True, slots=True)
class GroupTiming:
    """Waits of the protocol; safety rests on none of them.

    Parameters
    ----------
    retry_first : int, default=15
        Before the first repeat of an unanswered message, in milliseconds. Short,
        because a lost close makes the whole group wait. Doubled each time.
    retry_longest : int, default=500
        Between two repeats at most, so that neither a dead rank nor one that
        loads weights for minutes costs the coordinator its processor time.
    ask_every : int, default=200
        Between two questions of a closed rank to its peers.
    close_timeout : int, default=400
        After which a change that is not agreed by all is given up.
    patience : int, default=1000
        After which a closed rank asks its peers for the outcome. Longer than
        ``close_timeout``, so that ranks do not end what is under way.
    check_every : int, default=1000
        Between two checks of an idle group.
    """

    retry_first: Millis = 15
    retry_longest: Millis = 500
    ask_every: Millis = 200
    close_timeout: Millis = 400
    patience: Millis = 1_000
    check_every: Millis = 1_000
