"""The rank's engine: orders on expert maps and steps, over HTTP."""

from dataclasses import dataclass
from http import HTTPStatus

import gevent
import msgspec
from geventhttpclient import HTTPClient

from azurefold.core.clock import Millis
from azurefold.core.groups.engine import EngineOrder, EngineReply
from azurefold.internal.http_client import CONNECTION_ERRORS, http_client

__all__ = ["EngineFailedError", "RankEngine", "rank_engine"]

_TIMEOUT_MS: Millis = 5_000
_SECOND_MS = 1_000


class EngineFailedError(Exception):
    """The engine gave no answer; the order may have been carried out."""


@dataclass(frozen=True, slots=True)
class RankEngine:
    """Gives orders to one engine."""

    client: HTTPClient

    def give(self, order: EngineOrder) -> EngineReply:
        """Give ``order`` and return the engine's reply.

        Raises
        ------
        EngineFailedError
            If there was none, or one not understood.
        """
        name = type(order).__name__
        body = msgspec.json.encode({"order": name, **msgspec.to_builtins(order)})
        try:
            with gevent.Timeout(_TIMEOUT_MS / _SECOND_MS):
                response = self.client.post("/rank", body=body)
                answer = bytes(response.read())
            if response.status_code != HTTPStatus.OK:
                raise EngineFailedError(f"status {response.status_code}")
            return msgspec.json.decode(answer, type=EngineReply)
        except gevent.Timeout as timeout:
            raise EngineFailedError(f"no answer in {_TIMEOUT_MS} ms") from timeout
        except (*CONNECTION_ERRORS, msgspec.MsgspecError) as error:
            raise EngineFailedError(str(error)) from error


def rank_engine(address: str) -> RankEngine:
    """Return the engine at ``address``."""
    return RankEngine(http_client(address, _TIMEOUT_MS, _TIMEOUT_MS, concurrency=1))
