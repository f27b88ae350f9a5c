"""Decisions as pure functions over tables: no I/O, no clock."""
