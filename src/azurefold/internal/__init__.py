"""Plumbing shared by the binaries: logs, settings, HTTP servers."""
