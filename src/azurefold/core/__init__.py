"""Decisions without input or output: state machines and pure functions."""
