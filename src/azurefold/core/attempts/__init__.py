"""Attempts of requests: run, not run or unknown; whole answers."""
