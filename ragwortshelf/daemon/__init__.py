"""The daemon process: its services, settings, logs, metrics and HTTP interface."""
