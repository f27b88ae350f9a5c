"""Randomized soak test of real gateway processes with fault injection."""
