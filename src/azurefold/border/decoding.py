"""One way to decode what other processes have written, and to refuse it."""

import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from ipaddress import AddressValueError, IPv4Address
from typing import Annotated, TypeVar

import msgspec

__all__ = [
    "LARGEST_COUNT",
    "Count",
    "MillisecondsField",
    "Port",
    "UnreadableError",
    "as_whole_number",
    "check_address",
    "check_ip",
    "check_name",
    "check_port",
    "json_decoder",
    "msgpack_decoder",
    "unreadable_as",
]

LARGEST_COUNT = 2**53
"""Every larger whole number loses digits as a float."""

_LONGEST_MS = 1e12
_HIGHEST_PORT = 65_535
_BROADCAST = IPv4Address("255.255.255.255")
_PORT_DIGITS = 5
_LONGEST_SHOWN = 80
_WHOLE_NUMBER = re.compile(r"-?[0-9]{1,15}")

Count = Annotated[int, msgspec.Meta(ge=0, le=LARGEST_COUNT)]
MillisecondsField = Annotated[float, msgspec.Meta(ge=0, le=_LONGEST_MS)]
Port = Annotated[int, msgspec.Meta(ge=0, le=_HIGHEST_PORT)]
"""0 for none."""

_Kind = TypeVar("_Kind")


class UnreadableError(ValueError):
    """Bytes of another writer that cannot be used; says why."""


@contextmanager
def unreadable_as(kind: type[Exception]) -> Iterator[None]:
    """Raise ``kind`` for whatever decoding and converting raise.

    That is more than the decoder's own errors: deep nesting raises
    :class:`RecursionError`, a number of thousands of digits :class:`ValueError`, and an
    infinite one :class:`OverflowError` where it becomes an integer.
    """
    try:
        yield
    except kind:
        raise
    except (
        msgspec.MsgspecError,
        ArithmeticError,
        LookupError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise kind(str(error) or type(error).__name__) from error


def json_decoder(kind: type[_Kind]) -> Callable[[bytes | str], _Kind]:
    """Return a decoder of JSON that raises only :class:`UnreadableError`."""
    return _guarded(msgspec.json.Decoder(kind).decode)


def msgpack_decoder(kind: type[_Kind]) -> Callable[[bytes], _Kind]:
    """Return a decoder of MessagePack that raises only :class:`UnreadableError`."""
    return _guarded(msgspec.msgpack.Decoder(kind).decode)


def _guarded(decode: Callable[..., _Kind]) -> Callable[..., _Kind]:
    def guarded(data: bytes | str) -> _Kind:
        try:
            return decode(data)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            raise UnreadableError(str(error)) from error

    return guarded


def as_whole_number(text: str, default: int = 0) -> int:
    """Return the whole number in a header, or ``default`` if it holds none.

    Examples
    --------
    >>> as_whole_number("-12"), as_whole_number("--12"), as_whole_number("9" * 300)
    (-12, 0, 0)
    """
    return int(text) if _WHOLE_NUMBER.fullmatch(text) else default


def check_address(text: str) -> str:
    """Return an address ``"ip:port"`` that a connection can be made to.

    Raises
    ------
    UnreadableError
        If it has no IPv4 address of one machine, or no port.

    Examples
    --------
    >>> check_address("10.1.0.40:8227")
    '10.1.0.40:8227'
    """
    check_ip(check_port(text))
    return text


def check_port(text: str) -> str:
    """Return the host of ``"host:port"``, whose port is one to connect to.

    Raises
    ------
    UnreadableError
        If it has no host or no such port.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= _PORT_DIGITS
    if not (host and is_number and 0 < int(port) <= _HIGHEST_PORT):
        raise UnreadableError(f"no port to connect to: {text[:_LONGEST_SHOWN]!r}")
    return host


def check_ip(text: str) -> str:
    """Return the IPv4 address of one machine.

    Raises
    ------
    UnreadableError
        If it is none, or stands for any or several machines.
    """
    try:
        ip = IPv4Address(text)
    except AddressValueError as error:
        raise UnreadableError(f"no address: {text[:_LONGEST_SHOWN]!r}") from error
    if ip.is_unspecified or ip.is_multicast or ip == _BROADCAST:
        raise UnreadableError(f"no address of one machine: {text}")
    return text


def check_name(text: str) -> str:
    """Return a name that can stand in a header.

    Raises
    ------
    UnreadableError
        If it is empty, or has other characters than visible ASCII.

    Examples
    --------
    >>> check_name("i-7f3a91c2")
    'i-7f3a91c2'
    """
    is_visible = text.isascii() and text.isprintable()
    if not text or not is_visible or text != text.strip():
        raise UnreadableError(f"no name: {text[:_LONGEST_SHOWN]!r}")
    return text
