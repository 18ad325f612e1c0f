"""Finds the line of a key in a TOML document."""

import re

import attrs

_HEADER_PATTERN = re.compile(r'^\s*(\[\[?)\s*([\w.-]+)\s*\]\]?')
_KEY_PATTERN = re.compile(r'^\s*"?([\w-]+)"?\s*=')


@attrs.frozen(kw_only=True)
class TableLocation:
    """Identifies one table of a document.

    :param name: name in the table header.
    :param index: position in an array of tables, from 0; 0 for a table
        that is not in an array.
    """

    name: str
    index: int = 0

    def __str__(self) -> str:
        """Return the name and index as shown to operators."""
        return f'{self.name}[{self.index}]'


@attrs.define(kw_only=True)
class LineIndex:
    """Line numbers of table headers and keys, from 1.

    ``tomllib`` does not report them.
    """

    lines_by_table: dict[TableLocation, int] = attrs.field(factory=dict)
    lines_by_key: dict[tuple[TableLocation, str], int] = attrs.field(
        factory=dict
    )

    def find(self, location: TableLocation, key: str) -> int | None:
        """Return the line of a key, or of its table, or ``None``."""
        line = self.lines_by_key.get((location, key))
        return line or self.lines_by_table.get(location)


def index_lines(text: str) -> LineIndex:
    """Return the line index of a document.

    Text inside multi-line strings may be indexed as keys; that is harmless,
    because the index is only used for the positions in error messages.
    """
    index = LineIndex()
    location = TableLocation(name='')
    counts_by_name: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER_PATTERN.match(line)
        key = _KEY_PATTERN.match(line)
        if header:
            name = header.group(2)
            position = counts_by_name.get(name, 0)
            counts_by_name[name] = position + 1
            location = TableLocation(name=name, index=position)
            index.lines_by_table[location] = number
        elif key:
            index.lines_by_key.setdefault((location, key.group(1)), number)
    return index
