"""Checks of single values of an operator's file.

A check takes the value as HCL gives it and returns it as the settings hold it; a ValueError says what was
expected.
"""

from collections.abc import Callable
from typing import Any, TypeVar

T = TypeVar("T")
Check = Callable[[Any], T]

KEY_DIGITS = (32, 128)
LARGEST_PORT = 65535
HEX_DIGITS = frozenset("0123456789abcdef")


def number(least: float, most: float) -> Check[float]:
    """Return a check for a number within bounds."""

    def check(value: object) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise ValueError(f"a number from {least:g} to {most:g}")
        return value

    return check


def whole(least: int, most: int) -> Check[int]:
    """Return a check for a whole number within bounds."""

    def check(value: object) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            raise ValueError(f"a whole number from {least} to {most}")
        return value

    return check


def one_of(*words: str) -> Check[str]:
    """Return a check for one of some words."""

    def check(value: object) -> str:
        if value not in words:
            raise ValueError("one of " + ", ".join(words))
        return str(value)

    return check


def texts(*words: str) -> Check[tuple[str, ...]]:
    """Return a check for a list of some of these words."""

    def check(value: object) -> tuple[str, ...]:
        if not isinstance(value, list) or not all(one in words for one in value):
            raise ValueError("a list of " + ", ".join(words))
        return tuple(value)

    return check


def flag(value: object) -> bool:
    """Check a boolean."""
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def text(value: object) -> str:
    """Check a printable text that is not empty."""
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError("a text")
    return value


def path(value: object) -> str:
    """Check a path, which may be empty."""
    if not isinstance(value, str) or "\0" in value:
        raise ValueError("a path")
    return value


def address(value: object) -> tuple[str, int]:
    """Check HOST:PORT."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    is_number = port.isascii() and port.isdigit()
    if not host or not colon or not is_number or int(port) > LARGEST_PORT:
        raise ValueError("HOST:PORT")
    return host, int(port)


def addresses(value: object) -> tuple[tuple[str, int], ...]:
    """Check a list of HOST:PORT that is not empty."""
    if not isinstance(value, list) or not value:
        raise ValueError("a list of HOST:PORT")
    try:
        return tuple(address(one) for one in value)
    except ValueError:
        raise ValueError("a list of HOST:PORT") from None


def names(value: object) -> tuple[str, ...]:
    """Check a list of printable texts."""
    if not isinstance(value, list) or not all(
        isinstance(one, str) and one and one.isprintable() for one in value
    ):
        raise ValueError("a list of texts")
    return tuple(value)


def key(value: object) -> bytes:
    """Check a key in hex digits."""
    shortest, longest = KEY_DIGITS
    is_text = isinstance(value, str) and shortest <= len(value) <= longest and len(value) % 2 == 0
    if not is_text or set(value) - HEX_DIGITS:
        raise ValueError("32 to 128 hex digits")
    return bytes.fromhex(value)
