"""Where the keys of a TOML text stand, by the tree-sitter grammar: tomllib tells no lines of what it accepts."""

import tree_sitter_toml
from tree_sitter import Language, Node, Parser

from heronlug.config.strict_toml.source import Keys

PLAIN = {"bare_key", "quoted_key", "dotted_key"}


def places(text: str) -> dict[Keys, int]:
    """The lines, from 1, of all keys and tables; an element of a list of tables has its number in its path."""
    lines: dict[Keys, int] = {}
    counts: dict[Keys, int] = {}
    root = Parser(Language(tree_sitter_toml.language())).parse(text.encode()).root_node
    for node in root.children:
        if node.type == "pair":
            _pair(node, (), lines)
        elif node.type in ("table", "table_array_element"):
            named = next((child for child in node.children if child.type in PLAIN), None)
            if named is None:
                continue
            at = _inside(_names(named), counts)
            if node.type == "table_array_element":
                number = counts[at] = counts.get(at, -1) + 1
                _note(at, node, lines)
                at = (*at, number)
            _note(at, node, lines)
            for child in node.children:
                if child.type == "pair":
                    _pair(child, at, lines)
    return lines


def _inside(names: Keys, counts: dict[Keys, int]) -> Keys:
    """The path of a table's header, with the number of each list's last element that it goes through."""
    at: Keys = ()
    for place, name in enumerate(names):
        at = (*at, name)
        if at in counts and place < len(names) - 1:
            at = (*at, counts[at])
    return at


def _note(at: Keys, node: Node, lines: dict[Keys, int]) -> None:
    for end in range(1, len(at) + 1):
        lines.setdefault(at[:end], node.start_point[0] + 1)


def _pair(node: Node, at: Keys, lines: dict[Keys, int]) -> None:
    key, value = node.children[0], node.children[-1]
    here = (*at, *_names(key))
    _note(here, node, lines)
    lines[here] = node.start_point[0] + 1
    _value(value, here, lines)


def _value(value: Node, at: Keys, lines: dict[Keys, int]) -> None:
    if value.type == "inline_table":
        for child in value.children:
            if child.type == "pair":
                _pair(child, at, lines)
    elif value.type == "array":
        elements = [child for child in value.children if child.is_named and child.type != "comment"]
        for number, element in enumerate(elements):
            lines[*at, number] = element.start_point[0] + 1
            _value(element, (*at, number), lines)


def _names(key: Node) -> Keys:
    if key.type == "dotted_key":
        return tuple(name for child in key.children if child.type in PLAIN for name in _names(child))
    text = (key.text or b"").decode()
    if key.type == "quoted_key":
        import tomllib

        return (next(iter(tomllib.loads(f"{text} = 0"))),)
    return (text,)
