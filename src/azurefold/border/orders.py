"""Orders that operators give to the control processes over sealed gRPC."""

import msgspec

__all__ = ["DRAIN", "DrainReply", "DrainRequest"]

DRAIN = "DrainEndpoint"
"""Name of the method; carrying it out twice is the same as once."""


class DrainRequest(msgspec.Struct, frozen=True):
    """Have an endpoint leave.

    Parameters
    ----------
    endpoint : str
        Its name in the configuration.
    """

    endpoint: str


class DrainReply(msgspec.Struct, frozen=True):
    """How far an endpoint's leaving is.

    Parameters
    ----------
    known : bool
        Whether this control process knows the endpoint.
    leaving : bool
        Whether its agent has confirmed that it takes no new work.
    in_flight : int
        Requests that it still has to finish.
    """

    known: bool
    leaving: bool = False
    in_flight: int = 0
