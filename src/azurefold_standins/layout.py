"""What a test site consists of."""

from dataclasses import dataclass, field

__all__ = ["Endpoint", "Layout"]


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint of a site.

    Parameters
    ----------
    name, service, data_centre : str
    group : str or None
        The group of ranks it belongs to; None for a plain service.
    rank : int or None
    """

    name: str
    service: str
    data_centre: str
    group: str | None = None
    rank: int | None = None


@dataclass(frozen=True, slots=True)
class Layout:
    """What a site consists of.

    Parameters
    ----------
    data_centres : dict of str to int
        How many entry VMs each data centre has.
    endpoints : tuple of Endpoint
    step_ms, latency_ms : int
        Of the model engines and of the plain services.
    honours_fence : bool
        Whether engines refuse old fencing numbers.
    machine : dict of str to int, optional
        Limits of each entry, control and agent, as in their settings.
    relayed : bool
        Whether links between data centres, to the platform, to agents and to
        engines go through a relay whose faults can be switched.
    """

    data_centres: dict[str, int]
    endpoints: tuple[Endpoint, ...]
    step_ms: int = 5
    latency_ms: int = 20
    honours_fence: bool = True
    relayed: bool = False
    machine: dict[str, int] = field(default_factory=dict)
