"""Answers that are passed on as their callers read them, and when they give way.

Such an answer keeps its place at an endpoint until it is read. While other requests
wait for a place, callers who hardly read would keep them all.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import gevent
from gevent.greenlet import Greenlet

from azurefold.core.clock import Millis
from azurefold.gateway.callers.calls import AnswerCutOffError

__all__ = ["PassedOnReader", "cut_off_slow_readers"]

_UNREAD_MS: Millis = 500
"""For a piece of some kilobytes, while other requests wait."""


@dataclass(slots=True, eq=False)
class PassedOnReader:
    """The caller of an answer that is passed on.

    Parameters
    ----------
    request, service : str
    greenlet : Greenlet
        Which handles the request.
    waits_since : int or None
        When the caller was given the piece that it has not taken yet.
    """

    request: str
    service: str
    greenlet: Greenlet
    waits_since: Millis | None = None


def cut_off_slow_readers(
    readers: Iterable[PassedOnReader], waiting: dict[str, int], now: Millis
) -> list[str]:
    """Cut off as many slow readers as requests wait for their places.

    Parameters
    ----------
    readers : iterable of PassedOnReader
    waiting : dict of str to int
        Requests that wait for an endpoint, by service.
    now : int

    Returns
    -------
    list of str
        Ids of their requests.
    """
    slow = [
        reader
        for reader in readers
        if reader.waits_since is not None and now - reader.waits_since >= _UNREAD_MS
    ]
    cut_off = []
    for reader in sorted(slow, key=lambda reader: reader.waits_since):
        if waiting.get(reader.service, 0) > 0:
            waiting[reader.service] -= 1
            reader.waits_since = None
            gevent.kill(reader.greenlet, AnswerCutOffError("unread"))
            cut_off.append(reader.request)
    return cut_off
