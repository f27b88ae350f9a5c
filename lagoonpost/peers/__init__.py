"""Membership, gossip and messages between lagoonpost processes."""
