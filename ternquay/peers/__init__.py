"""Links between the members of a fleet: frames, the table of peers, TCP and UDP (docs/agreement.md)."""
