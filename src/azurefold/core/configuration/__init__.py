"""Acceptance and distribution of configuration revisions.

A process only ever moves to a newer revision, never back to an older one.
"""
