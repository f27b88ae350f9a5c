"""Membership and gossip between lagoonpost's own processes."""
