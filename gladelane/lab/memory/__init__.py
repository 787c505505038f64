"""Floods that make a director hold memory for its clients, and the resident memory of its processes."""
