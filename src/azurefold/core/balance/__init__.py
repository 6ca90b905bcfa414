"""Where experts are placed, and when moving one pays."""
