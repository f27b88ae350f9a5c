"""Leases, ledger, tickets and watches over a transactional store."""
