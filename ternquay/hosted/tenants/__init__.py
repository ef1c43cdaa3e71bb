"""Tenants: their configuration, the registry of all of them, and the runtime of each."""
