"""The rank's engine: orders on expert maps and steps, over HTTP."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar

import gevent
import msgspec
from geventhttpclient import HTTPClient

from azurefold.border.decoding import UnreadableError, unreadable_as
from azurefold.core.clock import Millis
from azurefold.core.groups.engine import EngineOrder, EngineReply
from azurefold.core.groups.popularity import RankReport
from azurefold.internal.http_client import CONNECTION_ERRORS, http_client
from azurefold.wire.group_maps import map_id_of

__all__ = ["EngineFailedError", "RankEngine", "rank_engine"]

_TIMEOUT_MS: Millis = 5_000
_SECOND_MS = 1_000
_CONNECTIONS = 2
"""One for orders and one for reports, so that neither waits for the other."""

_Answer = TypeVar("_Answer")


class _Stored(msgspec.Struct):
    map_id: str


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
        return self._ask("POST", "/rank", body, EngineReply)

    def experts(self) -> RankReport:
        """Return what the engine reports of its experts.

        Raises
        ------
        EngineFailedError
            If there was no report, or one not understood.
        """
        return self._ask("GET", "/experts", b"", RankReport)

    def put_map(self, content: bytes) -> None:
        """Give the engine the content of a map.

        Raises
        ------
        EngineFailedError
            If it did not confirm the map's id.
        """
        stored = self._ask("POST", "/maps", content, _Stored)
        if stored.map_id != map_id_of(content):
            raise EngineFailedError(f"stored as {stored.map_id}")

    def _ask(self, method: str, path: str, body: bytes, kind: type[_Answer]) -> _Answer:
        try:
            with gevent.Timeout(_TIMEOUT_MS / _SECOND_MS):
                response = self.client.request(method, path, body)
                answer = bytes(response.read())
            if response.status_code != HTTPStatus.OK:
                raise EngineFailedError(f"status {response.status_code}")
            with unreadable_as(UnreadableError):
                decoded = msgspec.json.decode(answer, type=kind)
                # Numbers that fit into no message between processes are of no use.
                msgspec.msgpack.encode(decoded)
                return decoded
        except gevent.Timeout as timeout:
            raise EngineFailedError(f"no answer in {_TIMEOUT_MS} ms") from timeout
        except (*CONNECTION_ERRORS, UnreadableError) as error:
            raise EngineFailedError(str(error)) from error


def rank_engine(address: str) -> RankEngine:
    """Return the engine at ``address``."""
    return RankEngine(
        http_client(address, _TIMEOUT_MS, _TIMEOUT_MS, concurrency=_CONNECTIONS)
    )
