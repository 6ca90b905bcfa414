"""Sections of a configuration, each stored under the hash of its content.

An edit usually changes one service or one organisation, so only one small section
is sent instead of the whole configuration. Organisations are distributed over a
fixed number of chunks by hash: with 8,200 organisations, a chunk holds 32 of them,
about 4 KB.
"""

import hashlib
import json
from collections.abc import Mapping
from typing import Any

__all__ = [
    "ORGANISATION_CHUNKS",
    "Sections",
    "assemble_configuration",
    "canonical_bytes",
    "content_hash",
    "select_services",
    "split_configuration",
]

ORGANISATION_CHUNKS = 256
"""Number of chunks of organisations. Changing it re-sends all of them once."""

_SERVICE = "service"
_ORGANISATIONS = "organisations"

Sections = dict[str, bytes]
"""Canonical content of each section by its name."""


def canonical_bytes(value: Any) -> bytes:
    """Return the canonical JSON encoding of plain JSON values.

    Examples
    --------
    >>> canonical_bytes({"b": 1, "a": "é"}) == b'{"a":"\\xc3\\xa9","b":1}'
    True
    """
    text = json.dumps(
        value,
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
        allow_nan=False,
    )
    return text.encode("utf-8")


def content_hash(data: bytes) -> str:
    """Return the SHA-256 of ``data`` in hexadecimal digits."""
    return hashlib.sha256(data).hexdigest()


def split_configuration(
    raw: Mapping[str, Any], n_chunks: int = ORGANISATION_CHUNKS
) -> Sections:
    """Split the plain JSON values of a configuration into sections.

    Parameters
    ----------
    raw : mapping
        Values with the keys ``services`` and ``organisations``, each by name.
    n_chunks : int, default=256
        Number of chunks over which the organisations are distributed.

    Returns
    -------
    dict of str to bytes
        Content of each section by name; an empty chunk has no section.

    Examples
    --------
    >>> sorted(split_configuration({"services": {"bookings": {}}, "organisations": {}}))
    ['service/bookings']
    """
    sections = {
        f"{_SERVICE}/{name}": canonical_bytes(service)
        for name, service in raw["services"].items()
    }
    chunks: dict[int, dict[str, Any]] = {}
    for name, organisation in raw["organisations"].items():
        chunks.setdefault(_chunk_index(name, n_chunks), {})[name] = organisation
    for index, chunk in chunks.items():
        sections[f"{_ORGANISATIONS}/{index}"] = canonical_bytes(chunk)
    return sections


def assemble_configuration(sections: Mapping[str, bytes]) -> dict[str, Any]:
    """Assemble the plain JSON values of a configuration from its sections.

    Raises
    ------
    ValueError
        If a section has an unknown name or is not JSON.

    Examples
    --------
    >>> raw = {"services": {"a": {"x": 1}}, "organisations": {"o": {}}}
    >>> assemble_configuration(split_configuration(raw)) == raw
    True
    """
    services: dict[str, Any] = {}
    organisations: dict[str, Any] = {}
    for name, data in sections.items():
        kind, _, suffix = name.partition("/")
        if kind == _SERVICE:
            services[suffix] = _loaded(name, data)
        elif kind == _ORGANISATIONS:
            chunk = _loaded(name, data)
            if not isinstance(chunk, dict):
                raise ValueError(f"configuration section {name!r} is no JSON object")
            organisations.update(chunk)
        else:
            raise ValueError(f"unknown configuration section {name!r}")
    return {"services": services, "organisations": organisations}


def _loaded(name: str, data: bytes) -> Any:
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError(f"configuration section {name!r} nests too deeply") from error


def select_services(sections: Mapping[str, bytes]) -> Sections:
    """Return the sections that hold services.

    Examples
    --------
    >>> sorted(select_services({"service/a": b"{}", "organisations/0": b"{}"}))
    ['service/a']
    """
    prefix = f"{_SERVICE}/"
    return {name: data for name, data in sections.items() if name.startswith(prefix)}


def _chunk_index(name: str, n_chunks: int) -> int:
    digest = hashlib.sha256(name.encode("utf-8")).digest()
    return int.from_bytes(digest[:8], "big") % n_chunks
