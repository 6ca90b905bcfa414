"""The record of one endpoint, and how two records of it are joined.

Records reach a control process late, doubled and out of order, by several
ways. So they form a join-semilattice: :func:`join` is commutative, associative
and idempotent, and all controls that have heard the same records, in whatever
order, hold the same one.
"""

import hashlib
from dataclasses import dataclass, replace
from enum import IntEnum

__all__ = ["NO_RANK", "Endpoint", "Role", "State", "fingerprint", "join", "name_hash"]

NO_RANK = -1
_FINGERPRINT_BYTES = 4


class State(IntEnum):
    """What an endpoint may be given; only ``SERVING`` takes new work."""

    JOINING = 0
    SERVING = 1
    LEAVING = 2
    GONE = 3


class Role(IntEnum):
    """Who reports itself; a control process has a record like an endpoint's."""

    ENDPOINT = 0
    CONTROL = 1


@dataclass(frozen=True, slots=True)
class Endpoint:
    """What is known of one endpoint.

    Parameters
    ----------
    name : str
        Unique in the data centre.
    incarnation : int
        Greater in each life of the process. 0 stands for an endpoint that only
        the list of VMs has named.
    address : str
        IP number and TCP port that work or orders go to.
    udp_port : int
        Port for datagrams on the same IP number.
    role : Role
        Endpoint or control process.
    service : str
        The service it belongs to.
    rank : int
        Its rank in the service's group, or ``NO_RANK``.
    version : int
        Raised by the endpoint itself with each change that it announces.
    announced : State
        What it said of itself in ``version``.
    load : int
        Load when ``version`` was announced, in hundredths of its capacity.
    departing : bool
        Whether it ever announced leaving in this incarnation.
    silence : int
        Odd while control processes take it for dead. Raised by one by the
        control that misses its heartbeats, and by the one that hears it again.
    orders_port : int
        Port for gRPC on the same IP number; 0 where none is served.
    """

    name: str
    incarnation: int
    address: str
    udp_port: int
    role: Role = Role.ENDPOINT
    service: str = ""
    rank: int = NO_RANK
    version: int = 0
    announced: State = State.JOINING
    load: int = 0
    departing: bool = False
    silence: int = 0
    orders_port: int = 0

    @property
    def is_silent(self) -> bool:
        """Whether control processes take it for dead."""
        return self.silence % 2 == 1

    @property
    def state(self) -> State:
        """What it is to be taken for.

        Examples
        --------
        >>> record = Endpoint("a", 1, "10.0.0.1:80", 80, announced=State.SERVING)
        >>> replace(record, departing=True).state.name
        'LEAVING'
        >>> replace(record, silence=1).state.name
        'GONE'
        """
        if self.is_silent:
            return State.GONE
        if self.departing:
            return max(State.LEAVING, self.announced)
        return self.announced

    @property
    def udp_address(self) -> str:
        """IP number and port for datagrams."""
        host = self.address.rpartition(":")[0]
        return f"{host}:{self.udp_port}"

    @property
    def orders_address(self) -> str | None:
        """IP number and port for gRPC, None where none is served."""
        if not self.orders_port:
            return None
        host = self.address.rpartition(":")[0]
        return f"{host}:{self.orders_port}"


def join(one: Endpoint, other: Endpoint) -> Endpoint:
    """Return the least record that is at least both of two of one endpoint.

    The higher incarnation wins as a whole. Within one, the higher version
    gives what was announced, whereas ``departing`` and ``silence`` only rise:
    were leaving part of the version alone, a late or misdated ``SERVING``
    would bring new work to an endpoint that refuses it.

    Raises
    ------
    ValueError
        If the records are of two endpoints.
    """
    if one.name != other.name:
        raise ValueError(f"records of {one.name} and {other.name} cannot be joined")
    if one.incarnation != other.incarnation:
        return max(one, other, key=lambda record: record.incarnation)
    newest = max(one, other, key=_announcement)
    leaving = max(one.announced, other.announced) >= State.LEAVING
    return replace(
        newest,
        departing=one.departing or other.departing or leaving,
        silence=max(one.silence, other.silence),
    )


def _announcement(record: Endpoint) -> tuple:
    # The fields after the version only make the choice the same everywhere.
    return (
        record.version,
        record.announced,
        record.load,
        record.address,
        record.udp_port,
        record.role,
        record.service,
        record.rank,
        record.orders_port,
    )


def name_hash(name: str) -> int:
    """Return a 32-bit hash of a name, the same in every process."""
    digest = hashlib.blake2b(name.encode(), digest_size=_FINGERPRINT_BYTES).digest()
    return int.from_bytes(digest)


def fingerprint(record: Endpoint) -> int:
    """Return a 32-bit hash of a record, the same in every process."""
    return name_hash(repr((record.name, record.incarnation, *_mutable(record))))


def _mutable(record: Endpoint) -> tuple:
    return (
        record.version,
        int(record.announced),
        record.departing,
        record.silence,
    )
