"""Settings of the three processes: where they are and whom they know.

What is the same for the whole system and may change while it runs is not here
but in the configuration (:mod:`azurefold.border.configuration`).
"""

from collections.abc import Iterable
from typing import Annotated, Any, TypeVar

from pydantic import Field

from azurefold.border.fields import (
    Address,
    Key,
    Milliseconds,
    Name,
    doubled_entries,
    part,
)
from azurefold.border.findings import Problem
from azurefold.border.validation import BorderModel, read_text, validated

__all__ = [
    "AgentSettings",
    "ControlRef",
    "ControlSettings",
    "EntryLimits",
    "EntrySettings",
    "OperatorControl",
    "OperatorSettings",
    "PeerAgent",
    "PeerControl",
    "load_settings",
]

_ADDRESS = 'an IP number with a port, "10.0.0.1:80"'
_NAME = "a name in lower-case letters, digits, dots and dashes"
_DATA_CENTRE = "the name of the data centre this runs in"
_MOST_KEYS = 8
_MEGABYTE = 1_048_576
_MAX_INT32 = 2**31 - 1
"""Of megabytes, descriptors and ranks."""
_KEYS = "a list of one to eight keys; the first seals, all of them verify"
_PLATFORM = f"a list of the platform's addresses, each {_ADDRESS}"

_Addresses = Annotated[list[Address], Field(min_length=1)]
_Keys = Annotated[list[Key], Field(min_length=1, max_length=_MOST_KEYS)]


class EntryLimits(BorderModel):
    """What an entry bears from callers."""

    max_body_bytes: Annotated[int, Field(ge=1, le=64 * 1_048_576)] = Field(
        default=1_048_576, description="bytes of the largest body taken, up to 64 MiB"
    )
    header_timeout_ms: Milliseconds = Field(
        default=5_000, description="milliseconds for a caller to send its headers"
    )
    body_timeout_ms: Milliseconds = Field(
        default=10_000, description="milliseconds for a caller to send its body"
    )
    drain_timeout_ms: Milliseconds = Field(
        default=30_000, description="milliseconds that a graceful stop waits at most"
    )


class _Process(BorderModel):
    data_centre: Name = Field(description=_DATA_CENTRE)
    metrics: Address = Field(description=f"where /metrics is served: {_ADDRESS}")
    keys: _Keys = Field(description=_KEYS)
    memory_mb: Annotated[int, Field(ge=0, le=_MAX_INT32)] = Field(
        default=0,
        description="megabytes of the VM, or of the slot on it, that the process stays "
        "within; 0 for all of the machine's",
    )
    descriptors: Annotated[int, Field(ge=0, le=_MAX_INT32)] = Field(
        default=0,
        description="descriptors that the process may have open; 0 for as many as the "
        "system allows",
    )

    @property
    def memory_bytes(self) -> int:
        """The same in bytes."""
        return self.memory_mb * _MEGABYTE


class EntrySettings(_Process):
    """Settings of ``azurefold-entry``."""

    name: Name = Field(description=_NAME)
    listen: Address = Field(description=f"where callers come: {_ADDRESS}")
    control: Address = Field(
        description=f"gRPC address of the control process beside it: {_ADDRESS}"
    )
    control_name: Name = Field(
        description="the name in the settings of the control process beside it"
    )
    platform: _Addresses = Field(description=_PLATFORM)
    platform_timeout_ms: Milliseconds = Field(
        default=1_000, description="milliseconds for one request to the platform"
    )
    limits: EntryLimits = Field(
        default_factory=EntryLimits, description="limits towards callers"
    )


class PeerControl(BorderModel):
    """Another control process."""

    name: Name = Field(description=_NAME)
    data_centre: Name = Field(description="the data centre of that process")
    udp: Address = Field(description=f"its UDP address: {_ADDRESS}")
    grpc: Address = Field(description=f"its gRPC address: {_ADDRESS}")


class ControlSettings(_Process):
    """Settings of ``azurefold-control``."""

    name: Name = Field(description=_NAME)
    grpc: Address = Field(description=f"where gRPC is served: {_ADDRESS}")
    udp: Address = Field(description=f"where datagrams come: {_ADDRESS}")
    udp_bind: Address | None = Field(
        default=None,
        description=f"what to bind if udp is reached by some other way: {_ADDRESS}",
    )
    platform: _Addresses = Field(description=_PLATFORM)
    platform_timeout_ms: Milliseconds = Field(
        default=1_000, description="milliseconds for one request to the platform"
    )
    peers: list[PeerControl] = Field(
        default_factory=list, description="the other control processes"
    )
    poll_interval_ms: Milliseconds = Field(
        default=1_000, description="milliseconds between looks at the platform"
    )


