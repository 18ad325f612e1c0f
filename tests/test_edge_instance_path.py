"""Tests of what a VM knows of its path to the instances."""

import asyncio
import random

import attrs
import pytest
import structlog
from edge_builders import an_edge_instance

from bronzewall.edge.catalog import Catalog
from bronzewall.edge.instance_path import InstancePath
from bronzewall.metrics import Metrics
from bronzewall.standins.memory_store import MemoryInstances
from bronzewall.standins.virtual_time import VirtualClock, run_virtual
from bronzewall.types import ServiceName


@attrs.define(kw_only=True, eq=False)
class Probed:
    """A path over instances that accept connections or none."""

    listed: int = 8
    is_cut: bool = False
    probes: list[str] = attrs.field(factory=list)
    recorded: list[str] = attrs.field(factory=list)

    def build(self) -> InstancePath:
        clock = VirtualClock()
        catalog = Catalog(clock=clock, interval=1.5)
        catalog.accept(
            [an_edge_instance(f'i-{number}') for number in range(self.listed)],
            confirmed_at=0,
        )
        instances = MemoryInstances(accepts=self.accept)
        return InstancePath(
            service=ServiceName('drafts'),
            clock=clock,
            random=random.Random(1),
            catalog=catalog,
            instances=instances,
            metrics=Metrics(),
        )

    def accept(self, address: str) -> bool:
        self.probes.append(address)
        return not self.is_cut

    def fail(self, path: InstancePath, name: str, **changes) -> None:
        """Report a failure that begins now."""
        arguments = {'sent_at': path.clock.now(), **changes}
        path.record_if_intact(lambda: self.recorded.append(name), **arguments)


def test_failure_counts_after_a_probe() -> None:
    async def main() -> None:
        probed = Probed()
        path = probed.build()
        await asyncio.sleep(1)
        probed.fail(path, 'one')
        assert not probed.recorded
        await asyncio.sleep(0.01)
        assert probed.recorded == ['one']
        assert len(probed.probes) == 1
        probed.fail(path, 'two')
        assert probed.recorded == ['one', 'two']
        assert len(probed.probes) == 1

    run_virtual(main())


def test_failure_of_the_own_path_does_not_count() -> None:
    async def main() -> None:
        probed = Probed(is_cut=True)
        path = probed.build()
        probed.fail(path, 'one')
        await asyncio.sleep(0.5)
        assert path.is_lost
        assert len(path.instances.closed) == 8
        probed.fail(path, 'two')
        await path.stop()
        assert not probed.recorded
        assert path.metrics.events['failures_of_own_path'] == 2

    run_virtual(main())


def test_answer_since_the_attempt_shows_an_intact_path() -> None:
    async def main() -> None:
        probed = Probed(is_cut=True)
        path = probed.build()
        await asyncio.sleep(1)
        path.record_answer()
        probed.fail(path, 'one', sent_at=0.5)
        assert probed.recorded == ['one']
        assert not probed.probes

    run_virtual(main())


def test_answer_on_an_open_connection_does_not_excuse_new_ones() -> None:
    async def main() -> None:
        probed = Probed(is_cut=True)
        path = probed.build()
        await asyncio.sleep(1)
        path.record_answer()
        probed.fail(path, 'one', sent_at=0.5, is_connected=False)
        await asyncio.sleep(0.5)
        assert path.is_lost
        await path.stop()

    run_virtual(main())


def test_instances_that_are_down_are_not_a_lost_path() -> None:
    async def main() -> None:
        probed = Probed()
        path = probed.build()
        listed = list(path.catalog.instances_by_id.values())
        alive = random.Random(1).sample(listed, 4)[-1].address
        path.instances.accepts = lambda address: address == alive
        probed.fail(path, 'one')
        await asyncio.sleep(0.5)
        assert probed.recorded == ['one']

    run_virtual(main())


def test_path_without_listed_instances_is_not_lost() -> None:
    async def main() -> None:
        probed = Probed(listed=0)
        path = probed.build()
        probed.fail(path, 'one')
        await path.settle()
        assert probed.recorded == ['one']

    run_virtual(main())


def test_probe_of_a_silent_network_takes_bounded_time() -> None:
    async def main() -> None:
        probed = Probed(is_cut=True)
        path = probed.build()
        path.instances.connect_time = 0.3
        probed.fail(path, 'one')
        await path.settle()
        assert path.is_lost
        assert path.clock.now() == pytest.approx(3 * 0.05 + 0.3)
        await path.settle()
        assert path.clock.now() == pytest.approx(3 * 0.05 + 0.3)
        await path.stop()

    run_virtual(main())


def test_loss_and_return_are_logged_once() -> None:
    async def main() -> None:
        probed = Probed(is_cut=True)
        path = probed.build()
        path.record_answer()
        await asyncio.sleep(2)
        with structlog.testing.capture_logs() as lines:
            probed.fail(path, 'one')
            await asyncio.sleep(4)
            probed.is_cut = False
            await asyncio.sleep(1)
        assert not path.is_lost
        assert [line['event'] for line in lines] == [
            'instances_unreachable',
            'instances_reached',
        ]
        assert 2 < lines[0]['seconds'] < 2.5
        assert 3.5 < lines[1]['seconds'] < 4.5

    run_virtual(main())
