"""What the measurements of running processes share: texts, waits, counters."""

import json
import time
from collections.abc import Callable, Iterable

import gevent

from azurefold.border.configuration import parse_configuration
from azurefold_standins.operator import fetch, status
from azurefold_standins.site import Site

__all__ = [
    "configuration",
    "counters",
    "full_raw",
    "known_endpoints",
    "rewrite",
    "table_row",
    "until",
    "until_in_force",
    "until_platform_listens",
]

_POLL_S = 0.05
_PATIENCE_S = 240.0


def configuration(services: int, organisations: int, endpoints: int) -> dict:
    """Return a text with services of which each has its share of endpoints."""
    per_service = max(1, endpoints // services)
    return {
        "services": {
            f"model-{n:02d}": {
                "kind": "model",
                "model": f"model-{n:02d}",
                "data_centres": ["hall"],
                "endpoints": [
                    f"hall-endpoint-{n + services * k:03d}" for k in range(per_service)
                ],
            }
            for n in range(services)
        },
        "organisations": {
            f"organisation-{n:05d}": {
                "share": 1 + n % 4,
                "requests_per_second": 20 + n % 50,
                "tokens_per_second": 5_000,
            }
            for n in range(organisations)
        },
    }


def full_raw(text: dict) -> dict:
    """Return a text as it is accepted, with every default written out."""
    return parse_configuration("bench.jsonc", json.dumps(text)).to_raw()


def rewrite(site: Site, name: str, **changed: object) -> None:
    """Change some of a process's settings."""
    path = site.folder / f"{name}.jsonc"
    site.write(name, {**json.loads(path.read_text("utf-8")), **changed})


def table_row(site: Site, key: str) -> str:
    """Return the value of a row in the platform's table."""
    page = fetch(site.address("platform", "http"), f"/table?key={key}")
    return json.loads(page.body)["rows"][0]["value"]


def counters(site: Site) -> dict[str, int]:
    """Return what the platform's stand-in has counted."""
    return json.loads(fetch(site.address("platform", "http"), "/counters").body)


def known_endpoints(site: Site) -> int:
    """Return how many endpoints the first entry may send requests to."""
    shown = status(site, site.entries[0]).get("services", {})
    return sum(len(service["endpoints"]) for service in shown.values())


def until(condition: Callable[[], object]) -> float:
    """Let other greenlets run until a condition holds; return the seconds."""
    begun = time.monotonic()
    while not condition():
        if time.monotonic() - begun > _PATIENCE_S:
            raise TimeoutError("a process did not get ready; see its log")
        gevent.sleep(_POLL_S)
    return time.monotonic() - begun


def until_platform_listens(site: Site) -> None:
    """Wait until the platform's stand-in answers."""
    until(lambda: fetch(site.address("platform", "http"), "/vms").status)


def until_in_force(site: Site, names: Iterable[str], revision: int) -> float:
    """Return the seconds until all of ``names`` hold a revision."""
    return until(
        lambda: all(status(site, name).get("revision", 0) >= revision for name in names)
    )
