"""Serving system for language models on reclaimable hosts."""
