"""Tests of how a process names its build."""

import pathlib

import pytest

from bronzewall import build


@pytest.mark.parametrize(
    ('text', 'name'),
    [('1a2b3c4d5e6f\n', '1a2b3c4d5e6f'), ('', 'unknown'), (None, 'unknown')],
)
def test_build_is_read_beside_the_package(
    text: str | None,
    name: str,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    path = tmp_path / 'BUILD'
    if text is not None:
        path.write_text(text)
    monkeypatch.setattr(build, '_FILE', path)
    build.build_id.cache_clear()
    assert build.build_id() == name
    build.build_id.cache_clear()
