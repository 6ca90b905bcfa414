"""A site of gateways can start whatever ports are found free."""

import itertools

from azurefold_standins import gateway_site


def test_a_port_found_free_twice_is_given_once(tmp_path, monkeypatch):
    """A soak ends in a timeout while it waits for one of its processes.

    Ports are found free one after the other, before any process listens. The
    same one was found twice, and the second process could not take it.
    """
    found = itertools.chain.from_iterable(
        (port, port) for port in itertools.count(20_000)
    )
    monkeypatch.setattr(gateway_site, "free_port", lambda ip: next(found))
    site = gateway_site.new_gateway_site(tmp_path)
    addresses = [site.store, site.relay, site.control]
    addresses += [*site.gateways.values(), *site.admins.values()]
    addresses += [endpoint.address for endpoint in site.endpoints]
    addresses += [listen for listen, _ in site.links.values()]
    assert len(set(addresses)) == len(addresses)
