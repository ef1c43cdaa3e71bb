"""What the tenants of a process share: the event loop, sockets and memory."""
