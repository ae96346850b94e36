"""Release notes and the configuration they fold into."""
