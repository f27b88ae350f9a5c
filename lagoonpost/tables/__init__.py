"""Data types and tables that the decision code in ``systems`` reads."""
