"""Admission control: queues requests, limits rates and refuses overload."""
