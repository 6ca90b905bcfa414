"""Commands for operators."""
