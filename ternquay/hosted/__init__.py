"""The hosted service: many tenants (hosted archives) on one balancer. `ternquay serve` does not load it."""
