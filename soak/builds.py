"""Sources of earlier builds, taken from the repository's history."""

import io
import pathlib
import subprocess  # noqa: S404
import tarfile

PRESENT = pathlib.Path(__file__).parent.parent / 'src'


def sources_of(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Extract the sources of a commit and return their folder.

    :param folder: where to put them.
    :raises subprocess.CalledProcessError: the history lacks the commit.
    """
    archive = subprocess.run(  # noqa: S603
        ('git', 'archive', commit, 'src'),  # noqa: S607
        cwd=PRESENT.parent,
        check=True,
        capture_output=True,
    ).stdout
    target = folder / commit
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(target, filter='data')
    return target / 'src'
