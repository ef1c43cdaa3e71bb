"""The adapter between the wire protocol of the bench and the balancer. It takes no decisions."""
