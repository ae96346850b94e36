"""Small stand-ins for the log, the list, workers and minions, over HTTP."""
