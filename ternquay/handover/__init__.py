"""What two processes of one balancer exchange while one replaces the other. Loaded only where that may happen."""
