"""Stand-ins of clients, servers and the platform for the cases of the review, all on loopback."""
