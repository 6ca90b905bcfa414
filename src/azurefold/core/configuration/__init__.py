"""Configuration revisions: accepted, spread and applied upward only."""
