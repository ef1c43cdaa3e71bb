"""What two processes of one balancer tell each other while one replaces the other; loaded only where they may meet."""
