"""The platform's list of VMs, as a supplement to the endpoints' own reports.

The list lags behind, so a heartbeat always takes precedence over it. The list is used
for three things: to add endpoints that have not reported yet, to stop new work to a VM
that is about to leave, and to shorten the timeout of a silent endpoint that is no
longer listed. Only the first creates a record. It has incarnation 0, so any message
from the endpoint itself replaces it.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from azurefold.core.membership.endpoints import Endpoint

__all__ = ["ListedVm", "VmList", "record_from_vm"]


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One VM in the list.

    Parameters
    ----------
    name : str
        The endpoint's name.
    address, udp_port : str, int
        As in :class:`Endpoint`.
    leaving : bool
        Whether the platform is about to remove the VM.
    service : str
        The service that the VM was started for; empty if the list does not contain it.
    """

    name: str
    address: str
    udp_port: int
    leaving: bool = False
    service: str = ""


def record_from_vm(vm: ListedVm) -> Endpoint:
    """Return a record of incarnation 0, which any report of the endpoint replaces."""
    return Endpoint(vm.name, 0, vm.address, vm.udp_port, service=vm.service)


class VmList:
    """The most recently read list of VMs."""

    def __init__(self) -> None:
        self._vms: dict[str, ListedVm] = {}
        self._dropped: frozenset[str] = frozenset()

    @property
    def dropped(self) -> frozenset[str]:
        """Names that were listed before and no longer are."""
        return self._dropped

    def replace(self, vms: Iterable[ListedVm]) -> None:
        """Replace the list by a newly read one."""
        listed = {vm.name: vm for vm in vms}
        self._dropped = (self._dropped | self._vms.keys()) - listed.keys()
        self._vms = listed

    def forget(self, name: str) -> None:
        """Remove ``name`` from the dropped names once its record is deleted."""
        self._dropped -= {name}

    def is_leaving(self, record: Endpoint) -> bool:
        """Return whether the VM of this record is listed as leaving.

        A lagging list may still contain the previous VM of the same name, so the
        addresses are compared too.
        """
        vm = self._vms.get(record.name)
        return vm is not None and vm.leaving and vm.address == record.address
