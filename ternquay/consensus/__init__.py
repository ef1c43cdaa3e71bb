"""The agreement of a fleet's members on one log of changes, without I/O (docs/agreement.md)."""
