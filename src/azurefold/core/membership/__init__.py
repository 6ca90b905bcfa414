"""Which processes and endpoints are there, and which are leaving."""
