"""Callers' requests: read, run, and answered."""
