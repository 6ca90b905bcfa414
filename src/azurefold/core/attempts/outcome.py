"""Run status and failure of a request."""

from dataclasses import dataclass
from enum import StrEnum

from azurefold.core.clock import Millis

__all__ = ["Failure", "RunStatus"]


class RunStatus(StrEnum):
    """Whether a request ran, as far as is known for certain."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Failure:
    """Final result of a request that got no complete answer.

    Parameters
    ----------
    ran : RunStatus
        Whether the request ran.
    reason : str
        Machine-readable code such as ``"queue_full"``.
    detail : str
        Message for people that states what to do.
    retry_after_ms : int or None
        When to retry, or None where a retry does not help.
    this_call : RunStatus or None
        Run status of this call alone, where ``ran`` covers all calls with the
        same ``Idempotency-Key``.
    """

    ran: RunStatus
    reason: str
    detail: str
    retry_after_ms: Millis | None = None
    this_call: RunStatus | None = None
