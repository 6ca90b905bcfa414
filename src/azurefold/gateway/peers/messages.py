"""What gateways tell one another."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from azurefold.border.decoding import LARGEST_COUNT, Count, Port
from azurefold.core.routing.rank_groups import GroupStatus, Standing

__all__ = [
    "Coordination",
    "CrashBeat",
    "ExtendedPeerMessage",
    "GroupBeat",
    "PeerMessage",
    "PermitAsk",
    "PermitGrant",
    "PermitMessage",
    "QuotaBeat",
    "TableBeat",
    "WaitingBeat",
]


_Mark = Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
_PartId = Annotated[int, msgspec.Meta(ge=0)]
"""The format has no number above 64 bits."""
_Age = Annotated[int, msgspec.Meta(ge=-LARGEST_COUNT, le=LARGEST_COUNT)]
"""Of what a gateway with a clock that is ahead tells, it may be negative."""

_Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class GroupBeat(msgspec.Struct, array_like=True, frozen=True):
    """The coordinator's news of one group, as it is sent.

    Parameters
    ----------
    service, group : int
        Marks of their names.
    epoch, standing : int
    ranks : tuple of int
        Marks of its endpoints.
    running : int or None
        Hundredths of a request that each of all its ranks runs, on average.
    """

    service: _Mark
    group: _Mark
    epoch: Count
    standing: Standing
    ranks: tuple[_Mark, ...]
    running: Count | None = None


class QuotaBeat(msgspec.Struct, array_like=True, frozen=True):
    """What an endpoint in need said of its quota, as it is sent.

    Parameters
    ----------
    endpoint : int
        Mark of its name.
    rate : float or None
        Requests a second from all gateways; None if it names no quota any more.
    age : int
        Milliseconds from when the endpoint said so until the message was sent.
    """

    endpoint: _Mark
    rate: _Rate | None
    age: _Age


class CrashBeat(msgspec.Struct, array_like=True, frozen=True):
    """The crash report of one request or part of prompts, as it is sent.

    Parameters
    ----------
    identity : int
        Identity of the request, or the part's id.
    answered : int or None
        Milliseconds since the last known answer.
    crashes : tuple of (int, int)
        Mark of the endpoint's incarnation and milliseconds since the crash, each.
    """

    identity: _PartId
    answered: _Age | None
    crashes: tuple[tuple[_Mark, _Age], ...]


class TableBeat(msgspec.Struct, array_like=True, frozen=True):
    """What a gateway knows of one table of the store, as it is sent.

    Parameters
    ----------
    era, newest : int
        Of the store, and version of the table's newest change.
    as_of : int
        Milliseconds of the store's time at which there was nothing newer.
    is_exact : bool
        Whether ``newest`` is the version of a change; else it may be a later one.
    answered_since : int or None
        Store's time since which all of the gateway's calls were answered.
    departed : tuple of int
        Marks of endpoints that left, as the gateway remembers, whose entries an older
        copy of the store has brought back.
    """

    era: Count
    newest: Count
    as_of: Count
    is_exact: bool
    answered_since: Count | None
    departed: tuple[_Mark, ...] = ()


class WaitingBeat(msgspec.Struct, array_like=True, frozen=True):
    """Requests that wait at one gateway for a service's endpoints, as it is sent.

    Parameters
    ----------
    service : int
        Mark of its name.
    waiting : tuple of int
        Number of waiting requests by class, the most urgent class first.
    """

    service: _Mark
    waiting: tuple[Count, ...]


class PermitAsk(msgspec.Struct, array_like=True, frozen=True):
    """A request for permits to send to cold endpoints of one service, as it is sent.

    Parameters
    ----------
    service : int
        Mark of its name.
    asked_at : int
        Time on the asking gateway's own clock, which the grant repeats.
    number : int
        Of permits.
    urgency : int
        Class of the most urgent request that waits; 0 is the most urgent.
    endpoints : tuple of int
        Marks of the endpoints that the gateway can use.
    """

    service: _Mark
    asked_at: Count
    number: Count
    urgency: Count
    endpoints: tuple[_Mark, ...]


class PermitGrant(msgspec.Struct, array_like=True, frozen=True):
    """The answer to a :class:`PermitAsk`, as it is sent.

    Parameters
    ----------
    service : int
        Mark of its name.
    asked_at : int
        Repeated from the ask. The permits are valid for a fixed time from then on.
    wait_ms : int
        After which to ask for the permits that are missing.
    permits : dict of int to int
        Numbers of permits by endpoint.
    """

    service: _Mark
    asked_at: Count
    wait_ms: Count
    permits: dict[_Mark, Count]


class PermitMessage(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """What gateways tell each other of permits for cold endpoints.

    It is a message of its own, because asks and grants are answered at once and must
    not carry the loads each time. Its first field, a number, tells it from a
    :class:`PeerMessage`, which begins with a name.

    Parameters
    ----------
    node : str
    port : int
        Where the sender takes answers.
    lease : tuple of (int, int or None) or None
        Version and era of the row, if the sender has just written it as the grantor.
    asks : tuple of PermitAsk
        To the receiver, which is the grantor.
    grants : tuple of PermitGrant
        To the receiver, from the grantor.
    """

    node: str
    port: Port
    lease: tuple[Count, Count | None] | None = None
    asks: tuple[PermitAsk, ...] = ()
    grants: tuple[PermitGrant, ...] = ()


class PeerMessage(msgspec.Struct, array_like=True, frozen=True):
    """What one gateway tells the others.

    Parameters
    ----------
    node : str
    incarnation, sequence : int
    port : int
        Where the sender takes answers.
    version, endpoints_version : int
        Of the configuration that it has in force, and of the newest endpoint's
        row; the latter is read by gateways of earlier releases.
    term, ended_term : int
        Of its coordination, and of one that it gave up; 0 for none.
    groups : tuple of GroupBeat
        What the coordinator tells of some of the groups; of the others next time.
    loads : dict of int to int
        Requests in flight by endpoint.
    is_changing : bool
        Whether the sender is changing a group's map.
    quotas : tuple of QuotaBeat
        Of some endpoints; of the others next time.
    has_callers : bool
        Whether the sender has had requests lately.
    is_waiting : bool
        Whether requests wait there for a place at an endpoint.
    crashes : tuple of CrashBeat
        Crash reports of some requests; others follow in later messages.
    configuration, endpoints : TableBeat or None
        What the sender knows of the store's two tables.
    sent_at : int or None
        Store's time when it was sent; None if the sender does not know that. The ages
        in the message are as of then.
    parts : tuple of CrashBeat
        Crash reports of some parts of prompts; others follow in later messages.
    trials : tuple of (int, int)
        Group of suspects for which the sender has sent a trial, and milliseconds since.
    turned_away : int
        Requests that the sender refused in the last second because quotas are used up.
    """

    node: str
    incarnation: Count
    sequence: Count
    port: Port
    version: Count
    endpoints_version: Count
    term: Count
    ended_term: Count
    groups: tuple[GroupBeat, ...]
    loads: dict[_Mark, Count]
    is_changing: bool = False
    quotas: tuple[QuotaBeat, ...] = ()
    has_callers: bool = False
    is_waiting: bool = False
    crashes: tuple[CrashBeat, ...] = ()
    configuration: TableBeat | None = None
    endpoints: TableBeat | None = None
    sent_at: Count | None = None
    parts: tuple[CrashBeat, ...] = ()
    trials: tuple[tuple[_PartId, _Age], ...] = ()
    turned_away: Count = 0


class ExtendedPeerMessage(PeerMessage, array_like=True, frozen=True):
    """A message with fields that only some deployments need.

    Gateways send a :class:`PeerMessage` where all of these are empty, so that it takes
    no more bytes, and read both as this class.

    Parameters
    ----------
    waiting : tuple of WaitingBeat
        Of services with three or more priority classes.
    """

    waiting: tuple[WaitingBeat, ...] = ()


@dataclass(frozen=True, slots=True)
class Coordination:
    """What a gateway tells of its coordination of groups.

    Parameters
    ----------
    term, ended_term : int
        Of its coordination, and of one that it gave up; 0 for none.
    groups : tuple of GroupStatus
        What it knows of the groups.
    is_changing : bool
        Whether a change of a map is under way.
    """

    term: int = 0
    ended_term: int = 0
    groups: tuple[GroupStatus, ...] = ()
    is_changing: bool = False

    @property
    def is_repeated(self) -> bool:
        """Whether all gateways need to hear of it again and again."""
        return self.term != 0 or self.ended_term != 0
