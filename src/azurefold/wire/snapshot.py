"""What a control process tells the entry beside it."""

import msgspec

__all__ = [
    "METHOD_GET_ENDPOINTS",
    "METHOD_LOCATE",
    "METHOD_WATCH",
    "EndpointInfo",
    "EndpointsReply",
    "GetEndpoints",
    "LocateReply",
    "LocateRequest",
    "SnapshotUpdate",
    "WatchRequest",
]

METHOD_WATCH = "Watch"
METHOD_GET_ENDPOINTS = "GetEndpoints"
METHOD_LOCATE = "Locate"


class WatchRequest(msgspec.Struct, frozen=True):
    """Ask for everything newer than what the entry has.

    Parameters
    ----------
    revision : int
        Of the configuration that the entry has; 0 if none.
    edit_id : str
        Of the same: after a restore of the store a number may stand for two
        edits, and a change to the one is none to the other.
    """

    revision: int = 0
    edit_id: str = ""


class EndpointInfo(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that is there, serving or leaving.

    Parameters
    ----------
    name : str
    incarnation : int
    address : str
    leaving : bool
    far : bool
        Whether it is in another data centre.
    """

    name: str
    incarnation: int
    address: str
    leaving: bool
    far: bool = False


class SnapshotUpdate(msgspec.Struct, frozen=True):
    """News for the entry; what has not changed is None.

    Parameters
    ----------
    revision : int
    edit_id : str
        Of the configuration in force.
    sections : dict of str to bytes, or None
        New and changed sections by name.
    removed : tuple of str
        Names of sections that are gone.
    is_whole : bool
        Whether ``sections`` are all there are, and others have to be dropped.
    endpoints : list of EndpointInfo or None
        All endpoints that are there now.
    is_partial : bool
        Whether ``endpoints`` may lack some, since the control process has not
        heard of all yet; the entry then keeps the others that it knows.
    """

    revision: int
    edit_id: str = ""
    sections: dict[str, bytes] | None = None
    removed: tuple[str, ...] = ()
    is_whole: bool = False
    endpoints: list[EndpointInfo] | None = None
    is_partial: bool = False


class GetEndpoints(msgspec.Struct, frozen=True):
    """Ask a control process of another data centre for its endpoints.

    Parameters
    ----------
    digest : int
        Of the list that the asker has; 0 if it has none.
    """

    digest: int = 0


class EndpointsReply(msgspec.Struct, frozen=True):
    """The endpoints of a data centre, or None if the asker has the same list."""

    digest: int
    endpoints: list[EndpointInfo] | None = None


class LocateRequest(msgspec.Struct, frozen=True):
    """Ask where an endpoint is that the entry does not know."""

    endpoint: str


class LocateReply(msgspec.Struct, frozen=True):
    """Where the endpoint is, or None if nobody who could be asked knows it."""

    endpoint: EndpointInfo | None = None
