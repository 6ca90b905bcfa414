"""JSON texts that have the right form and hold one value of no use."""

import json

from hypothesis import strategies as st

LEVELS = 20_000
DIGITS = 5_000

NESTED = "[" * LEVELS + "]" * LEVELS
ODD_VALUES = [
    NESTED,
    '{"a":' * LEVELS + "1" + "}" * LEVELS,
    "9" * DIGITS,
    "9" * 300,
    str(2**63),
    str(2**64),
    "-1",
    "1e308",
    "-1e308",
    "1e999",
    "NaN",
    "null",
    "true",
    '""',
    '"\\ud800"',
    '"\\u0000"',
    '"\\u2603"',
    '"a\\r\\nHost: b"',
    '"10.0.0.1:' + "9" * DIGITS + '"',
    '"0.0.0.0:80"',
    '"nowhere.example:80"',
    "[]",
    "{}",
]


def odd_texts(value):
    """Return a strategy of texts of ``value`` with one odd field anywhere."""
    return st.builds(
        lambda text, odd: text.replace("@", odd),
        st.sampled_from(list(_texts_of(value))),
        st.sampled_from(ODD_VALUES),
    )


def _texts_of(value):
    if isinstance(value, dict):
        for name in value:
            for inner in ("@", *_texts_of(value[name])):
                yield _with(value, name, inner)
        yield _with(value, "later", "@")
    if isinstance(value, list):
        for inner in ("@", *(_texts_of(value[0]) if value else ())):
            yield f"[{inner}]"


def _with(value, name, inner):
    fields = {key: json.dumps(each) for key, each in value.items()} | {name: inner}
    return "{" + ",".join(f'"{key}":{text}' for key, text in fields.items()) + "}"
