"""Stand-ins and tools of the cases 6 to 10."""
