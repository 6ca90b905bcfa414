"""The project's own tables in the platform's store."""

NODES = "azurefold_nodes"
"""A row for each gateway: where its peers reach it."""

GROUPS = "azurefold_groups"
"""A row for the coordinator of the groups' maps."""

COLD_PERMITS = "azurefold_cold_permits"
"""A row for the gateway that issues permits for cold endpoints."""

CRASHING_PARTS = "azurefold_crashing_parts"
"""A row for each quarantined part of prompts: the crashes that count against it."""
