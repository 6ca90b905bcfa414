"""Which request is taken next, and which is refused."""
