"""In-memory stand-ins for external systems, with fault injection."""
