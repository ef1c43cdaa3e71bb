"""Stand-ins on sockets, on 127.0.0.0/8 only: each is a thin driver of a simulation model."""
