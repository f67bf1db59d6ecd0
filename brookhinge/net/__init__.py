"""The router on sockets: parsers, connections, and the service that joins them to the engine."""
