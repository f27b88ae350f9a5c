"""The callers' side: HTTP server, relay and entry list."""
