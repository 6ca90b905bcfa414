"""Routes match by host and longest prefix, and services are chosen by weight."""

import pytest

from azurefold.core.routes.model import AnswerKind, Destination, Route
from azurefold.core.routes.table import build_route_table, choose_service


def make_route(name, prefix, kind=AnswerKind.IDEMPOTENT, **fields):
    destinations = fields.pop("to", (Destination(name),))
    return Route(name, "a.example", prefix, kind, destinations, 800, 400, **fields)


@pytest.fixture
def table():
    return build_route_table(
        [make_route("lots", "/lots/"), make_route("recalls", "/lots/recalls/")]
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
def test_longest_prefix_matches(table, path, name):
    route = table.find("a.example", path)
    assert (route.name if route else None) == name


def test_hosts_do_not_share_routes(table):
    assert table.find("b.example", "/lots/7") is None


def test_services_are_chosen_by_weight():
    destinations = (Destination("old", 3), Destination("new", 1))
    route = make_route("split", "/", to=destinations)
    services = [choose_service(route, number / 100) for number in range(100)]
    assert services.count("old") == 75
    assert services.count("new") == 25


@pytest.mark.parametrize(
    ("kind", "is_resumable", "is_safe"),
    [
        (AnswerKind.IDEMPOTENT, False, True),
        (AnswerKind.NON_IDEMPOTENT, True, False),
        (AnswerKind.STREAMING, False, False),
        (AnswerKind.STREAMING, True, True),
    ],
)
def test_only_idempotent_and_resumable_requests_are_safe_to_rerun(
    kind, is_resumable, is_safe
):
    assert (
        make_route("r", "/", kind, is_resumable=is_resumable).is_safe_to_rerun
        is is_safe
    )


def test_a_path_of_slashes_costs_no_more_than_the_longest_prefix(table, monkeypatch):
    """Guards against a search that takes the square of a path's length."""
    tried = []

    def list_prefixes(path):
        tried.append(path)
        return iter(())

    monkeypatch.setattr("azurefold.core.routes.table._list_prefixes", list_prefixes)
    table.find("a.example", "/" * 16_000)
    assert [len(path) for path in tried] == [len("/lots/recalls/")]
