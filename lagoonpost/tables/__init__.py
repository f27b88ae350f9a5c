"""Rows and tables that the systems read."""
