"""brookhinge: a query router for edge caches that fill from parent caches and an origin."""
