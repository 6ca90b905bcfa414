"""Tells the entry beside this process what changes."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from azurefold.control.configuration import ConfigurationLoop
from azurefold.control.far import FarEndpoints
from azurefold.control.membership import MembershipLoop
from azurefold.core.clock import Millis
from azurefold.core.configuration.head import NO_HEAD, Head, compute_delta
from azurefold.wire.seal import Opened
from azurefold.wire.snapshot import EndpointInfo, SnapshotUpdate, WatchRequest

__all__ = ["EntryWatch"]

_SECOND_MS = 1_000
_STREAM_MS: Millis = 55_000
_GATHER_MS: Millis = 50
_LOOK_MS: Millis = 1_000


@dataclass(frozen=True, slots=True)
class _Told:
    endpoints: list[EndpointInfo]
    is_partial: bool


@dataclass(slots=True)
class EntryWatch:
    """Yields updates while the entry listens.

    Changes that come together are gathered for a moment: after a rack's
    failure forty endpoints change within a second, and one message each would
    cost forty times as much as one for all.
    """

    configuration: ConfigurationLoop
    membership: MembershipLoop
    far: FarEndpoints
    is_informed: Callable[[], bool] = lambda: True
    _closed: Event = field(default_factory=Event)

    def close(self) -> None:
        """End all streams, so that the process can stop."""
        self._closed.set()

    def handle(self, request: WatchRequest, sender: Opened) -> Iterator[SnapshotUpdate]:
        """Yield what is new, now and later."""
        held = self.configuration.recent_head(request.revision, request.edit_id)
        revision = request.revision
        told: _Told | None = None
        left = _STREAM_MS
        while left > 0 and not self._closed.is_set():
            present = self._present()
            head = self.configuration.follower.head
            if head.revision > revision:
                yield self._news(held, head, present.endpoints, present.is_partial)
                held, revision, told = head, head.revision, present
            elif present != told:
                yield SnapshotUpdate(
                    revision,
                    endpoints=present.endpoints,
                    is_partial=present.is_partial,
                )
                told = present
            left -= _LOOK_MS
            self._wait()

    def _present(self) -> _Told:
        # A control process that has just started knows few endpoints or none.
        # Were its list taken for the whole, an entry that serves well would
        # refuse everything until all endpoints have reported here. So it says
        # that its list may lack some, and the entry keeps what it had besides.
        endpoints = self.membership.endpoints() + self.far.endpoints
        return _Told(endpoints, is_partial=not self.is_informed())

    def _news(
        self,
        held: Head | None,
        head: Head,
        endpoints: list[EndpointInfo],
        is_partial: bool = False,
    ) -> SnapshotUpdate:
        """Return what turns ``held`` into ``head``: all of it if that is unknown."""
        delta = compute_delta(held or NO_HEAD, head)
        contents = self.configuration.follower.sections
        return SnapshotUpdate(
            revision=head.revision,
            edit_id=head.edit_id,
            sections={name: contents[name] for name in delta.changed},
            removed=delta.removed,
            is_whole=held is None,
            endpoints=endpoints,
            is_partial=is_partial,
        )

    def _wait(self) -> None:
        changes = (self.configuration.changed, self.membership.changed)
        gevent.wait((*changes, self._closed), timeout=_LOOK_MS / _SECOND_MS, count=1)
        gevent.sleep(_GATHER_MS / _SECOND_MS)
