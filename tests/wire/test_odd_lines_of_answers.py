"""A line of an answer is a frame of use, or refused with one error."""

import pytest
from tests.odd_json import DIGITS, NESTED, ODD_VALUES

from azurefold.entry.channels import Followed
from azurefold.entry.lines import LostError
from azurefold.wire.frames import BadLineError, decode_line, split_number

LINES = ['["f",@,"a"]', '["f",3,@]', '["e",@,"d"]', '["x",@]', '["h",@,"a"]']
LINES += ['["f",3,"a",@]', '["e",3,"d",@]', '["x","r",@]', '["h",200,"a",@]']


@pytest.mark.parametrize("odd", ODD_VALUES, ids=lambda odd: odd[:12])
@pytest.mark.parametrize("line", LINES)
def test_an_odd_line_is_refused_or_of_use(line, odd):
    """Guards against a line that ends the reader of a channel for all its answers."""
    try:
        frame = decode_line("a1", line.replace("@", odd).encode())
    except BadLineError:
        return
    for name in ("offset", "total"):
        assert 0 <= getattr(frame, name, 0) <= 2**53
    assert 100 <= getattr(frame, "status", 200) <= 599


@pytest.mark.parametrize("number", [b"9" * DIGITS, b"\xff", b"", b"x"])
def test_a_number_that_is_none_is_refused(number):
    with pytest.raises(BadLineError):
        split_number(number + b' ["f",3,"a"]\n')


def test_an_odd_line_loses_its_attempt_only():
    followed = Followed("a1", 1)
    followed.put(b'["f",0,"a",' + NESTED.encode() + b"]")
    with pytest.raises(LostError):
        next(followed.lines())
