"""Every name in outer_names.txt is still used in the package, so that a rename cannot change an interface."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
NAMES_FILE = ROOT / "tests" / "outer_names.txt"
WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_-]*")
OPTION = re.compile(r"--[a-z][a-z-]*")


def listed_names() -> list[str]:
    """Return the names of the list, without its remarks."""
    lines = NAMES_FILE.read_text().splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def docstring_nodes(tree: ast.AST) -> set[int]:
    """Return the ids of the nodes that hold docstrings: no name leaves the process through them."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Module | ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef):
            first = node.body[0] if node.body else None
            if isinstance(first, ast.Expr) and isinstance(first.value, ast.Constant):
                found.add(id(first.value))
    return found


def names_in_text(text: str) -> Iterator[str]:
    """Yield a string itself, its words and its command-line options."""
    yield text.strip()
    yield from WORD.findall(text)
    yield from OPTION.findall(text)


def names_in_module(source: str) -> Iterator[str]:
    """Yield words of string literals, keyword arguments, and names of classes and of their fields."""
    tree = ast.parse(source)
    docstrings = docstring_nodes(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in docstrings:
            if isinstance(node.value, bytes):
                yield from names_in_text(node.value.decode("latin-1"))
            elif isinstance(node.value, str):
                yield from names_in_text(node.value)
        elif isinstance(node, ast.keyword) and node.arg:
            yield node.arg
        elif isinstance(node, ast.ClassDef):
            yield node.name
            yield from field_names(node)


def field_names(node: ast.ClassDef) -> Iterator[str]:
    """Yield the names of a class's annotated fields and of its members."""
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
            yield statement.target.id
        elif isinstance(statement, ast.Assign):
            yield from (target.id for target in statement.targets if isinstance(target, ast.Name))


def used_names(root: Path) -> set[str]:
    """Return all names that the package uses where they can leave the process."""
    package = root / "brookhinge"
    modules = [path for path in package.rglob("*.py") if "emulator" not in path.relative_to(package).parts]
    return {name for module in modules for name in names_in_module(module.read_text())}


def missing_names(listed: list[str], used: set[str]) -> list[str]:
    """Return the listed names that are not used any more."""
    return [name for name in listed if name not in used]


def test_every_listed_name_is_used():
    assert missing_names(listed_names(), used_names(ROOT)) == []


def test_list_is_sorted_without_repeats():
    names = listed_names()
    assert names == sorted(set(names))
    assert len(names) > 900


@pytest.mark.parametrize("name", ["disk off", "AimNs", "brookhinge_fleet_", "--patience"])
def test_name_that_is_gone_is_found(name):
    used = used_names(ROOT) - {name}
    assert missing_names(listed_names(), used) == [name]
