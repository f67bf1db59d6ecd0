"""Errors of the store. What the disk refuses stays an OSError."""


class StoreError(Exception):
    """Base of all errors that the store itself raises."""


class StoreUnusableError(StoreError):
    """A folder that can't be used as a store, and why. Nothing in it was changed."""


class DamagedError(StoreError):
    """Bytes in a file that are not what was written there."""


class UnsupportedVersionError(StoreError):
    """A file in another version of the format."""


class FolderInUseError(StoreError, OSError):
    """The folder is locked by another live process."""
