"""Controller process: reconciles runners and sweeps the ledger."""
