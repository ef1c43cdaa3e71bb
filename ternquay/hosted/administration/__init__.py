"""The administration API of a hosted service: calls, keys, its client, and how a change is carried out."""
