"""What a gateway knows of one service."""

import random
from dataclasses import dataclass, field

from azurefold.core.admission.queue import FairQueue, QueuePolicy
from azurefold.core.attempts.events import RecentGap
from azurefold.core.clock import Clock, Millis
from azurefold.core.membership.registry import EndpointEntry
from azurefold.core.routes.model import RoutedService
from azurefold.core.routing.cells import Cell
from azurefold.core.routing.endpoint import ExchangedLoads
from azurefold.core.routing.policy import PoolPolicy
from azurefold.core.routing.pool import Pool
from azurefold.core.routing.retries import RetryBudget, RetryPolicy
from azurefold.entry.admission import Admission

__all__ = ["GatewayService", "new_gateway_service", "retry_policy"]

_QUEUE = QueuePolicy(max_length=256, max_per_organisation=128, newest_first_after=150)
"""An answer's first event has to come within 400 ms, of which the engine takes
up to 250."""

_BEYOND_SLOTS = 1
"""Requests an endpoint may have beyond its slots: one that is there when a
slot falls free saves the way from here, some 3 ms, for each request."""

_OTHER_DATA_CENTRE_MS: Millis = 30
"""A nearer endpoint is taken when it has no more requests than one further
away; a request more at a rank costs the next one some 80 ms."""

_DOWN_FOR_MS: Millis = 1_000
"""After a refusal because of another rank, for which all refusals are put down
to the group: those that find its places taken by requests that stand still, too."""

_OWN_RETRY_SHARE = 0.75
"""Part of the allowed retries that is used: nodes count by themselves."""


@dataclass(slots=True)
class GatewayService:
    """Admission to one service and its endpoints.

    Parameters
    ----------
    view : RoutedService
        What the configuration says of it.
    data_centre : str
        Of this process.
    admission : Admission
    entries : dict of str to EndpointEntry
        Its endpoints by name.
    is_divided : bool
        Whether its endpoints are dealt out to cells of gateways.
    recent_gap : RecentGap
        Of its streams through this gateway.
    """

    view: RoutedService
    data_centre: str
    admission: Admission
    entries: dict[str, EndpointEntry] = field(default_factory=dict)
    is_divided: bool = False
    recent_gap: RecentGap = field(default_factory=RecentGap)
    _down_until: Millis = 0

    @property
    def is_group(self) -> bool:
        """Whether its endpoints are ranks that run in lock-step."""
        engine = self.view.engine
        return engine is not None and engine.splits_experts

    def group_was_down(self, now: Millis) -> None:
        """Note that a rank refused because of another one."""
        self._down_until = now + _DOWN_FOR_MS

    def group_is_down(self, now: Millis) -> bool:
        """Whether the group refused a moment ago because of one of its ranks."""
        return now < self._down_until

    def configure(self, view: RoutedService) -> None:
        """Take in a newer configuration."""
        self.view = view
        self._set_slots()

    def set_endpoints(
        self, entries: list[EndpointEntry], cell: Cell, now: Millis
    ) -> None:
        """Take in the present endpoints, of which the cell's get requests."""
        self.entries = {entry.name: entry for entry in entries}
        staying = [entry.name for entry in entries if not entry.leaving]
        self.is_divided = cell.divides(staying)
        used = cell.endpoints_of(staying)
        pool = self.admission.pool
        pool.set_endpoints(used, now)
        for entry in entries:
            if entry.name not in used:
                continue
            is_near = entry.data_centre == self.data_centre
            pool.set_distance(entry.name, 0 if is_near else _OTHER_DATA_CENTRE_MS)
        self._set_slots()
        self.admission.pump()

    def _set_slots(self) -> None:
        engine = self.view.engine
        listed = max((entry.slots for entry in self.entries.values()), default=1)
        self.admission.pool.set_slots(engine.slots if engine else listed)


def new_gateway_service(
    view: RoutedService,
    data_centre: str,
    clock: Clock,
    seed: int,
    retry_policy: RetryPolicy,
) -> GatewayService:
    """Return a service that has no endpoints yet."""
    pool = Pool(PoolPolicy(reserve=0.0, sharing=ExchangedLoads(_BEYOND_SLOTS)))
    admission = Admission(
        clock,
        random.Random(seed),
        pool=pool,
        queue=FairQueue(_QUEUE),
        retries=RetryBudget(retry_policy),
    )
    return GatewayService(view, data_centre, admission)


def retry_policy(
    share: float, slack: int, window_ms: Millis, nodes: int
) -> RetryPolicy:
    """Return this node's part in the retries that all nodes may make.

    Examples
    --------
    >>> retry_policy(0.2, 90, 10_000, nodes=9)
    RetryPolicy(share=0.15000000000000002, allowance=0.75, window=10000)
    """
    own_slack = _OWN_RETRY_SHARE * slack / max(1, nodes)
    per_second = own_slack * 1_000 / window_ms
    return RetryPolicy(share * _OWN_RETRY_SHARE, per_second, window_ms)
