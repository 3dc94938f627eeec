"""Stand-ins of the platform and the harness of the review's scripts."""
