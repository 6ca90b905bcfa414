"""The process for membership, configuration and group coordination."""
