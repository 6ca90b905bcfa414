"""What is known of whether a request ran."""

from dataclasses import dataclass
from enum import StrEnum

from azurefold.core.clock import Millis

__all__ = ["Failure", "RunStatus"]


class RunStatus(StrEnum):
    """Whether a request ran, as far as can be said truthfully."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Failure:
    """The final answer to a request that got no whole answer.

    Parameters
    ----------
    ran : RunStatus
        Whether the request ran.
    reason : str
        A short machine-readable word such as ``"queue_full"``.
    detail : str
        A sentence for people that says what to do.
    retry_after_ms : int or None
        When to come back, or None where coming back does not help.
    this_call : RunStatus or None
        Where ``ran`` speaks for a key that earlier calls may have used: what
        is known of this call alone.
    """

    ran: RunStatus
    reason: str
    detail: str
    retry_after_ms: Millis | None = None
    this_call: RunStatus | None = None
