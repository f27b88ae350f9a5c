"""A randomized soak of real gateways under faults from outside."""
