"""What a tenant is, by itself and beside the others, and how one runs."""
