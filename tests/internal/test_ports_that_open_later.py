"""What a start waits for, and what ends it."""

import errno

import pytest
from gevent.event import Event

from azurefold.internal.ports import open_when_free


def opener(*numbers):
    """Return what raises each of these errors in turn and then succeeds."""
    errors = list(numbers)

    def open_port():
        if errors:
            raise OSError(errors.pop(0), "in the way")

    return open_port


@pytest.mark.parametrize("number", [errno.EADDRINUSE, errno.EADDRNOTAVAIL])
def test_a_port_is_opened_as_soon_as_it_can_be(number, caplog):
    """Guards against a process that ends while its address is not up yet."""
    assert open_when_free(opener(number, number), "10.0.0.1:80", "callers", Event())
    assert f"why={errno.errorcode[number]}" in caplog.text


def test_another_error_ends_the_start():
    with pytest.raises(PermissionError):
        open_when_free(opener(errno.EACCES), "10.0.0.1:80", "callers", Event())


def test_a_stop_ends_the_wait():
    stop = Event()
    stop.set()
    assert not open_when_free(opener(errno.EADDRINUSE), "10.0.0.1:80", "callers", stop)
