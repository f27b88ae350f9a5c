"""How near the gateways came to breaking a promise, from their logs."""
