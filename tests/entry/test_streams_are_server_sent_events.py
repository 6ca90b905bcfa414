"""Callers read an answer as server-sent events, each with its place."""

import json

from hypothesis import given
from hypothesis import strategies as st

from azurefold.core.attempts.ids import AnswerId, parse_answer_id
from azurefold.entry.answers import server_sent_events
from azurefold.entry.parts import Announced, Text, Whole

ANSWER = AnswerId("a", "7", "0000000000001-00ff", 0)


@given(st.lists(st.text(min_size=1), max_size=8))
def test_every_text_comes_as_json_with_the_offset_behind_it(texts):
    parts, offset = [Announced(ANSWER)], 0
    for text in texts:
        offset += len(text)
        parts.append(Text(text, offset))
    parts.append(Whole(offset))
    source = (part for part in parts)
    _, *events, last = server_sent_events(source, source)
    assert last == b"data: [DONE]\n\n"
    got, offset = [], 0
    for event in events:
        first, second, *rest = event.decode().split("\n")
        assert rest == ["", ""]
        body = json.loads(second.removeprefix("data: "))
        got.append(body["choices"][0]["text"])
        offset += len(got[-1])
        assert parse_answer_id(first.removeprefix("id: ")).offset == offset
        assert body["id"] == str(ANSWER)
        assert body["object"] == "text_completion"
    assert got == texts
