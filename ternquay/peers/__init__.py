"""How the balancers of one fleet reach each other: frames, who is there, links on TCP and UDP (docs/agreement.md)."""
