"""A small test language: scripted scenarios against real processes."""
