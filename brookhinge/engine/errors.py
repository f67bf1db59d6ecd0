"""The base of the engine's errors."""


class EngineError(Exception):
    """Base of all errors that the engine raises."""
