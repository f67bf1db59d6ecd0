"""The router on sockets: parsers, connections, the engine that holds all state, and the service round them."""
