"""Finds the lines of the keys in a TOML text with the tree-sitter grammar; tomllib gives no lines of valid keys."""

import tree_sitter_toml
from tree_sitter import Language, Node, Parser

from heronlug.config.strict_toml.source import Keys

KEY_NODE_TYPES = {"bare_key", "quoted_key", "dotted_key"}


def find_key_lines(text: str) -> dict[Keys, int]:
    """Returns the line numbers, starting at 1, of all keys and tables.

    The path of an element of a list contains the index of the element.
    """
    lines: dict[Keys, int] = {}
    element_counts: dict[Keys, int] = {}
    root = Parser(Language(tree_sitter_toml.language())).parse(text.encode()).root_node
    for node in root.children:
        if node.type == "pair":
            _record_pair(node, (), lines)
        elif node.type in ("table", "table_array_element"):
            key_node = next((child for child in node.children if child.type in KEY_NODE_TYPES), None)
            if key_node is None:
                continue
            key_path = _header_path(_key_names(key_node), element_counts)
            if node.type == "table_array_element":
                number = element_counts[key_path] = element_counts.get(key_path, -1) + 1
                _record_path(key_path, node, lines)
                key_path = (*key_path, number)
            _record_path(key_path, node, lines)
            for child in node.children:
                if child.type == "pair":
                    _record_pair(child, key_path, lines)
    return lines


def _header_path(names: Keys, element_counts: dict[Keys, int]) -> Keys:
    """Returns the path of a table header; each list of tables in the path is followed by its last index."""
    key_path: Keys = ()
    for position, name in enumerate(names):
        key_path = (*key_path, name)
        if key_path in element_counts and position < len(names) - 1:
            key_path = (*key_path, element_counts[key_path])
    return key_path


def _record_path(key_path: Keys, node: Node, lines: dict[Keys, int]) -> None:
    for length in range(1, len(key_path) + 1):
        lines.setdefault(key_path[:length], node.start_point[0] + 1)


def _record_pair(node: Node, key_path: Keys, lines: dict[Keys, int]) -> None:
    key, value = node.children[0], node.children[-1]
    pair_path = (*key_path, *_key_names(key))
    _record_path(pair_path, node, lines)
    lines[pair_path] = node.start_point[0] + 1
    _record_elements(value, pair_path, lines)


def _record_elements(value: Node, key_path: Keys, lines: dict[Keys, int]) -> None:
    if value.type == "inline_table":
        for child in value.children:
            if child.type == "pair":
                _record_pair(child, key_path, lines)
    elif value.type == "array":
        elements = [child for child in value.children if child.is_named and child.type != "comment"]
        for number, element in enumerate(elements):
            lines[*key_path, number] = element.start_point[0] + 1
            _record_elements(element, (*key_path, number), lines)


def _key_names(key: Node) -> Keys:
    if key.type == "dotted_key":
        return tuple(name for child in key.children if child.type in KEY_NODE_TYPES for name in _key_names(child))
    text = (key.text or b"").decode()
    if key.type == "quoted_key":
        import tomllib

        return (next(iter(tomllib.loads(f"{text} = 0"))),)
    return (text,)
