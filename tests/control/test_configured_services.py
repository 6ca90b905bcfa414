"""What control needs of services is read without the organisations."""

import random
from dataclasses import dataclass, field

import pytest
from tests.control.loops import FewPeers, head_of, hold

from azurefold.border.configuration import configuration_from_raw
from azurefold.control.far import FarEndpoints
from azurefold.control.services import configured_services
from azurefold.core.configuration.sections import split_configuration

SERVICE = {"kind": "plain", "data_centres": ["hall"], "endpoints": ["e1"]}
RAW = {
    "services": {"bookings": SERVICE},
    "organisations": {f"o-{n:03d}": {"share": 1.0} for n in range(200)},
}


@dataclass
class NobodyHere:
    """The membership of a data centre without endpoints."""

    revision: int = 0
    directory: "NobodyHere" = field(init=False)

    def __post_init__(self):
        self.directory = self

    def endpoints(self):
        return []


def test_services_are_those_of_the_whole_configuration():
    whole = configuration_from_raw(RAW)
    assert configured_services(split_configuration(RAW)) == dict(whole.services)


def test_organisations_are_not_looked_at():
    sections = split_configuration(RAW)
    chunks = [name for name in sections if name.startswith("organisations/")]
    assert chunks
    unread = sections | dict.fromkeys(chunks, b"no JSON")
    assert list(configured_services(unread)) == ["bookings"]


def test_services_that_cannot_be_used_are_refused():
    newer = {"services": {"bookings": SERVICE | {"of_tomorrow": 1}}}
    with pytest.raises(ValueError, match="of_tomorrow"):
        configured_services(split_configuration(newer | {"organisations": {}}))


def test_far_endpoints_outlive_a_revision_of_a_newer_version(make_loop):
    """Symptom: a service without endpoints here is refused until a restart.

    Sequence: an operator's newer version accepts a key that this one does not
    know; later revisions do without it again.
    Cause: the error ended the loop that asks the other data centres.
    """
    loop = make_loop()
    far = FarEndpoints(FewPeers(), NobodyHere(), loop, random.Random(0))
    newer = RAW | {"services": {"bookings": SERVICE | {"of_tomorrow": 1}}}
    first = head_of(newer)
    hold(loop, first, newer)
    far._refresh_needed()
    assert far._needed == frozenset()
    hold(loop, head_of(RAW, first), RAW)
    far._refresh_needed()
    assert far._needed == {"e1"}
