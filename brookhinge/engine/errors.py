"""Base class of the engine's errors."""


class EngineError(Exception):
    """Base class of all errors that the engine raises."""
