"""Which instances live, and which of them serves which role."""
