"""The settings file that the platform gives a gateway."""

import json

import pytest

from azurefold.platform.settings import BadSettingsError, load_settings

FILE = {
    "NodeName": "edge-1",
    "Zone": "dc-a",
    "Listen": {"Frontend": "10.1.0.40:8227", "Ready": "10.1.0.40:8220"},
    "PortRange": [7340, 7355],
    "Platform": {"Address": "10.200.1.7:8223"},
    "HeartbeatMs": 1200,
    "Bounds": {
        "GraceS": 8,
        "DrainMs": 4000,
        "RetryRatio": 0.2,
        "RetryWindowS": 10,
        "RetrySlack": 94,
        "stall_ms": 1500,
        "Fencing": False,
    },
}


def loaded(tmp_path, bounds):
    path = tmp_path / "settings.yaml"
    path.write_text(json.dumps(FILE | {"Bounds": FILE["Bounds"] | bounds}))
    return load_settings(str(path))


@pytest.mark.parametrize(
    "name",
    ["GraceS", "DrainMs", "RetryRatio", "RetryWindowS", "RetrySlack", "stall_ms"],
)
def test_bounds_may_be_fractions(tmp_path, name):
    """No gateway of a site starts.

    Its allowance of retries was 37.3 in a window. Only whole numbers were read, and the
    process ended with exit code 2, again and again.
    """
    assert loaded(tmp_path, {name: 2.75})


def test_the_allowance_of_retries_is_kept_as_it_is_told(tmp_path):
    assert loaded(tmp_path, {"RetrySlack": 37.3}).retry_slack == 37.3
    assert loaded(tmp_path, {"DrainMs": 2500}).drain_ms == 2_500


def test_what_is_no_number_is_named(tmp_path):
    with pytest.raises(BadSettingsError, match="RetrySlack"):
        loaded(tmp_path, {"RetrySlack": "many"})


NESTED = "[" * 20_000 + "]" * 20_000

ODD_TEXTS = {
    "nested": lambda text: f'{text[:-1]}, "Later": {NESTED}}}',
    "long-number": lambda text: text.replace("7340", "9" * 5_000),
    "high-port": lambda text: text.replace("8227", "82270"),
    "no-port": lambda text: text.replace(":8223", ""),
    "own-host": lambda text: text.replace("10.1.0.40:8227", "edge.example:8227"),
    "half": lambda text: text[:40],
}


@pytest.mark.parametrize("odd", ODD_TEXTS.values(), ids=ODD_TEXTS)
def test_an_odd_file_is_refused_with_one_error(tmp_path, odd):
    """Guards against a start that ends with a traceback, and a reload that ends all."""
    path = tmp_path / "settings.yaml"
    path.write_text(odd(json.dumps(FILE)))
    with pytest.raises(BadSettingsError, match="settings.yaml"):
        load_settings(str(path))


@pytest.mark.parametrize("value", [1e308, 1e13])
@pytest.mark.parametrize(
    "section", [{"Bounds": "GraceS"}, {"Limits": "MemoryMb"}, {None: "HeartbeatMs"}]
)
def test_a_number_out_of_range_is_named_and_its_default_holds(tmp_path, section, value):
    """Guards against a start that ends by a number that is infinite as an integer."""
    [(part, name)] = section.items()
    odd = {name: value} if part is None else {part: {name: value}}
    settings = load(tmp_path, odd)
    assert settings.invalid == (f"{name}={float(value)}",)
    check_defaults(settings)


@pytest.mark.parametrize("odd", [{"Bounds": {"GraceS": -5}}, {"HeartbeatMs": -1}])
def test_a_time_below_0_is_named_and_its_default_holds(tmp_path, odd):
    settings = load(tmp_path, odd)
    assert len(settings.invalid) == 1
    check_defaults(settings)


@pytest.mark.parametrize("value", [0, 0.005, 1e11])
def test_a_window_of_no_use_is_named_and_its_default_holds(tmp_path, value):
    """Guards against retries that fail, or take all memory, for a window's length."""
    settings = load(tmp_path, {"Bounds": {"RetryWindowS": value}})
    assert settings.invalid == (f"RetryWindowS={float(value)}",)
    assert settings.retry_window_ms == 10_000


@pytest.mark.parametrize("limit", ["MemoryMb", "MaxFds", "LinkMbps"])
def test_a_limit_below_0_is_none(tmp_path, limit):
    """Guards against reloads that are refused for a limit that is not set."""
    settings = load(tmp_path, {"Limits": {limit: -1}})
    assert settings.invalid == ()
    check_defaults(settings)


EMPTY = [
    *(
        {"Bounds": {name: None}}
        for name in (*FILE["Bounds"], "EvacuateMs", "ColdSlack")
    ),
    *({"Bounds": {name: ""}} for name in ("EvacuateMs", "ColdOverage", "Fencing")),
    *(
        {name: None}
        for name in ("Bounds", "Limits", "Zones", "HeartbeatMs", "Bootstrap")
    ),
    {"Limits": {"LinkMbps": None}},
    {"PortRange": None},
]


@pytest.mark.parametrize("empty", EMPTY, ids=str)
def test_an_empty_value_is_one_that_is_not_set(tmp_path, empty):
    """Guards against starts that end, each time, by a key that is not used here."""
    settings = load(tmp_path, empty)
    assert settings.invalid == ()
    check_defaults(settings)


def load(tmp_path, changes):
    path = tmp_path / "settings.yaml"
    path.write_text(json.dumps(FILE | changes))
    return load_settings(str(path))


def check_defaults(settings):
    assert settings.stop_grace_ms == 8_000
    assert settings.memory_mb == settings.descriptors == settings.link_mbps == 0
    assert settings.heartbeat_ms == 1_200
    assert settings.evacuate_ms == settings.cold_slack == 0
    assert not settings.fenced_orders
    assert not settings.is_first_start
