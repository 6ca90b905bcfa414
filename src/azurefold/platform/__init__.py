"""Adapter to the users' machines: settings, store, configuration, wire names.

The only place that knows the platform's names. It decodes them into the
project's types and decides nothing.
"""
