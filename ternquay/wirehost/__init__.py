"""The adapter between the bench's wire and the decisions; it decides nothing."""
