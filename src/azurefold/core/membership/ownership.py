"""Which endpoints this control process has to watch."""

from collections.abc import Iterable

from azurefold.core.clock import Millis
from azurefold.core.membership.controls import Controls
from azurefold.core.membership.endpoints import Endpoint, Role, State
from azurefold.core.membership.failure_detector import Watches

__all__ = ["Responsibility"]


class Responsibility:
    """Keeps the watches in step with records and live controls.

    Parameters
    ----------
    own : Endpoint
        This control's own record.
    controls : Controls
        The live controls.
    watches : Watches
        What to keep in step.
    count : int
        Controls that each endpoint reports to.
    """

    def __init__(
        self, own: Endpoint, controls: Controls, watches: Watches, count: int
    ) -> None:
        self._own_name = own.name
        self._own_address = own.udp_address
        self._controls = controls
        self._watches = watches
        self._count = count

    def take(self, record: Endpoint, records: Iterable[Endpoint], now: Millis) -> None:
        """Note that ``record``, one of ``records``, has changed."""
        if self._controls.put(record):
            mine = [held.name for held in records if self._is_home(held)]
            self._watches.watch_only(mine, now)
        elif self._is_home(record):
            self._watches.watch(record.name, now)
        else:
            self._watches.unwatch(record.name)

    def _is_home(self, record: Endpoint) -> bool:
        if record.name == self._own_name or record.state is State.GONE:
            return False
        # A control does not report to itself, so one more stands in for it.
        count = self._count + (record.role is Role.CONTROL)
        homes = self._controls.homes(record.name, count)
        others = [home for home in homes if home != record.udp_address]
        return self._own_address in others[: self._count]
