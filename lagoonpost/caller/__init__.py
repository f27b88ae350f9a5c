"""The callers' side: entries, retries and resuming, as a library."""
