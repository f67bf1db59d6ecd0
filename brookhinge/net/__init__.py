"""The network side of the router: codecs, connections, and the service that connects them to the engine."""
