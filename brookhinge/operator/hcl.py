"""Parses HCL with python-hcl2 into blocks with line numbers. Keys and values are checked elsewhere."""

from typing import Any

import hcl2
from lark import Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput

PARSE_OPTIONS = hcl2.SerializationOptions(
    with_comments=False, strip_string_quotes=True, explicit_blocks=False
)


class OperatorError(ValueError):
    """The file can't be used; the message names block, key, line and what was expected."""


class Block:
    """One block of HCL.

    Attributes:
        kind: Type of the block, the first word of its header.
        labels: Labels after the type, without quotes.
        line: Line on which the block begins.
        values: Values of the block's keys, unchecked.
        lines: Line of each key.
        blocks: Blocks nested in this one, in the order of the file.
    """

    def __init__(self, kind: str, labels: list[str], line: int):
        self.kind = kind
        self.labels = labels
        self.line = line
        self.values: dict[str, Any] = {}
        self.lines: dict[str, int] = {}
        self.blocks: list[Block] = []

    def title(self) -> str:
        """Return the block's header, its type and quoted labels, for error messages."""
        return " ".join([self.kind, *(f'"{label}"' for label in self.labels)])


def parse(text: str) -> Block:
    """Parse a file and return its top level as a Block with an empty kind.

    Raises:
        OperatorError: The text is not valid HCL.
    """
    try:
        tree = hcl2.parses_to_tree(text)
        values = hcl2.loads(text, serialization_options=PARSE_OPTIONS)
    except UnexpectedInput as error:
        found = error.char if isinstance(error, UnexpectedCharacters) else getattr(error, "token", "")
        raise OperatorError(
            f"line {error.line}: expected HCL, cannot read {str(found).strip()!r:.40}"
        ) from None
    except Exception as error:  # errors inside the parser are reported as invalid HCL too
        raise OperatorError(f"expected HCL ({type(error).__name__}: {error!s:.80})") from None
    return fill_block(tree.children[0], values, Block("", [], 1))


def fill_block(tree: Tree, values: dict[str, Any], block: Block) -> Block:
    """Fill a block with its keys, values and nested blocks.

    Args:
        tree: Syntax tree of the body, which has the line numbers.
        values: Decoded values of the same body.
        block: The block to fill, which is returned.
    """
    counts_by_kind = {}
    for child in tree.children:
        if getattr(child, "data", None) == "attribute":
            key = str(child.children[0].children[0])
            if key in block.lines:
                raise OperatorError(
                    f"line {child.meta.line}: {key} appears twice, first on line {block.lines[key]}"
                )
            block.values[key] = values[key]
            block.lines[key] = child.meta.line
        elif getattr(child, "data", None) == "block":
            kind, labels, inner = parse_header(child)
            index = counts_by_kind.get(kind, 0)
            counts_by_kind[kind] = index + 1
            inner_values = values[kind][index]
            for label in labels:
                inner_values = inner_values[label]
            block.blocks.append(fill_block(inner, inner_values, Block(kind, labels, child.meta.line)))
    return block


def parse_header(tree: Tree) -> tuple[str, list[str], Any]:
    """Return the type, the labels and the body of a block's syntax tree."""
    names = []
    inner = None
    for child in tree.children:
        data = getattr(child, "data", None)
        if data == "identifier":
            names.append(str(child.children[0]))
        elif data == "string":
            names.append(
                "".join(
                    str(part.children[0])
                    for part in child.children
                    if getattr(part, "data", None) == "string_part"
                )
            )
        elif data == "body":
            inner = child
    return names[0], names[1:], inner
