"""Who callers are, and how much each organisation may ask for."""

import hashlib
import hmac
import random
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from azurefold.core.admission.limits import Limited, OrganisationLimits
from azurefold.core.attempts.outcome import Failure, RunStatus
from azurefold.core.clock import Clock
from azurefold.core.configuration.model import Organisation
from azurefold.entry.requests import BadRequestError

__all__ = ["LIMITED", "Organisations", "new_organisations"]

LIMITED = "organisation_limited"
_BEARER = "bearer"


@dataclass(slots=True)
class Organisations:
    """The organisations of the configuration in force.

    Parameters
    ----------
    clock : Clock
    draw : random.Random
        Spreads the times at which refused callers come back.
    requests, tokens : OrganisationLimits
        Of requests and of tokens a second.
    limited : Counter of str
        Refusals by what there was too much of.
    """

    clock: Clock
    draw: random.Random
    requests: OrganisationLimits
    tokens: OrganisationLimits
    limited: Counter[str] = field(default_factory=Counter)
    _by_name: dict[str, Organisation] = field(default_factory=dict)

    @property
    def shares(self) -> dict[str, float]:
        """Weights in the queue of the organisations that have one of their own."""
        return {
            name: one.share for name, one in self._by_name.items() if one.share != 1.0
        }

    def apply(self, changed: dict[str, Organisation], names: Collection[str]) -> None:
        """Take in a new configuration.

        Parameters
        ----------
        changed : dict of str to Organisation
            Those that are new or may differ from before.
        names : collection of str
            All there are now.
        """
        known = self._by_name | changed
        self._by_name = {name: one for name, one in known.items() if name in names}
        self.requests.set_limits(_rates(self._by_name, "requests_per_second"))
        self.tokens.set_limits(_rates(self._by_name, "tokens_per_second"))

    def check_key(self, organisation: str, authorization: str | None) -> None:
        """Check the key of a caller that says it is of an organisation.

        Raises
        ------
        BadRequestError
            If the organisation needs a key and this is not it.
        """
        known = self._by_name.get(organisation)
        if known is None or not known.api_key_sha256:
            return
        scheme, _, key = (authorization or "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        fits = hmac.compare_digest(digest, known.api_key_sha256.lower())
        if scheme.lower() != _BEARER or not fits:
            raise BadRequestError(
                401, "bad_api_key", "Send your key as Authorization: Bearer KEY."
            )

    def admit(self, organisation: str, tokens: int) -> Failure | None:
        """Return why a request is over its organisation's limits, if it is."""
        now, draw = self.clock.now(), self.draw.random()
        for kind, limits, amount in (
            ("requests", self.requests, 1),
            ("tokens", self.tokens, tokens),
        ):
            answer = limits.try_acquire(organisation, amount, draw, now)
            if isinstance(answer, Limited):
                self.limited[kind] += 1
                detail = f"Your organisation asks for more {kind} than its limit."
                return Failure(
                    RunStatus.NOT_RUN, LIMITED, detail, answer.retry_after_ms
                )
        return None

    def tick(self) -> None:
        """Count this node's own demand; call it about once a second."""
        now = self.clock.now()
        self.requests.build_report(now)
        self.tokens.build_report(now)


def _rates(organisations: dict[str, Organisation], field_name: str) -> dict[str, float]:
    rates = {name: getattr(one, field_name) for name, one in organisations.items()}
    return {name: rate for name, rate in rates.items() if rate is not None}


def new_organisations(clock: Clock, seed: int, node: str) -> Organisations:
    """Return an entry's view before any configuration has come."""
    return Organisations(
        clock,
        random.Random(seed),
        requests=OrganisationLimits(node, {}),
        tokens=OrganisationLimits(node, {}),
    )
