"""The examples are accepted, and the reference page names every key."""

import re
from pathlib import Path

import pytest
from pydantic import BaseModel

from azurefold.border.configuration import ConfigurationModel
from azurefold.border.settings import (
    AgentSettings,
    ControlSettings,
    EntrySettings,
    OperatorSettings,
    load_settings,
)
from azurefold.border.validation import _only_model

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "CONFIGURATION.md").read_text("utf-8")
SETTINGS = {
    "entry": EntrySettings,
    "control": ControlSettings,
    "agent": AgentSettings,
    "operator": OperatorSettings,
}


@pytest.mark.parametrize("name", SETTINGS)
def test_example_settings_are_accepted(name):
    assert load_settings(str(ROOT / "examples" / f"{name}.jsonc"), SETTINGS[name])


def section(title):
    found = re.search(rf"^## .*{title}.*?(?=^## |\Z)", PAGE, re.S | re.M)
    assert found, f"no section of {title}"
    return found.group()


def keys_of(model):
    for name, field in model.model_fields.items():
        yield name
        inner = _inner_model(field.annotation)
        if inner is not None:
            yield from keys_of(inner)


def _inner_model(kind):
    found = _only_model(kind)
    if found is None and getattr(kind, "__args__", None):
        inner = [_inner_model(each) for each in kind.__args__]
        found = next((each for each in inner if each is not None), None)
    return found


@pytest.mark.parametrize(
    ("title", "model"),
    [
        ("azurefold-entry", EntrySettings),
        ("azurefold-control", ControlSettings),
        ("azurefold-agent", AgentSettings),
        ("azurefold command", OperatorSettings),
        ("configuration text", ConfigurationModel),
    ],
)
def test_page_names_every_key(title, model):
    assert issubclass(model, BaseModel)
    text = section(title) + section("Shared parts")
    missing = {key for key in keys_of(model) if f"`{key}`" not in text}
    assert not missing
