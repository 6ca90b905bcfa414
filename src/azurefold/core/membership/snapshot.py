"""What a control process shows the entry process beside it."""

from dataclasses import dataclass

from azurefold.core.membership.endpoints import Endpoint, State

__all__ = ["Shown"]


@dataclass(frozen=True, slots=True)
class Shown:
    """One line of a snapshot.

    Parameters
    ----------
    record : Endpoint
        What is known of the endpoint.
    state : State
        What to take it for; the list of VMs may hold back a serving one.
    load : int
        The load last heard here, in hundredths; only the endpoint's homes
        hear it with each heartbeat.
    """

    record: Endpoint
    state: State
    load: int
