"""Attempts at bare endpoints, and reading what they answer."""
