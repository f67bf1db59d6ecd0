"""Validated access to a JSON configuration. Errors name the path of the key and the expected value."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple, TypeVar

NANOSECOND_S = 1e-9
SHOWN_CHARACTERS = 60  # maximum length of an invalid value in an error message

Meaning = TypeVar("Meaning")


class StartError(ValueError):
    """The configuration is invalid; the message names the key and the expected value."""


class JsonType(NamedTuple):
    """The JSON type that a value must have."""

    types: tuple[type, ...]
    description: str


STRING = JsonType((str,), "a string")
NUMBER = JsonType((int, float), "a number")
INTEGER = JsonType((int,), "an integer")
FLAG = JsonType((bool, int), "true or false")
OBJECT = JsonType((dict,), "an object")
LIST = JsonType((list,), "a list")


def check(path: str, value: object, json_type: JsonType) -> object:
    """Return `value` if it has the expected type.

    Raises:
        StartError: The value has another type, or is a number that is not finite.
    """
    is_unexpected_bool = isinstance(value, bool) and bool not in json_type.types
    if not isinstance(value, json_type.types) or is_unexpected_bool:
        raise StartError(f"{path}: expected {json_type.description}, got {value!r:.{SHOWN_CHARACTERS}}")
    if isinstance(value, float) and not math.isfinite(value):
        raise StartError(f"{path}: expected {json_type.description}, got {value!r}")
    return value


class SettingsReader:
    """Reads validated values from a JSON object of the configuration.

    All methods raise a `StartError` that names the key of an invalid value. Methods that accept a default
    return it if the key is missing; without a default the key is required.

    Attributes:
        values: The JSON object.
        path: Path of the object in the configuration; empty for the whole configuration.
    """

    def __init__(self, values: Mapping[str, object], path: str = "") -> None:
        self.values = values
        self.path = path

    def path_of(self, key: str) -> str:
        """Return the path of a key for error messages."""
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str, json_type: JsonType, *default: object) -> object:
        """Return the value of a key."""
        value = self.values.get(key)
        if value is not None:
            return check(self.path_of(key), value, json_type)
        if default:
            return default[0]
        raise StartError(f"{self.path_of(key)}: missing, expected {json_type.description}")

    def get_flag(self, key: str) -> bool:
        """Return a flag, False if the key is missing."""
        return bool(self.get(key, FLAG, False))

    def get_in_range(
        self, key: str, minimum: float, maximum: float, *default: float, json_type: JsonType = NUMBER
    ) -> float:
        """Return a number in a closed range."""
        value = self.get(key, json_type, *default)
        if not minimum <= value <= maximum:
            bound = f"from {minimum} to {maximum}" if maximum < math.inf else f"of {minimum} or more"
            raise StartError(f"{self.path_of(key)}: expected {json_type.description} {bound}, got {value!r}")
        return value

    def get_above(self, key: str, bound: float, json_type: JsonType, *default: float) -> float:
        """Return a number greater than a bound."""
        value = self.get(key, json_type, *default)
        if value <= bound:
            raise StartError(f"{self.path_of(key)}: expected more than {bound}, got {value!r}")
        return value

    def get_choice(self, key: str, meanings: Mapping[str, Meaning], default: str) -> Meaning:
        """Return the entry of `meanings` for the word under a key."""
        word = self.get(key, STRING, default)
        if word not in meanings:
            words = ", ".join(filter(None, meanings))
            raise StartError(
                f"{self.path_of(key)}: expected one of {words}, got {word!r:.{SHOWN_CHARACTERS}}"
            )
        return meanings[word]

    def get_duration_s(self, key: str, *default: float) -> float:
        """Return a duration in seconds; the configuration states it in nanoseconds."""
        value = self.get(key, NUMBER, *default)
        if value < 0:
            raise StartError(f"{self.path_of(key)}: expected a duration of 0 or more, got {value!r}")
        return value * NANOSECOND_S

    def get_address(self, key: str) -> tuple[str, int]:
        """Return the host and port of a HOST:PORT string."""
        address = self.get(key, STRING)
        host, colon, port = address.rpartition(":")
        if not host or not colon or not port.isdigit() or not int(port) < 65536:
            raise StartError(f"{self.path_of(key)}: expected HOST:PORT, got {address!r:.{SHOWN_CHARACTERS}}")
        return host, int(port)

    def get_object(self, key: str, *default: Mapping[str, object]) -> SettingsReader:
        """Return a reader of a nested object."""
        return SettingsReader(self.get(key, OBJECT, *default), self.path_of(key))

    def get_objects(self, key: str) -> list[SettingsReader]:
        """Return readers of the objects in a list, which is empty if the key is missing."""
        objects = self.get(key, LIST, [])
        paths = [f"{self.path_of(key)}[{i}]" for i in range(len(objects))]
        return [
            SettingsReader(check(path, values, OBJECT), path)
            for path, values in zip(paths, objects, strict=True)
        ]

    def get_strings(self, key: str) -> list[str]:
        """Return a list of strings, which is empty if the key is missing."""
        strings = self.get(key, LIST, [])
        return [check(f"{self.path_of(key)}[{i}]", string, STRING) for i, string in enumerate(strings)]

    def get_element(self, key: str, index: int, json_type: JsonType, default: object) -> object:
        """Return one value of a list, or the default if the list is missing or too short."""
        elements = self.get(key, LIST, [])
        if index >= len(elements):
            return default
        return check(f"{self.path_of(key)}[{index}]", elements[index], json_type)
