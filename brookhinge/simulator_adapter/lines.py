"""Parsing and checking of the lines of the simulator's protocol."""

MAX_VALUES = 12  # values that any line is padded to
ABSENT = "-"


class WireError(Exception):
    """Raised for a line that cannot be parsed; names the line and what was expected."""


def split_values(line: str, min_count: int, expected: str) -> list[str]:
    """Return the values after the first word of a line, padded with `ABSENT` for omitted optional ones."""
    values = line.split(" ")[1:]
    if len(values) < min_count:
        raise WireError(f"line {line!r}: expected {expected}")
    return values + [ABSENT] * (MAX_VALUES - len(values))


def read_int(text: str, line: str, expected: str) -> int:
    """Parse an integer."""
    try:
        return int(text)
    except ValueError:
        raise WireError(f"line {line!r}: expected {expected}, got {text!r}") from None


def read_float(text: str, line: str, expected: str) -> float:
    """Parse a floating-point number."""
    try:
        return float(text)
    except ValueError:
        raise WireError(f"line {line!r}: expected {expected}, got {text!r}") from None


def read_optional_int(text: str, line: str, expected: str) -> int:
    """Parse an integer; return 0 if it is absent."""
    return 0 if text in (ABSENT, "") else read_int(text, line, expected)


def read_optional_float(text: str, line: str, expected: str) -> float:
    """Parse a floating-point number; return 0 if it is absent."""
    return 0.0 if text in (ABSENT, "") else read_float(text, line, expected)


def read_flag(text: str, line: str) -> bool:
    """Parse a flag; return False if it is absent."""
    if text not in ("0", "1", ABSENT):
        raise WireError(f"line {line!r}: expected a flag of 0 or 1, got {text!r}")
    return text == "1"


def check_load(text: str, line: str) -> None:
    """Check that load figures are numbers; the decisions do not use them."""
    if text not in (ABSENT, ""):
        for figure in text.split(","):
            read_float(figure, line, "load figures")
