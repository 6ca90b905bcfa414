"""Actions that a group's state machines request, and their timeouts."""

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
    """Send ``order`` to this rank's engine and pass its reply to the agent."""

    order: EngineOrder


Action = SendToRank | SendToCoordinator | SendToEngine


@dataclass(frozen=True, slots=True)
class GroupTiming:
    """Timeouts and retry intervals; the protocol's safety depends on none of them.

    Parameters
    ----------
    first_retry_delay : int, default=15
        Delay before the first retry of an unanswered message, in milliseconds. Short,
        because a lost close makes the whole group wait. Doubled at each retry.
    max_retry_delay : int, default=500
        Maximum delay between two retries. Limits the CPU time that the coordinator
        spends on a dead rank or on one that loads weights for minutes.
    peer_query_interval : int, default=200
        Time between two queries of a closed rank to its peers.
    close_timeout : int, default=400
        Time after which a change is aborted if not all ranks have agreed.
    coordinator_timeout : int, default=1000
        Time after which a closed rank asks its peers for the outcome. Longer than
        ``close_timeout``, so that ranks do not end a change that is in progress.
    health_check_interval : int, default=1000
        Time between two checks of an idle group.
    """

    first_retry_delay: Millis = 15
    max_retry_delay: Millis = 500
    peer_query_interval: Millis = 200
    close_timeout: Millis = 400
    coordinator_timeout: Millis = 1_000
    health_check_interval: Millis = 1_000
