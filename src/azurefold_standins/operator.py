"""An operator of a test site: accepts configurations and watches processes."""

import json
import uuid
from collections.abc import Iterable
from dataclasses import dataclass

from geventhttpclient import HTTPClient

from azurefold.border.configuration import parse_configuration
from azurefold.core.configuration.acceptance import WriteSucceeded
from azurefold.core.configuration.head import Head, build_next_head
from azurefold.core.configuration.sections import content_hash, split_configuration
from azurefold.internal.http_client import CONNECTION_ERRORS
from azurefold.internal.http_server import split_address
from azurefold.site_store.client import platform_client
from azurefold.site_store.configuration_store import (
    Base,
    ConfigurationStore,
    configuration_store,
)
from azurefold_standins.processes import wait_until
from azurefold_standins.site import Site

__all__ = ["Page", "accept", "accepted_head", "fetch", "status", "wait_ready"]

_TIMEOUT_S = 10.0
_TIMEOUT_MS = 5_000


@dataclass(frozen=True, slots=True)
class Page:
    """An answer to a plain GET; status 0 where none came."""

    status: int
    body: bytes = b""


def fetch(address: str, path: str, method: str = "GET", body: bytes = b"") -> Page:
    """Send one request to a process."""
    host, port = split_address(address)
    client = HTTPClient(
        host, port, connection_timeout=_TIMEOUT_S, network_timeout=_TIMEOUT_S
    )
    try:
        response = client.request(method, path, body)
        return Page(response.status_code, bytes(response.read()))
    except CONNECTION_ERRORS:
        return Page(0)
    finally:
        client.close()


def status(site: Site, name: str) -> dict:
    """Return a process's ``/status``, empty where it does not answer."""
    page = fetch(site.address(name, "metrics"), "/status")
    return json.loads(page.body) if page.status == 200 else {}


def accept(site: Site, configuration: dict) -> int:
    """Have a configuration accepted, and return its revision."""
    model = parse_configuration("site.jsonc", json.dumps(configuration))
    contents = split_configuration(model.to_raw())
    store = _store(site)
    wait_until(lambda: isinstance(store.read_base(), Base), "the platform answers")
    base = store.read_base()
    if store.put_contents(list(contents.values())) is not None:
        raise RuntimeError("the platform did not take the configuration")
    hashes = {name: content_hash(data) for name, data in contents.items()}
    head = build_next_head(base.head, uuid.uuid4().hex, hashes)
    if not isinstance(store.submit(head, base.version), WriteSucceeded):
        raise RuntimeError("the configuration was not accepted")
    return head.revision


def accepted_head(site: Site) -> Head | None:
    """Return the head that the platform shows, None while it does not answer."""
    base = _store(site).read_base()
    return base.head if isinstance(base, Base) else None


def _store(site: Site) -> ConfigurationStore:
    address = site.address("platform", "http")
    return configuration_store(platform_client(address, _TIMEOUT_MS))


def wait_ready(site: Site, names: Iterable[str] = ()) -> None:
    """Wait until entries know their configuration and all endpoints near them."""
    for name in names or site.entries:
        wait_until(lambda name=name: _is_ready(site, name), f"{name} is ready")


def _is_ready(site: Site, name: str) -> bool:
    shown = status(site, name)
    known = {
        endpoint
        for service in shown.get("services", {}).values()
        for endpoint in service["endpoints"]
    }
    near = site.data_centre_of(name)
    wanted = {e.name for e in site.layout.endpoints if e.data_centre == near}
    return wanted <= known and shown.get("revision", 0) > 0
