"""The one loop, and what tenants share of it."""
