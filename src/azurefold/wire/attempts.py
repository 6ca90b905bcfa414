"""Headers and bodies of the HTTP interface between entries and agents."""

import msgspec

__all__ = [
    "HEADER_DEADLINE",
    "HEADER_INCARNATION",
    "HEADER_ORGANISATION",
    "HEADER_PATH",
    "HEADER_PRIORITY",
    "HEADER_RUNNING",
    "RefusedBody",
    "SettledBody",
]

HEADER_DEADLINE = "Azurefold-Remaining-Ms"
HEADER_INCARNATION = "Azurefold-Incarnation"
HEADER_ORGANISATION = "Azurefold-Organisation"
HEADER_PATH = "Azurefold-Path"
HEADER_PRIORITY = "Azurefold-Priority"
HEADER_RUNNING = "Azurefold-Running"


class RefusedBody(msgspec.Struct, frozen=True):
    """Why an agent gave no answer.

    Parameters
    ----------
    reason : str
        An :class:`~azurefold.core.attempts.ledger.AttemptRefusalReason` or
        ``"not_seen"``.
    """

    reason: str


class SettledBody(msgspec.Struct, frozen=True):
    """What an agent knows of an attempt.

    Parameters
    ----------
    state : str
        ``running``, ``done``, ``failed``, ``not_run`` or ``unknown``.
    """

    state: str
