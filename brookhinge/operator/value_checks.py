"""Checks for single values of an operator's file.

A check takes a value as decoded from HCL and returns it in the form used by the settings. It raises a
ValueError whose text says what was expected.
"""

from collections.abc import Callable
from typing import Any, TypeVar

T = TypeVar("T")
Check = Callable[[Any], T]

KEY_DIGITS = (32, 128)  # fewest and most
MAX_PORT = 65535
HEX_DIGITS = frozenset("0123456789abcdef")


def number(least: float, most: float) -> Check[float]:
    """Return a check for a number from `least` to `most`."""

    def check(value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise ValueError(f"a number from {least:g} to {most:g}")
        return value

    return check


def whole(least: int, most: int) -> Check[int]:
    """Return a check for an integer from `least` to `most`."""

    def check(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise ValueError(f"a whole number from {least} to {most}")
        return value

    return check


def one_of(*words: str) -> Check[str]:
    """Return a check for one of the words."""

    def check(value: object) -> str:
        if value not in words:
            raise ValueError("one of " + ", ".join(words))
        return str(value)

    return check


def texts(*words: str) -> Check[tuple[str, ...]]:
    """Return a check for a list whose items are among the words."""

    def check(value: object) -> tuple[str, ...]:
        if not isinstance(value, list) or not all(item in words for item in value):
            raise ValueError("a list of " + ", ".join(words))
        return tuple(value)

    return check


def flag(value: object) -> bool:
    """Check a boolean."""
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def text(value: object) -> str:
    """Check a printable, non-empty string."""
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError("a text")
    return value


def path(value: object) -> str:
    """Check a path; it may be empty."""
    if not isinstance(value, str) or "\0" in value:
        raise ValueError("a path")
    return value


def address(value: object) -> tuple[str, int]:
    """Check HOST:PORT and return (host, port)."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    is_decimal = port.isascii() and port.isdigit()
    if not host or not colon or not is_decimal or int(port) > MAX_PORT:
        raise ValueError("HOST:PORT")
    return host, int(port)


def addresses(value: object) -> tuple[tuple[str, int], ...]:
    """Check a non-empty list of HOST:PORT."""
    if not isinstance(value, list) or not value:
        raise ValueError("a list of HOST:PORT")
    try:
        return tuple(address(item) for item in value)
    except ValueError:
        raise ValueError("a list of HOST:PORT") from None


def names(value: object) -> tuple[str, ...]:
    """Check a list of printable, non-empty strings."""
    if not isinstance(value, list) or not all(
        isinstance(item, str) and item and item.isprintable() for item in value
    ):
        raise ValueError("a list of texts")
    return tuple(value)


def key(value: object) -> bytes:
    """Check a key in hex digits and return its bytes."""
    shortest, longest = KEY_DIGITS
    has_valid_length = isinstance(value, str) and shortest <= len(value) <= longest and len(value) % 2 == 0
    if not has_valid_length or set(value) - HEX_DIGITS:
        raise ValueError("32 to 128 hex digits")
    return bytes.fromhex(value)
