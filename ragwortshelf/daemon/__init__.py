"""The process of an entry instance: settings, logs, metrics and the loop."""
