"""Many tenants (hosted archives) on one balancer. `serve` loads nothing of it."""
