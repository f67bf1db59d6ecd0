"""The router on sockets: parsers, connections, the reducer that holds all state, and the service round them."""
