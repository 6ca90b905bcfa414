"""Claims: one row in the platform's table for each key of a caller.

A row is written, if absent, before a non-idempotent request with an
``Idempotency-Key`` is dispatched. Whoever holds the row may run the request;
everybody else follows the attempt named in it.
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
    """Which attempt may run a caller's request.

    Parameters
    ----------
    attempt_id, endpoint, incarnation : str
        The attempt and the agent's incarnation it is bound to. An agent in
        another incarnation refuses it, so the claim dies with the agent
        instead of being run again after a restart.
    request : str
        :func:`request_digest` of the request that the key stands for.
    """

    attempt_id: str
    endpoint: str
    incarnation: str
    request: str


@dataclass(frozen=True, slots=True)
class ClaimAcquired:
    """The row names the own attempt: dispatch it."""


@dataclass(frozen=True, slots=True)
class FollowAttempt:
    """Another attempt holds the key: give the caller that one's answer."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was used for another request before."""


ClaimDecision = ClaimAcquired | FollowAttempt | KeyReused


def claim_key(organisation: str, service: str, idempotency_key: str) -> str:
    """Return the table key of a caller's key.

    The caller's text is hashed: it may be long or hold any character.
    """
    text = _SEPARATOR.join((organisation, service, idempotency_key))
    return "claim/" + hashlib.sha256(text.encode()).hexdigest()


def request_digest(path: str, body: bytes) -> str:
    """Return a digest by which a repeat is told from another request."""
    return hashlib.sha256(path.encode() + b"\0" + body).hexdigest()


def decide_claim(own: Claim, row: Claim) -> ClaimDecision:
    """Say what the row found in the table means for the own attempt.

    Used after a conflict and after a lost answer alike: comparing the attempt
    id tells an own write that took effect from somebody else's.
    """
    if row.attempt_id == own.attempt_id:
        return ClaimAcquired()
    if row.request != own.request:
        return KeyReused()
    return FollowAttempt(row)
