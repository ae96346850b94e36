"""Small stand-ins for the log, the list, workers and endpoints, over HTTP."""
