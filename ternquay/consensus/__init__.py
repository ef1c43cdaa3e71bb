"""Consensus of the members of a fleet on one log of changes, without I/O (docs/agreement.md)."""
