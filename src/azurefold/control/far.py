"""Endpoints of other data centres, for services that have none here.

A data centre's directory is its own; gossip does not cross. But a service may
have endpoints in one data centre only, and callers come in everywhere. So a
control process that lacks endpoints of some service asks one process of each
other data centre for its list, by digest, and only while it lacks them.
"""

import logging
import random
from dataclasses import dataclass, field
from zlib import crc32

import gevent
import msgspec

from azurefold.control.configuration import ConfigurationLoop
from azurefold.control.membership import MembershipLoop
from azurefold.control.peers import Peers
from azurefold.control.services import configured_services
from azurefold.core.clock import Millis
from azurefold.internal.logs import log_event
from azurefold.wire.grpc_caller import CallError
from azurefold.wire.seal import Opened
from azurefold.wire.snapshot import (
    METHOD_GET_ENDPOINTS,
    EndpointInfo,
    EndpointsReply,
    GetEndpoints,
    LocateReply,
    LocateRequest,
)

__all__ = ["FarEndpoints"]

_log = logging.getLogger("azurefold.control")

_SECOND_MS = 1_000
_ASK_MS: Millis = 2_000
_TIMEOUT_MS: Millis = 1_000
_FAILURES_BORNE = 3


@dataclass(slots=True)
class _View:
    digest: int = 0
    endpoints: list[EndpointInfo] = field(default_factory=list)
    failures: int = 0


@dataclass(slots=True)
class FarEndpoints:
    """What one control process knows of other data centres' endpoints."""

    peers: Peers
    membership: MembershipLoop
    configuration: ConfigurationLoop
    draw: random.Random
    _views: dict[str, _View] = field(default_factory=dict)
    _needed: frozenset[str] = frozenset()
    _needed_at: tuple[int, int] = (-1, -1)

    @property
    def endpoints(self) -> list[EndpointInfo]:
        """Far endpoints of services that have none here.

        A data centre that did not answer a few times in a row is left out:
        it is cut off, and requests sent there would only run into timeouts.
        """
        return [
            endpoint
            for view in self._views.values()
            if view.failures < _FAILURES_BORNE
            for endpoint in view.endpoints
            if endpoint.name in self._needed
        ]

    def run(self) -> None:
        """Ask for ever, as long as something is lacking here."""
        while True:
            pause = _ASK_MS * (0.5 + self.draw.random()) / _SECOND_MS
            # At once after a change of the configuration: callers of a service
            # that is new here would else be refused until the next look.
            gevent.wait((self.configuration.changed,), timeout=pause)
            self._refresh_needed()
            if self._needed:
                self._ask_all()

    def give_endpoints(self, request: GetEndpoints, sender: Opened) -> EndpointsReply:
        """Answer a control process of another data centre."""
        present = self.membership.endpoints()
        digest = crc32(msgspec.msgpack.encode(present)) + 1
        if digest == request.digest:
            return EndpointsReply(digest)
        return EndpointsReply(digest, present)

    def locate(self, request: LocateRequest, sender: Opened) -> LocateReply:
        """Find an endpoint by name, here or in other data centres."""
        for endpoint in self.membership.endpoints():
            if endpoint.name == request.endpoint:
                return LocateReply(endpoint)
        for view in self._views.values():
            for endpoint in view.endpoints:
                if endpoint.name == request.endpoint and not view.failures:
                    return LocateReply(endpoint)
        return self._locate_far(request.endpoint)

    def _locate_far(self, name: str) -> LocateReply:
        asked = [
            gevent.spawn(self._ask, data_centre)
            for data_centre in self.peers.far_data_centres
        ]
        gevent.joinall(asked)
        for view in self._views.values():
            for endpoint in view.endpoints:
                if endpoint.name == name and not view.failures:
                    return LocateReply(endpoint)
        return LocateReply()

    def _ask_all(self) -> None:
        before = self.endpoints
        for data_centre in self.peers.far_data_centres:
            self._ask(data_centre)
        if self.endpoints != before:
            self.membership.changed.set()
            self.membership.changed.clear()

    def _ask(self, data_centre: str) -> None:
        view = self._views.setdefault(data_centre, _View())
        name = self.draw.choice(self.peers.far_data_centres[data_centre])
        request = GetEndpoints(view.digest)
        try:
            reply = self.peers.caller(name).call(
                METHOD_GET_ENDPOINTS, request, EndpointsReply, _TIMEOUT_MS
            )
        except CallError as error:
            view.failures += 1
            log_event(_log, "far_unreachable", peer=name, why=error.failure)
            return
        view.failures = 0
        view.digest = reply.digest
        if reply.endpoints is not None:
            view.endpoints = [_as_far(endpoint) for endpoint in reply.endpoints]

    def _refresh_needed(self) -> None:
        state = (self.configuration.revision, self.membership.directory.revision)
        if state == self._needed_at or not self.configuration.revision:
            return
        self._needed_at = state
        # Unless it is caught, a revision of a newer version ends this loop: one
        # sees services without endpoints here refused until a restart.
        try:
            services = configured_services(self.configuration.follower.sections)
        except ValueError as error:
            log_event(_log, "configuration_not_used", logging.ERROR, why=error)
            return
        here = {e.name for e in self.membership.endpoints() if not e.leaving}
        self._needed = frozenset(
            name
            for service in services.values()
            if here.isdisjoint(service.endpoints)
            for name in service.endpoints
        )


def _as_far(endpoint: EndpointInfo) -> EndpointInfo:
    return EndpointInfo(
        endpoint.name,
        endpoint.incarnation,
        endpoint.address,
        endpoint.leaving,
        far=True,
    )
