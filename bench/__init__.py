"""Measurements of decisions and processes; no part of the verdict of CI."""
