"""What the state machines of a group ask of the process round them."""

from dataclasses import dataclass

from azurefold.core.clock import Millis
from azurefold.core.groups.engine import EngineOrder
from azurefold.core.groups.messages import Message

__all__ = ["Action", "GroupTiming", "SendToEngine", "SendToCoordinator", "SendToRank"]


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
class SendToEngine:
    """Give ``order`` to this rank's engine and report its reply."""

    order: EngineOrder


Action = SendToRank | SendToCoordinator | SendToEngine


@dataclass(frozen=True, slots=True)
class GroupTiming:
    """Waits of the protocol; safety rests on none of them.

    Parameters
    ----------
    first_retry_delay : int, default=15
        Before the first repeat of an unanswered message, in milliseconds. Short,
        because a lost close makes the whole group wait. Doubled each time.
    max_retry_delay : int, default=500
        Between two repeats at most, so that neither a dead rank nor one that
        loads weights for minutes costs the coordinator its processor time.
    peer_query_interval : int, default=200
        Between two questions of a closed rank to its peers.
    close_timeout : int, default=400
        After which a change that is not agreed by all is given up.
    coordinator_timeout : int, default=1000
        After which a closed rank asks its peers for the outcome. Longer than
        ``close_timeout``, so that ranks do not end what is under way.
    health_check_interval : int, default=1000
        Between two checks of an idle group.
    """

    first_retry_delay: Millis = 15
    max_retry_delay: Millis = 500
    peer_query_interval: Millis = 200
    close_timeout: Millis = 400
    coordinator_timeout: Millis = 1_000
    health_check_interval: Millis = 1_000
