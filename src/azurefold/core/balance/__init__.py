"""Places experts on ranks and decides which moves are worth their cost."""
