"""Endpoints as they register themselves in a store."""

from dataclasses import dataclass

__all__ = ["EndpointEntry"]


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint as it has registered itself.

    Parameters
    ----------
    name : str
        A restarted endpoint may have another one, or the same.
    service, address, data_centre : str
        The address is ``"ip:port"``.
    slots : int
        Requests that it runs at a time.
    leaving : bool
        Whether it takes no new work.
    started_at_ms : int
        When it started, in Unix milliseconds; 0 if it does not say. Tells its starts
        apart where it keeps its name.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    started_at_ms: int = 0
