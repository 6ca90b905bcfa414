"""Asking the control processes what they hold."""

from collections.abc import Sequence
from dataclasses import dataclass

import gevent
import msgspec
from geventhttpclient import HTTPClient

from azurefold.border.decoding import Count, UnreadableError, json_decoder
from azurefold.border.settings import OperatorControl
from azurefold.core.clock import Millis
from azurefold.internal.http_client import CONNECTION_ERRORS, http_client

__all__ = ["ControlStatus", "Fleet", "Silent", "fleet"]

_TIMEOUT_MS: Millis = 1_000
_SECOND_MS = 1_000


class ControlStatus(msgspec.Struct, frozen=True):
    """What ``GET /status`` of a control process says; more keys may come.

    Parameters
    ----------
    name, data_centre : str
        Of the process.
    revision : int
        In force there.
    edit_id : str
        Edit that made the revision.
    alarms : tuple of str
        What an operator must look at.
    """

    name: str
    data_centre: str
    revision: Count
    edit_id: str = ""
    alarms: tuple[str, ...] = ()


_decode_status = json_decoder(ControlStatus)


class Silent(msgspec.Struct, frozen=True):
    """A control process that gave no status."""

    name: str
    data_centre: str
    reason: str


@dataclass(frozen=True, slots=True)
class Fleet:
    """The control processes named in the operator's settings."""

    controls: tuple[OperatorControl, ...]

    def statuses(self) -> list[ControlStatus | Silent]:
        """Ask all at the same time; the order is that of the settings."""
        asked = [gevent.spawn(_status, control) for control in self.controls]
        gevent.joinall(asked)
        return [each.value for each in asked]

    def highest_revision(self) -> int:
        """Return the highest revision that anybody holds, or 0."""
        held = [each for each in self.statuses() if isinstance(each, ControlStatus)]
        return max((each.revision for each in held), default=0)


def fleet(controls: Sequence[OperatorControl]) -> Fleet:
    """Return the fleet of ``controls``."""
    return Fleet(tuple(controls))


def _status(control: OperatorControl) -> ControlStatus | Silent:
    client = http_client(control.status, _TIMEOUT_MS, _TIMEOUT_MS, concurrency=1)
    try:
        with gevent.Timeout(_TIMEOUT_MS / _SECOND_MS):
            return _decoded(control, client)
    except gevent.Timeout:
        return Silent(control.name, control.data_centre, "no answer in time")
    except (*CONNECTION_ERRORS, UnreadableError) as error:
        return Silent(control.name, control.data_centre, str(error))
    finally:
        client.close()


def _decoded(control: OperatorControl, client: HTTPClient) -> ControlStatus:
    body = bytes(client.get("/status").read())
    status = _decode_status(body)
    if status.name != control.name:
        # Addresses are given out again to other VMs. Counted as the process
        # that is asked for, a stranger would make an edit look in force there.
        raise UnreadableError(f"this is {status.name!r}")
    return status
