"""A hosted service as a member of a fleet (docs/agreement.md)."""
