"""Gateway process: serves callers over HTTP and relays to runners."""
