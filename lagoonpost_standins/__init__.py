"""Small stand-ins for the outside systems, able to fail on order."""
