"""Change tickets: their format, their checks and the resulting declaration."""
