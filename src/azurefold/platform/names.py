"""The project's own tables in the platform's store."""

NODES = "azurefold_nodes"
"""A row for each gateway: where its peers reach it."""

GROUPS = "azurefold_groups"
"""A row for the coordinator of the groups' maps."""
