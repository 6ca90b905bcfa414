"""Which service a request goes to, and what may be done with it there."""
