"""Finds the line of a key in a TOML document."""

import re

import attrs

_HEADER = re.compile(r'^\s*(\[\[?)\s*([\w.-]+)\s*\]\]?')
_KEY = re.compile(r'^\s*"?([\w-]+)"?\s*=')


@attrs.frozen(kw_only=True)
class TablePlace:
    """Names one table of a document.

    :param name: name in the header.
    :param index: position among the tables of an array, from 0.
    """

    name: str
    index: int = 0

    def __str__(self) -> str:
        """Return the form shown to operators."""
        return f'{self.name}[{self.index}]'


@attrs.define(kw_only=True)
class LineIndex:
    """Lines of tables and keys; ``tomllib`` reports neither."""

    headers_by_place: dict[TablePlace, int] = attrs.field(factory=dict)
    keys_by_place: dict[tuple[TablePlace, str], int] = attrs.field(factory=dict)

    def find(self, place: TablePlace, key: str) -> int | None:
        """Return the line of a key, else of its table, else ``None``."""
        line = self.keys_by_place.get((place, key))
        return line or self.headers_by_place.get(place)


def index_lines(text: str) -> LineIndex:
    """Return the index of a document.

    Keys inside multi-line strings may be indexed too; the index only
    serves to show places and never to read values.
    """
    index = LineIndex()
    place = TablePlace(name='')
    seen_by_name: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        header = _HEADER.match(line)
        key = _KEY.match(line)
        if header:
            name = header.group(2)
            position = seen_by_name.get(name, 0)
            seen_by_name[name] = position + 1
            place = TablePlace(name=name, index=position)
            index.headers_by_place[place] = number
        elif key:
            index.keys_by_place.setdefault((place, key.group(1)), number)
    return index
