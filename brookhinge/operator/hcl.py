"""HCL text as blocks that know their lines, read with python-hcl2; what they mean is decided elsewhere."""

from typing import Any

import hcl2
from lark import Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput

READ = hcl2.SerializationOptions(with_comments=False, strip_string_quotes=True, explicit_blocks=False)


class OperatorError(ValueError):
    """A file that can't be used: block, key, line and what was expected."""


class Block:
    """One block of HCL.

    Attributes:
        kind, labels, line: as it stands in the file.
        values: by key.
        lines: line of each key.
        blocks: within it.
    """

    def __init__(self, kind: str, labels: list[str], line: int):
        self.kind = kind
        self.labels = labels
        self.line = line
        self.values: dict[str, Any] = {}
        self.lines: dict[str, int] = {}
        self.blocks: list[Block] = []

    def title(self) -> str:
        """Return type and labels as an error names them."""
        return " ".join([self.kind, *(f'"{label}"' for label in self.labels)])


def parse(text: str) -> Block:
    """Return the top of a file as a Block without a kind.

    Raises:
        OperatorError: the text is no HCL.
    """
    try:
        tree = hcl2.parses_to_tree(text)
        values = hcl2.loads(text, serialization_options=READ)
    except UnexpectedInput as fault:
        seen = fault.char if isinstance(fault, UnexpectedCharacters) else getattr(fault, "token", "")
        raise OperatorError(
            f"line {fault.line}: expected HCL, cannot read {str(seen).strip()!r:.40}"
        ) from None
    except Exception as fault:  # a parser's own failure must not pass for a fault of ours
        raise OperatorError(f"expected HCL ({type(fault).__name__}: {fault!s:.80})") from None
    return body(tree.children[0], values, Block("", [], 1))


def body(tree: Tree, values: dict[str, Any], block: Block) -> Block:
    """Fill a block from its tree, which knows lines, and its values, which are read."""
    seen = {}
    for child in tree.children:
        if getattr(child, "data", None) == "attribute":
            key = str(child.children[0].children[0])
            if key in block.lines:
                raise OperatorError(
                    f"line {child.meta.line}: {key} stands twice, first in line {block.lines[key]}"
                )
            block.values[key] = values[key]
            block.lines[key] = child.meta.line
        elif getattr(child, "data", None) == "block":
            kind, labels, inner = head(child)
            place = seen.get(kind, 0)
            seen[kind] = place + 1
            within = values[kind][place]
            for label in labels:
                within = within[label]
            block.blocks.append(body(inner, within, Block(kind, labels, child.meta.line)))
    return block


def head(tree: Tree) -> tuple[str, list[str], Any]:
    """Return type, labels and body of a block's tree."""
    words = []
    inner = None
    for child in tree.children:
        data = getattr(child, "data", None)
        if data == "identifier":
            words.append(str(child.children[0]))
        elif data == "string":
            words.append(
                "".join(
                    str(part.children[0])
                    for part in child.children
                    if getattr(part, "data", None) == "string_part"
                )
            )
        elif data == "body":
            inner = child
    return words[0], words[1:], inner
