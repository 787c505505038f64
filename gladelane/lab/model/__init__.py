"""The laboratory's models of the world: pure, the time is an argument, the same objects on either clock."""
