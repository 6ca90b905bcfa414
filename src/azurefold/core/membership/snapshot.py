"""Snapshot of all endpoints, which a control sends to the entry process."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from azurefold.core.membership.endpoints import Endpoint, Role, State
from azurefold.core.membership.vm_list import VmList

__all__ = ["SnapshotEntry", "build_snapshot"]


@dataclass(frozen=True, slots=True)
class SnapshotEntry:
    """One endpoint in a snapshot.

    Parameters
    ----------
    record : Endpoint
        The merged record of the endpoint.
    state : State
        Effective state. A serving endpoint whose VM is listed as leaving counts as
        leaving.
    load : int
        Latest load received here, in hundredths of its capacity. Only the endpoint's
        owners receive it with each heartbeat; other controls have the load of its last
        announcement.
    """

    record: Endpoint
    state: State
    load: int


def build_snapshot(
    records: Iterable[Endpoint], vm_list: VmList, loads: Mapping[str, int]
) -> tuple[SnapshotEntry, ...]:
    """Return an entry for each endpoint, without control processes."""
    endpoints = (record for record in records if record.role is Role.ENDPOINT)
    return tuple(_to_entry(record, vm_list, loads) for record in endpoints)


def _to_entry(
    record: Endpoint, vm_list: VmList, loads: Mapping[str, int]
) -> SnapshotEntry:
    state = record.state
    if state is State.SERVING and vm_list.is_leaving(record):
        state = State.LEAVING
    return SnapshotEntry(record, state, loads.get(record.name, record.load))
