"""Reports, counts and orders of the ranks of a model group."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated, TypeVar

import gevent
import msgspec
from geventhttpclient import HTTPClient

from azurefold.border.decoding import (
    LARGEST_COUNT,
    Count,
    UnreadableError,
    json_decoder,
)
from azurefold.core.balance.placement import Placement
from azurefold.core.clock import Millis
from azurefold.core.groups.map_orders import (
    ORDER_RETRY_MS,
    Arm,
    Disarm,
    Hold,
    Prepare,
    RankOrder,
    RankView,
    Release,
    Verdict,
)
from azurefold.core.groups.sampled_popularity import CountSample
from azurefold.internal.http_client import CONNECTION_ERRORS, http_client, read_body

__all__ = ["HeldExperts", "RankClient", "RankReport", "rank_client"]

_CALL_TIMEOUT_MS: Millis = 400
"""An answer takes some 5 ms, that to a map of 72 ranks on a slow link 200."""

_LARGEST_ANSWER_BYTES = 1_048_576
"""Counts and maps of a rank have some ten kilobytes."""

_MAX_RANKS = 65_536
_MAX_ACTIVE_REQUESTS = 1_000_000
"""Far above what one rank runs; sums and shares of them still fit into messages."""

_SECOND_MS = 1_000
_OPEN = "open"


@dataclass(frozen=True, slots=True)
class RankReport:
    """A rank's report, with the group that it belongs to.

    Parameters
    ----------
    group : str
    size : int
    view : RankView
    born : int
        When the rank started, in Unix milliseconds; 0 if it does not say.
    """

    group: str
    size: int
    view: RankView
    born: int = 0


@dataclass(frozen=True, slots=True)
class HeldExperts:
    """Experts that one rank holds under the map in force, by layer."""

    version: int
    layers: tuple[tuple[int, ...], ...]


class _Group(msgspec.Struct):
    name: str = msgspec.field(name="Name", default="")
    epoch: Count = 0
    rank: Count = 0
    state: str = msgspec.field(name="State", default="")


class _Report(msgspec.Struct):
    group: _Group | None = None
    size: Annotated[int, msgspec.Meta(ge=0, le=_MAX_RANKS)] = 0
    step: Count = 0
    active: Annotated[int, msgspec.Meta(ge=0, le=_MAX_ACTIVE_REQUESTS)] = msgspec.field(
        name="Active", default=0
    )
    pace: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    # A version, although elsewhere a field of this name holds experts.
    version: Count = msgspec.field(name="ExpertMap", default=0)
    prepared: Count | None = msgspec.field(name="Prepared", default=None)
    armed: object = msgspec.field(name="Armed", default=None)
    held: object = None
    born: Count = 0


class _Picked(msgspec.Struct):
    epoch: Count
    step: Count = 0
    counts: list[Count] = msgspec.field(name="Counts", default_factory=list)


class _Map(msgspec.Struct):
    version: Count = msgspec.field(name="Version", default=0)
    experts: list[list[Count]] = msgspec.field(name="Experts", default_factory=list)


class _Lists(msgspec.Struct):
    in_force: _Map = msgspec.field(name="ExpertMap")


_Answer = TypeVar("_Answer")
_decode_report = json_decoder(_Report)
_decode_counts = json_decoder(_Picked)
_decode_lists = json_decoder(_Lists)


class RankClient:
    """Calls to one rank; made by :func:`rank_client`."""

    def __init__(self, endpoint: str, client: HTTPClient) -> None:
        self.endpoint = endpoint
        self._client = client

    def report(self) -> RankReport | None:
        """Return the rank's report; None if there was no answer of use."""
        read = self._decoded("/report", _decode_report)
        if read is None or read.group is None:
            return None
        group = read.group
        if group.rank >= read.size:
            return None
        view = RankView(
            rank=group.rank,
            epoch=group.epoch,
            is_running=group.state == _OPEN,
            step=read.step,
            version=read.version,
            prepared_version=read.prepared,
            armed_version=_number(read.armed, "Version"),
            held_step=_number(read.held, "step"),
            active_requests=read.active,
            slowdown=read.pace,
        )
        return RankReport(group.name, read.size, view, read.born)

    def counts(self, n_layers: int, n_experts: int) -> tuple[CountSample, int] | None:
        """Return the rank's counts and the last pass that was begun.

        None if they are not those of ``n_experts`` in each of ``n_layers``.
        """
        read = self._decoded("/picked", _decode_counts)
        if read is None or not read.counts:
            return None
        if len(read.counts) != n_layers * n_experts:
            return None
        layers = tuple(
            tuple(read.counts[start : start + n_experts])
            for start in range(0, n_layers * n_experts, n_experts)
        )
        return CountSample(self.endpoint, read.epoch, layers), read.step

    def held_experts(self) -> HeldExperts | None:
        """Return which experts the rank holds."""
        read = self._decoded("/picked?Lists=1", _decode_lists)
        if read is None:
            return None
        in_force = read.in_force
        return HeldExperts(in_force.version, tuple(map(tuple, in_force.experts)))

    def give(
        self,
        order: RankOrder,
        epoch: int,
        placements: tuple[Placement, ...] = (),
        timeout_ms: Millis = ORDER_RETRY_MS,
    ) -> Verdict:
        """Give an order and return what came of it."""
        body = msgspec.json.encode(_order(order, epoch, placements))
        answer = self._ask("POST", "/order", body, timeout_ms)
        if answer is None:
            return Verdict.LOST
        status = answer[0]
        if status in (HTTPStatus.OK, HTTPStatus.ACCEPTED):
            return Verdict.ACCEPTED
        if status in (HTTPStatus.CONFLICT, HTTPStatus.PRECONDITION_FAILED):
            return Verdict.REFUSED
        return Verdict.LOST

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    def _decoded(self, uri: str, decode: Callable[[bytes], _Answer]) -> _Answer | None:
        answer = self._ask("GET", uri, b"")
        if answer is None or answer[0] != HTTPStatus.OK:
            return None
        try:
            return decode(answer[1])
        except UnreadableError:
            return None

    def _ask(
        self,
        method: str,
        uri: str,
        body: bytes,
        timeout_ms: Millis = _CALL_TIMEOUT_MS,
    ) -> tuple[int, bytes] | None:
        headers = {"Expect-Instance": self.endpoint}
        if body:
            headers["Content-Type"] = "application/json"
        try:
            with gevent.Timeout(timeout_ms / _SECOND_MS, TimeoutError("silent")):
                response = self._client.request(method, uri, body, headers)
                answer = read_body(response, _LARGEST_ANSWER_BYTES)
                return response.status_code, answer
        except CONNECTION_ERRORS:
            return None


