"""Clients of the platform: tables, objects, cloud API and host list."""
