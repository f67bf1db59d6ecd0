"""Exceptions raised by the store. Errors reported by the operating system remain OSError."""


class StoreError(Exception):
    """Base class of the errors that the store itself raises."""


class StoreUnusableError(StoreError):
    """Raised when a folder can't be used as a store. Nothing in the folder was changed."""


class DamagedError(StoreError):
    """Raised when the bytes in a file are not the ones that were written there."""


class UnsupportedVersionError(StoreError):
    """Raised for a file in an unsupported version of the format."""


class FolderInUseError(StoreError, OSError):
    """Raised when another running process has locked the folder."""
