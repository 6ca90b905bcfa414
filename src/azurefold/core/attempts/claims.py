"""Claims: one row in the platform's table for each ``Idempotency-Key``.

A row is written, if absent, before a non-idempotent request with an
``Idempotency-Key`` is dispatched. Only the attempt named in the row may run
the request; other calls with the key return that attempt's answer.
"""

import hashlib
from dataclasses import dataclass

__all__ = [
    "Claim",
    "ClaimDecision",
    "FollowAttempt",
    "KeyReused",
    "ClaimAcquired",
    "claim_key",
    "decide_claim",
    "request_digest",
]

_SEPARATOR = "\x1f"


@dataclass(frozen=True, slots=True)
class Claim:
    """The attempt that may run a caller's request.

    Parameters
    ----------
    attempt_id, endpoint, incarnation : str
        The attempt and the agent's incarnation it is bound to. Any other
        incarnation refuses the attempt, so a claim is not run again after the
        agent restarts.
    request : str
        :func:`request_digest` of the request that was sent with the key.
    """

    attempt_id: str
    endpoint: str
    incarnation: str
    request: str


@dataclass(frozen=True, slots=True)
class ClaimAcquired:
    """The row names this call's attempt, which may be dispatched."""


@dataclass(frozen=True, slots=True)
class FollowAttempt:
    """Another attempt holds the claim; return its answer to the caller."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was already used for a different request."""


ClaimDecision = ClaimAcquired | FollowAttempt | KeyReused


def claim_key(organisation: str, service: str, idempotency_key: str) -> str:
    """Return the table key for an ``Idempotency-Key``.

    The caller's text is hashed, because it may be long or contain any character.
    """
    text = _SEPARATOR.join((organisation, service, idempotency_key))
    return "claim/" + hashlib.sha256(text.encode()).hexdigest()


def request_digest(path: str, body: bytes) -> str:
    """Return a digest that is equal for repeats of the same request."""
    return hashlib.sha256(path.encode() + b"\0" + body).hexdigest()


def decide_claim(own: Claim, row: Claim) -> ClaimDecision:
    """Return the result of a claim from the row found in the table.

    Used after a write conflict and after a lost answer to a write. Comparing the
    attempt ids shows whether this call's write or another one took effect.
    """
    if row.attempt_id == own.attempt_id:
        return ClaimAcquired()
    if row.request != own.request:
        return KeyReused()
    return FollowAttempt(row)
