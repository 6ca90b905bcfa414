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
    retry_every : int, default=50
        Between repeats of an unanswered message, in milliseconds.
    close_timeout : int, default=400
        After which a change that is not agreed by all is given up.
    patience : int, default=1000
        After which a closed rank asks its peers for the outcome. Longer than
        ``close_timeout``, so that ranks do not end what is under way.
    check_every : int, default=1000
        Between two checks of an idle group.
    """

    retry_every: Millis = 50
    close_timeout: Millis = 400
    patience: Millis = 1_000
    check_every: Millis = 1_000
