"""Lines of the simulator's wire as checked values."""

MAX_VALUES = 12  # of any line that is read
ABSENT = "-"


class WireError(Exception):
    """A line that cannot be read; the message names it and what was expected."""


def split_values(line: str, least: int, expected: str) -> list[str]:
    """Return the values after a line's first word; optional ones left off its end read as absent."""
    values = line.split(" ")[1:]
    if len(values) < least:
        raise WireError(f"line {line!r}: expected {expected}")
    return values + [ABSENT] * (MAX_VALUES - len(values))


def read_int(text: str, line: str, expected: str) -> int:
    """Return a whole number."""
    try:
        return int(text)
    except ValueError:
        raise WireError(f"line {line!r}: expected {expected}, got {text!r}") from None


def read_float(text: str, line: str, expected: str) -> float:
    """Return a number."""
    try:
        return float(text)
    except ValueError:
        raise WireError(f"line {line!r}: expected {expected}, got {text!r}") from None


def read_optional_int(text: str, line: str, expected: str) -> int:
    """Return a whole number, 0 for one that is absent."""
    return 0 if text in (ABSENT, "") else read_int(text, line, expected)


def read_optional_float(text: str, line: str, expected: str) -> float:
    """Return a number, 0 for one that is absent."""
    return 0.0 if text in (ABSENT, "") else read_float(text, line, expected)


def read_flag(text: str, line: str) -> bool:
    """Return a flag; an absent one is false."""
    if text not in ("0", "1", ABSENT):
        raise WireError(f"line {line!r}: expected 1 or 0, got {text!r}")
    return text == "1"


def check_load(text: str, line: str) -> None:
    """Check load figures: the decisions use none, but they must be numbers."""
    if text not in (ABSENT, ""):
        for figure in text.split(","):
            read_float(figure, line, "load figures")