class ControlRef(BorderModel):
    """A control process that an agent reports to."""

    name: Name = Field(description=_NAME)
    udp: Address = Field(description=f"its UDP address: {_ADDRESS}")


class PeerAgent(BorderModel):
    """The agent of another rank of the same group."""

    endpoint: Name = Field(description="name of that agent's endpoint")
    grpc: Address = Field(description=f"its gRPC address: {_ADDRESS}")


class AgentSettings(_Process):
    """Settings of ``azurefold-agent``. It never asks the platform."""

    endpoint: Name = Field(description="the name of the endpoint on this VM")
    service: Name = Field(description="the service that the endpoint belongs to")
    group: Name | None = Field(
        default=None, description="the group of ranks, left out for plain services"
    )
    rank: Annotated[int, Field(ge=0, le=_MAX_INT32)] | None = Field(
        default=None, description="the rank in its group, counted from 0"
    )
    http: Address = Field(description=f"where entries come: {_ADDRESS}")
    http_bind: Address | None = Field(
        default=None,
        description=f"what to bind if http is reached through another address: "
        f"{_ADDRESS}",
    )
    grpc: Address = Field(
        description=f"where a rank's orders come, on the IP number of http: {_ADDRESS}"
    )
    udp: Address = Field(
        description=f"where datagrams come, on the IP number of http: {_ADDRESS}"
    )
    udp_bind: Address | None = Field(
        default=None,
        description=f"what to bind if udp is reached by some other way: {_ADDRESS}",
    )
    engine: Address = Field(description=f"the engine or plain service: {_ADDRESS}")
    engine_honours_fence: bool = Field(
        default=False, description="true if the engine refuses an old fence, or false"
    )
    controls: Annotated[list[ControlRef], Field(min_length=1)] = Field(
        description="the control processes of this data centre"
    )
    peers: list[PeerAgent] = Field(
        default_factory=list,
        description="agents of the other ranks of the group, in the order of ranks",
    )


class OperatorControl(BorderModel):
    """A control process as the operator's commands see it."""

    name: Name = Field(description=_NAME)
    data_centre: Name = Field(description="the data centre of that process")
    status: Address = Field(description=f"its metrics address: {_ADDRESS}")
    grpc: Address | None = Field(
        default=None, description=f"its gRPC address, for orders: {_ADDRESS}"
    )


class OperatorSettings(BorderModel):
    """Settings of the ``azurefold`` commands."""

    platform: _Addresses = Field(description=_PLATFORM)
    platform_timeout_ms: Milliseconds = Field(
        default=2_000, description="milliseconds for one request to the platform"
    )
    controls: list[OperatorControl] = Field(
        default_factory=list, description="the control processes to ask for status"
    )
    keys: Annotated[list[Key], Field(max_length=_MOST_KEYS)] = Field(
        default_factory=list, description=f"{_KEYS}; needed for drain only"
    )


_Settings = TypeVar("_Settings", bound=BorderModel)


def load_settings(path: str, model: type[_Settings]) -> _Settings:
    """Read the settings file at ``path``.

    Raises
    ------
    FindingsError
        With every finding and its place.
    """
    return validated(read_text(path), model, _cross_check, "the settings are refused")


def _cross_check(raw: Any) -> Iterable[Problem]:
    for key, named_by in (("keys", "id"), ("controls", "name")):
        yield from doubled_entries(part(raw, key, kind=list), (key,), named_by)
    peers = part(raw, "peers", kind=list)
    for named_by in ("name", "endpoint"):
        yield from doubled_entries(peers, ("peers",), named_by)
    yield from _itself_among_peers(raw, peers)
    yield from _half_a_rank(raw)


def _itself_among_peers(raw: Any, peers: list) -> Iterable[Problem]:
    for key in ("name", "endpoint"):
        own = part(raw, key, kind=str)
        for index, peer in enumerate(peers):
            if own and part(peer, key, kind=str) == own:
                where = ("peers", index, key)
                yield Problem(where, f"{own!r} is this process", "only others")


def _half_a_rank(raw: Any) -> Iterable[Problem]:
    given = part(raw, kind=dict)
    for here, other in (("rank", "group"), ("group", "rank")):
        if given.get(here) is not None and given.get(other) is None:
            yield Problem((here,), f"stands without {other}", f"{other} beside it")
