"""The platform's settings file of one process."""

from pathlib import Path
from typing import Literal, TypeVar

import msgspec

from azurefold.border.decoding import (
    Port,
    check_ip,
    check_port,
    json_decoder,
    unreadable_as,
)
from azurefold.gateway.settings import GatewaySettings

__all__ = ["SETTINGS_VARIABLE", "BadSettingsError", "load_settings"]

SETTINGS_VARIABLE = "AZUREFOLD_NODE_FILE"
"""Variable of the environment that holds the settings file's path."""

_SECOND_MS = 1_000
_ANY_HOST = "0.0.0.0"
_MAX_NUMBER = 1e12
"""Numbers outside of 0 to this are replaced by their defaults: with an evacuation's
bound of -1 ms no configuration would ever count as new enough."""

_RANGES = {"RetryWindowS": (0.1, 3_600), "HeartbeatMs": (1, 3_600_000)}
"""Narrower ones, of what is divided by or kept for as long."""


_Section = TypeVar("_Section", bound=msgspec.Struct)


class BadSettingsError(Exception):
    """A settings file that cannot be used; says what is wrong with it."""


_Empty = Literal[""] | None
"""What stands in place of a value that is not set."""

_Number = float | _Empty


class _Listen(msgspec.Struct):
    callers: str = msgspec.field(name="Frontend")
    # Health checks only, not everything an operator would call "ready".
    admin: str = msgspec.field(name="Ready")


class _Bounds(msgspec.Struct):
    grace_s: _Number = msgspec.field(name="GraceS", default=8.0)
    drain_ms: _Number = msgspec.field(name="DrainMs", default=2_000.0)
    apply_ms: _Number = msgspec.field(name="ConfigApplyMs", default=2_000.0)
    retry_share: _Number = msgspec.field(name="RetryRatio", default=0.2)
    retry_window_s: _Number = msgspec.field(name="RetryWindowS", default=10.0)
    retry_slack: _Number = msgspec.field(name="RetrySlack", default=40.0)
    stall_ms: _Number = 1_500.0
    fenced_orders: bool | _Empty = msgspec.field(name="Fencing", default=False)
    evacuate_ms: _Number = msgspec.field(name="EvacuateMs", default=0.0)
    cold_overage: _Number = msgspec.field(name="ColdOverage", default=1.0)
    cold_slack: _Number = msgspec.field(name="ColdSlack", default=0.0)


class _Limits(msgspec.Struct):
    link_mbps: _Number = msgspec.field(name="LinkMbps", default=0.0)
    memory_mb: _Number = msgspec.field(name="MemoryMb", default=0.0)
    descriptors: _Number = msgspec.field(name="MaxFds", default=0.0)


class _Platform(msgspec.Struct):
    address: str = msgspec.field(name="Address")


class _Settings(msgspec.Struct):
    name: str = msgspec.field(name="NodeName")
    zone: str = msgspec.field(name="Zone")
    listen: _Listen = msgspec.field(name="Listen")
    store: _Platform = msgspec.field(name="Platform")
    port_range: list[Port] | _Empty = msgspec.field(name="PortRange")
    # By data centre, its region.
    zones: dict[str, str] | _Empty = msgspec.field(name="Zones", default=None)
    bounds: _Bounds | _Empty = msgspec.field(name="Bounds", default=None)
    limits: _Limits | _Empty = msgspec.field(name="Limits", default=None)
    heartbeat_ms: _Number = msgspec.field(name="HeartbeatMs", default=1_200.0)
    # Of the whole system, not of this process.
    is_first_start: bool | _Empty = msgspec.field(name="Bootstrap", default=False)


_decode = json_decoder(_Settings)


def load_settings(path: str) -> GatewaySettings:
    """Read the settings file, which the platform fills in as JSON.

    Parameters
    ----------
    path : str

    Raises
    ------
    BadSettingsError
        If the file is missing, a field is missing or of another type, or an address
        cannot be used.

    Notes
    -----
    Numbers out of range are named in ``invalid``.
    """
    try:
        data = Path(path).read_bytes()
        with unreadable_as(BadSettingsError):
            return _settings(_decode(data))
    except (OSError, BadSettingsError) as error:
        raise BadSettingsError(f"{path}: {error}") from error


def _settings(settings: _Settings) -> GatewaySettings:
    _check_listen(settings.listen.callers)
    _check_listen(settings.listen.admin)
    check_port(settings.store.address)
    bounds, invalid_bounds = _within_range(settings.bounds or _Bounds())
    told_limits = _without_negative(settings.limits or _Limits())
    limits, invalid_limits = _within_range(told_limits)
    own, invalid = _within_range(settings)
    return GatewaySettings(
        name=settings.name,
        data_centre=settings.zone,
        callers=settings.listen.callers,
        admin=settings.listen.admin,
        peers_port=settings.port_range[0] if settings.port_range else 0,
        store=settings.store.address,
        stop_grace_ms=int(bounds.grace_s * _SECOND_MS),
        stall_ms=int(bounds.stall_ms),
        drain_ms=int(bounds.drain_ms),
        apply_ms=int(bounds.apply_ms),
        heartbeat_ms=int(own.heartbeat_ms),
        retry_share=bounds.retry_share,
        retry_slack=bounds.retry_slack,
        retry_window_ms=int(bounds.retry_window_s * _SECOND_MS),
        fenced_orders=bool(bounds.fenced_orders),
        is_first_start=bool(settings.is_first_start),
        link_mbps=limits.link_mbps,
        memory_mb=int(limits.memory_mb),
        descriptors=int(limits.descriptors),
        evacuate_ms=int(bounds.evacuate_ms),
        cold_overage=bounds.cold_overage,
        cold_slack=bounds.cold_slack,
        data_centres=frozenset(settings.zones or ()),
        invalid=(*invalid_bounds, *invalid_limits, *invalid),
    )


def _check_listen(address: str) -> None:
    """Check an address of our own, which may stand for all of a machine's."""
    host = check_port(address)
    if host != _ANY_HOST:
        check_ip(host)


def _without_negative(limits: _Limits) -> _Limits:
    """Return limits with negative values replaced by 0, which stands for no limit."""
    negative = {
        name: 0.0
        for name in limits.__struct_fields__
        if getattr(limits, name) not in ("", None) and getattr(limits, name) < 0
    }
    return msgspec.structs.replace(limits, **negative)


def _within_range(section: _Section) -> tuple[_Section, list[str]]:
    """Return a section with defaults for invalid numbers, and what these were.

    Empty values have their defaults, too.
    """
    defaults, invalid = {}, []
    for field in msgspec.structs.fields(section):
        value = getattr(section, field.name)
        if field.type != _Number:
            continue
        lowest, highest = _RANGES.get(field.encode_name, (0, _MAX_NUMBER))
        if value in ("", None):
            defaults[field.name] = field.default
        elif not lowest <= value <= highest:
            defaults[field.name] = field.default
            invalid.append(f"{field.encode_name}={value}")
    return msgspec.structs.replace(section, **defaults), invalid
