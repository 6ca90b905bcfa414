"""Finds the route and service of a request and what is allowed for them."""
