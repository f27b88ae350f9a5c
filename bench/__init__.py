"""Benchmarks and simulations that run against the project's stand-ins."""
