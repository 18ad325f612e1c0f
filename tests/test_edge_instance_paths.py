"""Tests of the paths to several services."""

import asyncio
import random

from edge_builders import an_edge_instance

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.instance_paths import InstancePaths
from bronzewall.metrics import Metrics
from bronzewall.standins.memory_store import MemoryInstances
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import ServiceName

_DRAFTS, _NOTES = ServiceName('drafts'), ServiceName('notes')


def some_paths(cut_prefix: str) -> InstancePaths:
    """Return paths to two services.

    :param cut_prefix: instances whose name begins so are out of reach.
    """
    clock = VirtualClock()
    catalog = Catalog(clock=clock, interval=1.5)
    listed = [
        an_edge_instance(
            f'{service}-{number}',
            service=service,
            address=f'{service}-{number}:1',
        )
        for service in (_DRAFTS, _NOTES)
        for number in range(6)
    ]
    catalog.accept(listed, confirmed_at=0)
    paths = InstancePaths(
        clock=clock,
        random=random.Random(1),
        catalog=catalog,
        instances=MemoryInstances(
            accepts=lambda address: not address.startswith(cut_prefix)
        ),
        metrics=Metrics(),
    )
    for service in (_DRAFTS, _NOTES):
        paths.path_to(service)
    return paths


async def lost_after_a_failure(cut_prefix: str) -> list[ServiceName]:
    paths = some_paths(cut_prefix)
    await asyncio.sleep(1)
    paths.path_to(_DRAFTS).record_if_intact(
        lambda: None, sent_at=paths.clock.now()
    )
    await asyncio.sleep(0.5)
    lost = paths.lost_services()
    await paths.stop()
    return lost


def test_one_service_is_out_of_reach() -> None:
    assert run_virtual(lost_after_a_failure('drafts')) == [_DRAFTS]


# Guards against callers of each service who find the same cut one by one.
def test_lost_path_prompts_probes_of_the_others() -> None:
    assert run_virtual(lost_after_a_failure('')) == [_DRAFTS, _NOTES]


def test_intact_path_prompts_no_probes() -> None:
    assert not run_virtual(lost_after_a_failure('none'))
