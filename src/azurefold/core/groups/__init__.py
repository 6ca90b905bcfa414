"""Expert maps of a group of ranks and the steps they are used in."""
