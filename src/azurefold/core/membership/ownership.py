"""Selection of the endpoints that this control process has to watch."""

from collections.abc import Iterable

from azurefold.core.clock import Millis
from azurefold.core.membership.controls import Controls
from azurefold.core.membership.endpoints import Endpoint, Role, State
from azurefold.core.membership.failure_detector import FailureDetector

__all__ = ["OwnershipTracker"]


class OwnershipTracker:
    """Keeps the watched endpoints consistent with the records and the live controls.

    Parameters
    ----------
    own : Endpoint
        This control's own record.
    controls : Controls
        The live controls.
    failure_detector : FailureDetector
        Receives the endpoints to watch.
    owner_count : int
        Number of controls that each endpoint reports to.
    """

    def __init__(
        self,
        own: Endpoint,
        controls: Controls,
        failure_detector: FailureDetector,
        owner_count: int,
    ) -> None:
        self._own_name = own.name
        self._own_address = own.udp_address
        self._controls = controls
        self._failure_detector = failure_detector
        self._owner_count = owner_count

    def update(
        self, record: Endpoint, records: Iterable[Endpoint], now: Millis
    ) -> None:
        """Update the watched endpoints after a change of one of ``records``."""
        if self._controls.update(record):
            owned = [held.name for held in records if self._is_owned(held)]
            self._failure_detector.set_watched(owned, now)
        elif self._is_owned(record):
            self._failure_detector.watch(record.name, now)
        else:
            self._failure_detector.unwatch(record.name)

    def _is_owned(self, record: Endpoint) -> bool:
        if record.name == self._own_name or record.state is State.GONE:
            return False
        # A control does not report to itself, so one more owner is selected for it.
        count = self._owner_count + (record.role is Role.CONTROL)
        candidates = self._controls.owners_of(record.name, count)
        owners = [owner for owner in candidates if owner != record.udp_address]
        return self._own_address in owners[: self._owner_count]
