"""The process in the slot of each endpoint VM."""
