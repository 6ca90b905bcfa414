"""What a control process shows the entry process beside it."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from azurefold.core.membership.endpoints import Endpoint, Role, State
from azurefold.core.membership.vm_list import VmList

__all__ = ["Shown", "show"]


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


def show(
    records: Iterable[Endpoint], vm_list: VmList, loads: Mapping[str, int]
) -> tuple[Shown, ...]:
    """Return all endpoints as the entry process should take them."""
    endpoints = (record for record in records if record.role is Role.ENDPOINT)
    return tuple(_shown(record, vm_list, loads) for record in endpoints)


def _shown(record: Endpoint, vm_list: VmList, loads: Mapping[str, int]) -> Shown:
    state = record.state
    if state is State.SERVING and vm_list.says_leaving(record):
        state = State.LEAVING
    return Shown(record, state, loads.get(record.name, record.load))
