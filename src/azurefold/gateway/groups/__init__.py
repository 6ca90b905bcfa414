"""Groups of ranks: who coordinates them, what they report, and their maps."""
