"""Runs one VM on the users' platform."""

import asyncio
import os
import pathlib
import sys

import aiohttp

from bronzewall.edge.composition import Platform, serve
from bronzewall.edge.ports import FleetStore
from bronzewall.edge.settings import (
    EdgeSettings,
    edge_settings,
    parse_lines,
)
from bronzewall.errors import SettingsError
from bronzewall.metrics import Metrics
from bronzewall.platform import names
from bronzewall.platform.store import PlatformStore
from bronzewall.ports import Clock


def read_settings() -> EdgeSettings:
    """Return the settings from the file that the environment names.

    :raises SettingsError: the file is missing or invalid.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE, '')
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as exc:
        raise SettingsError(f'{names.SETTINGS_VARIABLE}: {exc}') from exc
    return edge_settings(parse_lines(text.splitlines()))


def main() -> None:
    """Serve until a planned stop is complete."""
    try:
        settings = read_settings()
    except SettingsError as exc:
        sys.exit(f'settings: {exc}')

    def open_store(
        clock: Clock, metrics: Metrics, session: aiohttp.ClientSession
    ) -> FleetStore:
        return PlatformStore(
            address=settings.store,
            session=session,
            clock=clock,
            metrics=metrics,
            region_by_zone=settings.region_by_zone(),
        )

    asyncio.run(
        serve(
            settings,
            Platform(
                names=names.HEADERS,
                ready_path=names.READY_PATH,
                open_store=open_store,
                reload=read_settings,
            ),
        )
    )
