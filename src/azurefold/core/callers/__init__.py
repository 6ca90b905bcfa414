"""What callers may send, and what a process holds for them."""
