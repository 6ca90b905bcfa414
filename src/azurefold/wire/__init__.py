"""Messages between the system's processes, their seals and transports."""
