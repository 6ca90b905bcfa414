"""Whether this gateway can be of use to callers, or should have others take them."""

import logging
from dataclasses import dataclass, field

import gevent
from gevent import socket as gevent_socket

from azurefold.core.clock import Millis
from azurefold.core.membership.isolation import IsolationDetector
from azurefold.gateway.state import GatewayState
from azurefold.internal.http_server import split_address
from azurefold.internal.logs import log_event

__all__ = ["Reach"]

_log = logging.getLogger("azurefold.gateway")

_LOOK_MS: Millis = 100
_STORE_TIMEOUT_MS: Millis = 400
"""The store's connections are there within some 5 ms."""

_SECOND_MS = 1_000


@dataclass(slots=True)
class Reach:
    """Says that the gateway is not ready while it is cut off from what callers need.

    A data centre that is cut off keeps its callers: they reach its gateways, which
    reach no group. Not ready, all of its gateways have the balancer in front send
    their callers to other data centres, where a group may run. Three signs have to
    come together, as each alone has harmless causes: half of the peers are silent,
    the store takes no connection, and no group of any service gives events. Then
    the gateways on the other side of a cut stay ready, as do all of them while the
    store is away or while a group is down for everybody.

    Parameters
    ----------
    state : GatewayState
    isolation : IsolationDetector
    """

    state: GatewayState
    isolation: IsolationDetector = field(default_factory=IsolationDetector)

    def watch_for_ever(self) -> None:
        """Look, again and again."""
        while True:
            gevent.sleep(_LOOK_MS / _SECOND_MS)
            self._look()

    def _look(self) -> None:
        is_cut_off = self._seems_useless() and not self._reaches_store()
        if is_cut_off == self.state.is_cut_off:
            return
        self.state.is_cut_off = is_cut_off
        log_event(_log, "cut_off" if is_cut_off else "cut_off_ended", logging.WARNING)

    def _seems_useless(self) -> bool:
        if not self.isolation.is_isolated(self.state.clock.now()):
            return False
        groups = [each for each in self.state.services.values() if each.is_group]
        return bool(groups) and not any(each.seems_to_run for each in groups)

    def _reaches_store(self) -> bool:
        address = split_address(self.state.settings.store)
        timeout = _STORE_TIMEOUT_MS / _SECOND_MS
        try:
            gevent_socket.create_connection(address, timeout).close()
        except OSError as error:
            _log.debug("the store takes no connection: %s", error)
            return False
        return True
