"""Clients of the runners: model engines and plain HTTP services."""
