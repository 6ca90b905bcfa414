"""What a control process tells the entry beside it."""

import msgspec

__all__ = ["METHOD_WATCH", "EndpointInfo", "SnapshotUpdate", "WatchRequest"]

METHOD_WATCH = "Watch"


class WatchRequest(msgspec.Struct, frozen=True):
    """Ask for everything newer than what the entry has.

    Parameters
    ----------
    revision : int
        Of the configuration that the entry has; 0 if none.
    """

    revision: int = 0


class EndpointInfo(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that is there, serving or leaving."""

    name: str
    incarnation: int
    address: str
    leaving: bool


class SnapshotUpdate(msgspec.Struct, frozen=True):
    """News for the entry; what has not changed is None.

    Parameters
    ----------
    revision : int
    configuration : bytes or None
        The accepted configuration as JSON.
    endpoints : list of EndpointInfo or None
        All endpoints that are there now.
    """

    revision: int
    configuration: bytes | None = None
    endpoints: list[EndpointInfo] | None = None
