"""How cache hosts, the origin, the list and clients behave, fed with time and events.

No sockets and no clock here: the stand-ins on sockets and a model on virtual time run on the same laws. Times
are whole nanoseconds since the start of a play, chance comes from one `random.Random` for each law.
"""