def rank_client(endpoint: str, address: str) -> RankClient:
    """Return a client of the rank at ``address``."""
    client = http_client(
        address,
        _CALL_TIMEOUT_MS,
        _CALL_TIMEOUT_MS,
        concurrency=2,
        most_unread=2 * _LARGEST_ANSWER_BYTES,
    )
    return RankClient(endpoint, client)


def _order(
    order: RankOrder, epoch: int, placements: tuple[Placement, ...]
) -> dict[str, object]:
    match order:
        case Prepare(version=version):
            experts = [[list(rank) for rank in p.ranks] for p in placements]
            body = {"Op": "prepare", "Version": version, "ExpertMap": experts}
        case Hold(step=step):
            body = {"Op": "Hold", "step": step}
        case Arm(version=version, step=step):
            body = {"Op": "arm", "Version": version, "step": step}
        case Disarm(version=version):
            body = {"Op": "disarm", "Version": version}
        case Release(step=step):
            body = {"Op": "go", "step": step}
    return body | {"epoch": epoch}


def _number(value: object, name: str) -> int | None:
    """Return a number that comes bare or under a name beside others."""
    if isinstance(value, dict):
        value = value.get(name)
    is_number = isinstance(value, int) and 0 <= value <= LARGEST_COUNT
    return value if is_number else None
