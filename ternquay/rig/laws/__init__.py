"""Simulation models of cache hosts, the origin, discovery's list, links and clients, driven by time and events.

The models use neither sockets nor a clock, so the stand-ins on sockets and the simulation on virtual time share them.
Times are integer nanoseconds since the start of a play. Each model draws from its own seeded `random.Random`.
"""
