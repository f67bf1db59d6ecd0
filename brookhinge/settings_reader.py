"""Checked access to a configuration in JSON. An error names the key's path and what was expected there."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple, TypeVar

NANOSECOND_S = 1e-9
SHOWN_CHARACTERS = 60  # of an unusable value in a message

Meaning = TypeVar("Meaning")


class StartError(ValueError):
    """A configuration that can't be used; the message names the key and what was expected."""


class Form(NamedTuple):
    """What kind of value a key must have."""

    types: tuple[type, ...]
    description: str


TEXT = Form((str,), "a text")
NUMBER = Form((int, float), "a number")
INTEGER = Form((int,), "a whole number")
FLAG = Form((bool, int), "true or false")
OBJECT = Form((dict,), "an object")
LIST = Form((list,), "a list")


def check(path: str, value: object, form: Form) -> object:
    """Return a value that has a form.

    Raises:
        StartError: The value is of another kind, or no finite number.
    """
    is_wrong_flag = isinstance(value, bool) and bool not in form.types
    if not isinstance(value, form.types) or is_wrong_flag:
        raise StartError(f"{path}: expected {form.description}, got {value!r:.{SHOWN_CHARACTERS}}")
    if isinstance(value, float) and not math.isfinite(value):
        raise StartError(f"{path}: expected {form.description}, got {value!r}")
    return value


class SettingsReader:
    """A JSON object that knows its path in the configuration.

    All methods raise a `StartError` that names the key. Those that take a default return it where the key
    is missing; without one the key must be there.

    Attributes:
        values: The object.
        path: Of the object, empty for the whole configuration.
    """

    def __init__(self, values: Mapping[str, object], path: str = "") -> None:
        self.values = values
        self.path = path

    def path_of(self, key: str) -> str:
        """Return the path of a key, for messages."""
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str, form: Form, *default: object) -> object:
        """Return the value of a key."""
        value = self.values.get(key)
        if value is not None:
            return check(self.path_of(key), value, form)
        if default:
            return default[0]
        raise StartError(f"{self.path_of(key)}: missing, expected {form.description}")

    def get_flag(self, key: str) -> bool:
        """Return a flag, false where it is missing."""
        return bool(self.get(key, FLAG, False))

    def get_in_range(
        self, key: str, minimum: float, maximum: float, *default: float, form: Form = NUMBER
    ) -> float:
        """Return a number between two bounds, both included."""
        value = self.get(key, form, *default)
        if not minimum <= value <= maximum:
            bound = f"from {minimum} to {maximum}" if maximum < math.inf else f"of {minimum} or more"
            raise StartError(f"{self.path_of(key)}: expected {form.description} {bound}, got {value!r}")
        return value

    def get_above(self, key: str, bound: float, form: Form, *default: float) -> float:
        """Return a number greater than a bound."""
        value = self.get(key, form, *default)
        if value <= bound:
            raise StartError(f"{self.path_of(key)}: expected more than {bound}, got {value!r}")
        return value

    def get_word(self, key: str, meanings: Mapping[str, Meaning], default: str) -> Meaning:
        """Return the meaning of one of a few words."""
        word = self.get(key, TEXT, default)
        if word not in meanings:
            words = ", ".join(filter(None, meanings))
            raise StartError(
                f"{self.path_of(key)}: expected one of {words}, got {word!r:.{SHOWN_CHARACTERS}}"
            )
        return meanings[word]

    def get_duration_s(self, key: str, *default: float) -> float:
        """Return a time that stands there in nanoseconds, in seconds."""
        value = self.get(key, NUMBER, *default)
        if value < 0:
            raise StartError(f"{self.path_of(key)}: expected a time of 0 or more, got {value!r}")
        return value * NANOSECOND_S

    def get_address(self, key: str) -> tuple[str, int]:
        """Return host and port of a text HOST:PORT."""
        text = self.get(key, TEXT)
        host, colon, port = text.rpartition(":")
        if not host or not colon or not port.isdigit() or not int(port) < 65536:
            raise StartError(f"{self.path_of(key)}: expected HOST:PORT, got {text!r:.{SHOWN_CHARACTERS}}")
        return host, int(port)

    def get_object(self, key: str, *default: Mapping[str, object]) -> SettingsReader:
        """Return the reader of an object."""
        return SettingsReader(self.get(key, OBJECT, *default), self.path_of(key))

    def get_objects(self, key: str) -> list[SettingsReader]:
        """Return the readers of a list of objects, empty where it is missing."""
        objects = self.get(key, LIST, [])
        paths = [f"{self.path_of(key)}[{i}]" for i in range(len(objects))]
        return [
            SettingsReader(check(path, values, OBJECT), path)
            for path, values in zip(paths, objects, strict=True)
        ]

    def get_texts(self, key: str) -> list[str]:
        """Return a list of texts, empty where it is missing."""
        texts = self.get(key, LIST, [])
        return [check(f"{self.path_of(key)}[{i}]", text, TEXT) for i, text in enumerate(texts)]

    def get_element(self, key: str, index: int, form: Form, default: object) -> object:
        """Return one value of a list; the default where the list is missing or shorter."""
        elements = self.get(key, LIST, [])
        if index >= len(elements):
            return default
        return check(f"{self.path_of(key)}[{index}]", elements[index], form)
