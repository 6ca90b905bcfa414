"""Service-level objectives and the burn rates of their error budgets."""
