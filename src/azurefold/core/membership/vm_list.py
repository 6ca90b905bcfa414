"""What the platform's list of VMs adds to what endpoints say themselves.

The list lags, so it is never believed against a heartbeat. It may name an
endpoint not heard of yet, keep new work from a VM that is about to leave, and
shorten the wait for a silent one that it has dropped. Of these only the first
becomes a record, of incarnation 0, which any word from the endpoint replaces.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from azurefold.core.membership.endpoints import Endpoint

__all__ = ["ListedVm", "VmList", "record_from_vm"]


@dataclass(frozen=True, slots=True)
class ListedVm:
    """One line of the list.

    Parameters
    ----------
    name : str
        The endpoint's name.
    address, udp_port : str, int
        As in :class:`Endpoint`.
    leaving : bool
        Whether the platform is about to take the VM away.
    service : str
        The service it was started for, if the list tells.
    """

    name: str
    address: str
    udp_port: int
    leaving: bool = False
    service: str = ""


def record_from_vm(vm: ListedVm) -> Endpoint:
    """Return a record that any word from the endpoint itself replaces."""
    return Endpoint(vm.name, 0, vm.address, vm.udp_port, service=vm.service)


class VmList:
    """The list last read."""

    def __init__(self) -> None:
        self._vms: dict[str, ListedVm] = {}
        self._dropped: frozenset[str] = frozenset()

    @property
    def dropped(self) -> frozenset[str]:
        """Names that were listed once and are not now."""
        return self._dropped

    def replace(self, vms: Iterable[ListedVm]) -> None:
        """Take a newly read list."""
        listed = {vm.name: vm for vm in vms}
        self._dropped = (self._dropped | self._vms.keys()) - listed.keys()
        self._vms = listed

    def forget(self, name: str) -> None:
        """Drop what was kept of an endpoint whose record is forgotten."""
        self._dropped -= {name}

    def says_leaving(self, record: Endpoint) -> bool:
        """Return whether the list takes this very VM for leaving.

        A lagging list may still show the VM that had the name before; its
        address tells the two apart.
        """
        vm = self._vms.get(record.name)
        return vm is not None and vm.leaving and vm.address == record.address
