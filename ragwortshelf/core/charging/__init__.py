"""Usage folded into charges."""
