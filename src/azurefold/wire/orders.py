"""Orders between processes, and what control processes give one another."""

import msgspec

from azurefold.border.decoding import Count

__all__ = [
    "METHOD_DRAIN",
    "METHOD_GET_HEAD",
    "METHOD_GET_SECTIONS",
    "PATH_LEAVE",
    "DrainReply",
    "DrainRequest",
    "GetHead",
    "GetSections",
    "HeadReply",
    "LeaveReply",
    "LeaveRequest",
    "SectionsReply",
]

METHOD_DRAIN = "Drain"
PATH_LEAVE = "/leave"
METHOD_GET_HEAD = "GetHead"
METHOD_GET_SECTIONS = "GetSections"


class DrainRequest(msgspec.Struct, frozen=True):
    """An operator wants an endpoint to leave."""

    endpoint: str


class DrainReply(msgspec.Struct, frozen=True):
    """How far an endpoint's leaving has come.

    Parameters
    ----------
    known : bool
        Whether the control process knows the endpoint.
    leaving : bool
        Whether the endpoint itself now refuses new work.
    in_flight : int
        Attempts that it still has to finish.
    detail : str
        For people, where the order failed.
    """

    known: bool
    leaving: bool = False
    in_flight: int = 0
    detail: str = ""


class LeaveRequest(msgspec.Struct, frozen=True):
    """Refuse new work from now on.

    Parameters
    ----------
    incarnation : int
        The life of the agent that is meant; another one refuses.
    """

    incarnation: int


class LeaveReply(msgspec.Struct, frozen=True):
    """The endpoint's own word on its leaving."""

    leaving: bool
    in_flight: Count


class GetHead(msgspec.Struct, frozen=True):
    """Ask a peer for the head of the configuration that it holds.

    Parameters
    ----------
    revision : int
        What the asker holds, 0 for nothing. A peer that held it lately answers
        with what changed since.
    """

    revision: int


class HeadReply(msgspec.Struct, frozen=True):
    """The head as JSON, whole or as a delta, or empty if the peer holds none.

    Parameters
    ----------
    head : str
        See :func:`azurefold.control.exchange.packed_head`.
    """

    head: str


class GetSections(msgspec.Struct, frozen=True):
    """Ask a peer for contents by their hashes."""

    hashes: tuple[str, ...]


class SectionsReply(msgspec.Struct, frozen=True):
    """Those of the contents that the peer holds, compressed, by their hashes."""

    contents: dict[str, bytes]
