"""Attempts of requests: retry decisions, execution status, answer assembly."""
