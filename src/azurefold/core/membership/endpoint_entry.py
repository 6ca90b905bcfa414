"""Entries that endpoints write into a store to register themselves."""

from dataclasses import dataclass

from azurefold.core.clock import Millis

__all__ = ["EndpointEntry"]


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One endpoint as it has registered itself.

    Parameters
    ----------
    name : str
        A restarted endpoint may keep its name or register under a new one.
    service, address, data_centre : str
        The address is ``"ip:port"``.
    slots : int
        Number of requests that it processes concurrently.
    leaving : bool
        Whether it accepts no new work.
    started_at_ms : int
        Start of the process in Unix milliseconds; 0 if it is not given. Distinguishes
        restarts of an endpoint that keeps its name.
    cold_left_ms : int
        How much longer it stays cold, as of when the entry was written.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool = False
    started_at_ms: int = 0
    cold_left_ms: Millis = 0
