"""Kinds of fields that several models share."""

import ipaddress
from typing import Annotated, Any

from pydantic import AfterValidator, Field, SecretStr

from azurefold.border.findings import Path, Problem
from azurefold.border.validation import BorderModel

__all__ = ["Address", "Key", "Milliseconds", "Name", "doubled_entries", "part"]

_HIGHEST_PORT = 65_535
_NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
_SHORTEST_SECRET = 16


def _checked_address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError(f"{text!r} has no port")
    if int(port) > _HIGHEST_PORT:
        raise ValueError(f"port {port} is higher than {_HIGHEST_PORT}")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        number = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError(f"{host!r} is not an IP number") from None
    if (number.version == 6) != bracketed:
        raise ValueError(f"{host!r}: brackets belong to IPv6, and only there")
    return text


Address = Annotated[str, AfterValidator(_checked_address)]
"""IP number and port, ``"10.0.0.1:80"`` or ``"[fd00::1]:80"``."""

Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
"""Lower-case letters, digits, dots, dashes and underscores; at most 63."""

Milliseconds = Annotated[int, Field(ge=1, le=86_400_000)]
"""A duration from one millisecond to a day."""


def _checked_secret(secret: SecretStr) -> SecretStr:
    try:
        secret.get_secret_value().encode()
    except UnicodeEncodeError:
        # The error itself holds the secret.
        raise ValueError("the secret contains a lone surrogate") from None
    return secret


class Key(BorderModel):
    """A shared key for orders and datagrams between processes."""

    id: Name = Field(description="a short name of the key, sent beside each seal")
    secret: Annotated[
        SecretStr, Field(min_length=_SHORTEST_SECRET), AfterValidator(_checked_secret)
    ] = Field(description=f"a secret of at least {_SHORTEST_SECRET} characters")

    def secret_bytes(self) -> bytes:
        """Return the secret as the bytes that seals are made with."""
        return self.secret.get_secret_value().encode()


def part(value: Any, *path: str | int, kind: type) -> Any:
    """Return the part of a raw value at ``path``, or an empty ``kind``.

    Cross checks use it to look at values that may have any shape: what has the
    wrong shape is another finding's matter and must not hide theirs.

    Examples
    --------
    >>> part({"services": {"a": 1}}, "services", kind=dict)
    {'a': 1}
    >>> part({"services": 3}, "services", kind=dict)
    {}
    """
    for step in path:
        if not isinstance(value, dict):
            return kind()
        value = value.get(step)
    return value if isinstance(value, kind) else kind()


def doubled_entries(entries: list, path: Path, key: str) -> list[Problem]:
    """Return a problem for each object whose ``key`` stood in the list before."""
    seen: set[str] = set()
    problems = []
    for index, entry in enumerate(entries):
        name = part(entry, key, kind=str)
        if name and name in seen:
            where = (*path, index, key)
            problems.append(Problem(where, f"{name!r} stands twice", "each once"))
        seen.add(name)
    return problems
