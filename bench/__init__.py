"""Measurements over the project's own stand-ins."""
