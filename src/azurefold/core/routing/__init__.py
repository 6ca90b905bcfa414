"""Routing: choice of the endpoint that serves a request."""
