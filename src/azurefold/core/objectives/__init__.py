"""Service-level objectives and the burn of their budgets."""
