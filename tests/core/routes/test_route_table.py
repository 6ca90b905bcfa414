"""Requests go by host and longest prefix; splits follow their weights."""

import pytest

from azurefold.core.routes.model import AnswerKind, Destination, Route
from azurefold.core.routes.table import build_route_table, choose_service


def route(name, prefix, kind=AnswerKind.IDEMPOTENT, **fields):
    to = fields.pop("to", (Destination(name),))
    return Route(name, "a.example", prefix, kind, to, 800, 400, **fields)


@pytest.fixture
def table():
    return build_route_table(
        [route("lots", "/lots/"), route("recalls", "/lots/recalls/")]
    )


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/lots/7", "lots"),
        ("/lots/recalls/7", "recalls"),
        ("/lots/recalls", "lots"),
        ("/lots/", "lots"),
        ("/lots", None),
        ("/lotsofthings/7", None),
        ("", None),
    ],
)
def test_the_longest_prefix_wins(table, path, name):
    found = table.find("a.example", path)
    assert (found.name if found else None) == name


def test_hosts_do_not_share_routes(table):
    assert table.find("b.example", "/lots/7") is None


def test_weights_divide_the_draws():
    to = (Destination("old", 3), Destination("new", 1))
    split = route("split", "/", to=to)
    drawn = [choose_service(split, number / 100) for number in range(100)]
    assert drawn.count("old") == 75
    assert drawn.count("new") == 25


@pytest.mark.parametrize(
    ("kind", "resumable", "twice"),
    [
        (AnswerKind.IDEMPOTENT, False, True),
        (AnswerKind.NON_IDEMPOTENT, True, False),
        (AnswerKind.STREAMING, False, False),
        (AnswerKind.STREAMING, True, True),
    ],
)
def test_only_idempotent_and_resumable_requests_may_run_twice(kind, resumable, twice):
    assert route("r", "/", kind, is_resumable=resumable).is_safe_to_rerun is twice
