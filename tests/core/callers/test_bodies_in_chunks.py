"""Chunks are decoded to the same data however they come, and nothing else is."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.callers.chunks import BadChunkError, ChunkDecoder

TRAILER_LIMIT = 200
NEXT = b"GET / HTTP/1.1\r\n"
EXTENSIONS = st.sampled_from([b"", b";a", b";a=b", b' ; a="b c"'])


def encoded(chunks):
    return b"".join(b"%x%b\r\n%b\r\n" % (len(data), ext, data) for data, ext in chunks)


def decode(pieces):
    decoder = ChunkDecoder(TRAILER_LIMIT)
    buffer, data = bytearray(), bytearray()
    for piece in pieces:
        buffer += piece
        decoder.decode(buffer, data)
    return decoder, bytes(data), bytes(buffer)


def cut(whole, draw):
    places = sorted(draw(st.sets(st.integers(0, len(whole)), max_size=30)))
    bounds = [0, *places, len(whole)]
    return [whole[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]


@given(
    st.lists(st.tuples(st.binary(min_size=1, max_size=40), EXTENSIONS), max_size=20),
    st.sampled_from([b"", b"A: b\r\n", b"A: b\r\nC:\r\n"]),
    st.data(),
)
def test_a_body_is_the_same_however_it_is_cut(chunks, trailers, data):
    whole = encoded(chunks) + b"0\r\n" + trailers + b"\r\n" + NEXT
    decoder, body, rest = decode(cut(whole, data.draw))
    assert decoder.is_whole
    assert body == b"".join(each for each, _ in chunks)
    assert rest == NEXT


@pytest.mark.parametrize(
    "data",
    [
        b"x\r\n",
        b"\r\n",
        b"-1\r\n",
        b"+1\r\na\r\n",
        b"0x1\r\na\r\n",
        b"1\na\r\n",
        b"1\r\nab\r\n",
        b"1 2\r\na\r\n",
        b"123456789\r\n",
        b"1;" + b"y" * 5_000 + b"\r\na\r\n",
        b"1;" + b"y" * 5_000,
        b"0\r\nno colon\r\n\r\n",
        b"0\r\nA : b\r\n\r\n",
        b"0\r\nA: " + b"b" * 300,
        b"0\r\n" + b"A: b\r\n" * 100,
    ],
)
def test_what_is_no_chunk_is_refused(data):
    """Guards against a body whose end two programs see in different places."""
    with pytest.raises(BadChunkError):
        decode([data])
    with pytest.raises(BadChunkError):
        decode([bytes([byte]) for byte in data])
