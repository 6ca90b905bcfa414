"""Validated models of what comes from outside, and their codecs."""
