"""Membership: which endpoints and control processes exist, and their states.

Endpoints process requests. Control processes, called controls, watch the endpoints of a
data centre and exchange their records by gossip. Each endpoint reports to a few
controls, which are its owners. Gateways read the entries of endpoints from a store.
"""
