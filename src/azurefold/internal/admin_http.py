"""The port of its own on which each process shows its health and metrics."""

from collections.abc import Callable
from dataclasses import dataclass

import falcon
import msgspec
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from azurefold.internal.http_server import TimedServer, http_server
from azurefold.internal.process_limits import ProcessLimits

__all__ = ["AdminViews", "admin_server"]


@dataclass(frozen=True, slots=True)
class AdminViews:
    """What the admin port shows.

    Parameters
    ----------
    registry : CollectorRegistry
    is_ready : callable
        Whether new work should be sent here; false while draining.
    status : callable
        Returns what ``GET /status`` shows as JSON.
    """

    registry: CollectorRegistry
    is_ready: Callable[[], bool]
    status: Callable[[], object]


@dataclass(frozen=True, slots=True)
class _Healthz:
    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        resp.text = "ok\n"
        resp.content_type = falcon.MEDIA_TEXT


@dataclass(frozen=True, slots=True)
class _Readyz:
    views: AdminViews

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        ready = self.views.is_ready()
        resp.status = falcon.HTTP_200 if ready else falcon.HTTP_503
        resp.text = "ready\n" if ready else "not ready\n"
        resp.content_type = falcon.MEDIA_TEXT


@dataclass(frozen=True, slots=True)
class _Metrics:
    views: AdminViews

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        resp.data = generate_latest(self.views.registry)
        resp.content_type = CONTENT_TYPE_LATEST


@dataclass(frozen=True, slots=True)
class _Status:
    views: AdminViews

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        resp.data = msgspec.json.encode(self.views.status())


def admin_server(
    address: str, views: AdminViews, name: str, limits: ProcessLimits
) -> TimedServer:
    """Return the admin server of a process, not yet started."""
    app = falcon.App()
    app.add_route("/healthz", _Healthz())
    app.add_route("/readyz", _Readyz(views))
    app.add_route("/metrics", _Metrics(views))
    app.add_route("/status", _Status(views))
    connections = limits.admin_connections(name)
    return http_server(address, app, name, connections=connections)
