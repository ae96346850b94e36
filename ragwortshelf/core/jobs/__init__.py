"""The life of jobs: claims, leases, starts, recovery and outcomes."""
