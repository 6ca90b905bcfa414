"""The record of one endpoint, and the join of two records.

Records reach a control process delayed, duplicated and out of order, over several
paths. So they form a join-semilattice: :func:`join` is commutative, associative and
idempotent. All controls that have received the same records, in any order, hold the
same result.
"""

import hashlib
from dataclasses import dataclass, replace
from enum import IntEnum

__all__ = ["NO_RANK", "Endpoint", "Role", "State", "fingerprint", "join", "name_hash"]

NO_RANK = -1
_FINGERPRINT_BYTES = 4


class State(IntEnum):
    """State of an endpoint; only a ``SERVING`` one accepts new work."""

    JOINING = 0
    SERVING = 1
    LEAVING = 2
    GONE = 3


class Role(IntEnum):
    """Kind of process; control processes have records like those of endpoints."""

    ENDPOINT = 0
    CONTROL = 1


@dataclass(frozen=True, slots=True)
class Endpoint:
    """The record of one endpoint or control process.

    Parameters
    ----------
    name : str
        Unique in the data centre.
    incarnation : int
        Increases with each start of the process. 0 if the endpoint is known only from
        the list of VMs.
    address : str
        IP address and TCP port for requests or orders.
    udp_port : int
        Port for datagrams on the same IP address.
    role : Role
        Endpoint or control process.
    service : str
        The service that it belongs to.
    rank : int
        Its rank in the service's group, or ``NO_RANK``.
    version : int
        Incremented by the endpoint itself with each change that it announces.
    announced : State
        The state that it announced in ``version``.
    load : int
        Load when ``version`` was announced, in hundredths of its capacity.
    departing : bool
        Whether it has announced leaving in this incarnation.
    silence : int
        Odd while control processes consider it failed. Incremented by the control that
        misses its heartbeats, and by the one that receives a message from it again.
    orders_port : int
        Port for gRPC on the same IP address; 0 if it serves none.
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
        """Whether control processes consider it failed."""
        return self.silence % 2 == 1

    @property
    def state(self) -> State:
        """Effective state.

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
        """IP address and port for datagrams."""
        host = self.address.rpartition(":")[0]
        return f"{host}:{self.udp_port}"

    @property
    def orders_address(self) -> str | None:
        """IP address and port for gRPC, None if it serves none."""
        if not self.orders_port:
            return None
        host = self.address.rpartition(":")[0]
        return f"{host}:{self.orders_port}"


def join(first: Endpoint, second: Endpoint) -> Endpoint:
    """Return the least upper bound of two records of one endpoint.

    The record of the higher incarnation wins as a whole. Within an incarnation the
    higher version determines what was announced, but ``departing`` and ``silence`` only
    ever increase. If leaving depended on the version alone, a delayed or misdated
    ``SERVING`` would send new work to an endpoint that refuses it.

    Raises
    ------
    ValueError
        If the records belong to different endpoints.
    """
    if first.name != second.name:
        raise ValueError(
            f"records of {first.name} and {second.name} cannot be joined: "
            "they belong to different endpoints"
        )
    if first.incarnation != second.incarnation:
        return max(first, second, key=lambda record: record.incarnation)
    newest = max(first, second, key=_announcement_key)
    is_leaving = max(first.announced, second.announced) >= State.LEAVING
    return replace(
        newest,
        departing=first.departing or second.departing or is_leaving,
        silence=max(first.silence, second.silence),
    )


def _announcement_key(record: Endpoint) -> tuple:
    # The fields after the version are tie-breakers that make the result deterministic.
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
    """Return a 32-bit hash of a name that is the same in every process."""
    digest = hashlib.blake2b(name.encode(), digest_size=_FINGERPRINT_BYTES).digest()
    return int.from_bytes(digest)


def fingerprint(record: Endpoint) -> int:
    """Return a 32-bit hash of a record that is the same in every process."""
    return name_hash(repr((record.name, record.incarnation, *_mutable_fields(record))))


def _mutable_fields(record: Endpoint) -> tuple:
    return (
        record.version,
        int(record.announced),
        record.departing,
        record.silence,
    )
