"""Lease loops and drivers that carry out placement and version moves."""
