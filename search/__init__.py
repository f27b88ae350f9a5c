"""A search for days that come near to breaking a rule."""
