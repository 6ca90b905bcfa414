"""Whether a gateway reads from a new connection of a caller."""

import logging

from azurefold.core.admission.connection_spread import NodeLoad
from azurefold.core.routing.peer_loads import PeerLoads
from azurefold.gateway.state import GatewayState
from azurefold.internal.logs import log_event

__all__ = ["accepts_connection"]

_log = logging.getLogger("azurefold.gateway")


def accepts_connection(state: GatewayState, loads: PeerLoads) -> bool:
    """Return whether to read from a new connection; log the first of a series if not.

    Parameters
    ----------
    state : GatewayState
    loads : PeerLoads
        Of the other gateways of the cell.
    """
    load = NodeLoad(
        state.in_flight,
        state.turned_away,
        loads.requests_by_node,
        is_cell_full=state.is_waiting and state.cell.count > 1,
        lateness=state.lateness,
        is_urgent_waiting=any(counts[0] for counts in state.waiting_by_class.values()),
    )
    spread = state.spread
    is_accepted = spread.accepts(load)
    if spread.is_first_declined:
        log_event(
            _log,
            "connections_declined",
            logging.WARNING,
            in_flight=load.requests,
            turned_away=load.turned_away,
            peers=len(load.peers),
            peers_requests=sum(load.peers),
            is_cell_full=load.is_cell_full,
            late_ms=load.lateness,
            declined=spread.declined,
        )
    return is_accepted
