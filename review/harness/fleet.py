"""Runs VMs of the fleet as processes beside small stand-ins, all on loopback.

The stand-ins do what the users' pages say of a sound store and of sound
instances. All processes that a case starts are ended by :class:`Fleet`.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time

from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / 'target' / 'deps'
# Bounds of the site files, in seconds.
PARAMETERS = {
    'config': 2,
    'drain': 2,
    'revoke': 5,
    'grace': 6,
    'budgetRatio': 0.2,
    'budgetSlack': 60,
    'quotaSlack': 20,
}
STABILITY_S = 3.0
CHECK_IN_S = 1.5
_FRONT_PORT, _READY_PORT, _PEER_PORT, _ADMIN_PORT = 8045, 8048, 7100, 7101
_POLL_S = 0.01


class NotRunnableError(Exception):
    """The case could not run; nothing was shown."""


class Store:
    """The platform's store: rows, reads and feeds, as PROTOCOL.md says.

    ``refused`` has the tables that it does not serve for a time: calls about
    them get 503, and nothing is done.
    """

    def __init__(self):
        self.rows = {}
        self.dropped = {}
        self.refused = set()
        self.version = 1
        self.address = ''
        self._runner = None

    async def start(self):
        app = web.Application(client_max_size=1 << 22)
        app.add_routes([
            web.get('/bronzewall/rows-get', self._get),
            web.get('/bronzewall/rows-feed', self._feed),
            web.post('/bronzewall/rows-tx', self._transact),
        ])
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', 0).start()
        self.address = f'127.0.0.1:{self._runner.addresses[0][1]}'

    async def stop(self):
        await self._runner.cleanup()

    def put(self, table, key, document):
        """Write a row; return the time of the ack."""
        raw = base64.b64encode(json.dumps(document).encode()).decode()
        self._store(table, key, raw)
        return time.monotonic()

    def drop(self, table, key):
        """Remove a row; return the time of the ack."""
        self.version += 1
        self.rows.get(table, {}).pop(key, None)
        self.dropped.setdefault(table, {})[key] = self.version
        return time.monotonic()

    def _store(self, table, key, raw):
        self.version += 1
        self.rows.setdefault(table, {})[key] = (raw, self.version)
        self.dropped.setdefault(table, {}).pop(key, None)

    async def _get(self, request):
        query = request.query
        if query['table'] in self.refused:
            return web.Response(status=503)
        first = query.get('from', '')
        rows = [
            _row(query['table'], key, *stored)
            for key, stored in sorted(self.rows.get(query['table'], {}).items())
            if key >= first
        ]
        return self._answer(rows)

    async def _feed(self, request):
        query = request.query
        table, after = query['table'], int(query['after'])
        ends_at = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            if table in self.refused:
                return web.Response(status=503)
            rows = [
                _row(table, key, raw, version)
                for key, (raw, version) in self.rows.get(table, {}).items()
                if version > after
            ]
            rows += [
                {'table': table, 'part': '', 'key': key, 'deleted': True,
                 'schemaVersion': version}
                for key, version in self.dropped.get(table, {}).items()
                if version > after
            ]
            if rows or time.monotonic() >= ends_at:
                rows.sort(key=lambda row: row['schemaVersion'])
                return self._answer(rows)
            await asyncio.sleep(_POLL_S)

    async def _transact(self, request):
        wire = await request.json()
        if {row['table'] for row in wire['upserts']} & self.refused:
            return web.Response(status=503)
        for row in wire['upserts']:
            self._store(row['table'], row['key'], row['value'])
        return self._answer([])

    def _answer(self, rows):
        return web.json_response({
            'tableRows': rows,
            'hasMore': False,
            'schemaVersion': self.version,
            'now': time.monotonic(),
        })


def _row(table, key, raw, version):
    return {'table': table, 'part': '', 'key': key, 'value': raw, 'schemaVersion': version}


class Instance:
    """An instance of a service; ``behave`` may answer, or return ``None``.

    :param runs: gets a dictionary for each request that begins to run.
    """

    def __init__(self, store, instance_id, service, runs, *, zone='a', work_s=0.02, slots=8, behave=None):
        self.store = store
        self.instance_id = instance_id
        self.service = service
        self.runs = runs
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.behave = behave
        self.born = int(time.time() * 1000)
        self.address = ''
        self._runner = None
        self._transports = set()

    async def start(self, state='ready'):
        app = web.Application(client_max_size=1 << 24)
        app.router.add_route('*', '/{path:.*}', self._handle)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.05, handler_cancellation=True
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, '127.0.0.1', 0).start()
        self.address = f'127.0.0.1:{self._runner.addresses[0][1]}'
        return self.check_in(state)

    def check_in(self, state='ready'):
        return self.store.put('servers', self.instance_id, {
            'serviceName': self.service,
            'address': self.address,
            'zone': self.zone,
            'configVersion': '1',
            'capacitySlots': self.slots,
            'instanceState': state,
            'warmupLeft': 0,
            'sequence': 1,
            'born': self.born,
        })

    async def crash(self):
        """End at once: all connections are reset, the port is closed."""
        for transport in tuple(self._transports):
            transport.abort()
        await self.stop()

    async def stop(self):
        if self._runner is not None:
            runner, self._runner = self._runner, None
            await runner.cleanup()

    async def _handle(self, request):
        self._transports.add(request.transport)
        attempt = request.headers.get('X-Attempt-Id', '')
        echo = {'X-Attempt-Id': attempt}
        if request.headers.get('X-Target-Instance', self.instance_id) != self.instance_id:
            return web.Response(status=421, headers={**echo, 'X-Instance-Id': self.instance_id})
        body = await request.read()
        arrival = {
            'at': time.monotonic(),
            'attempt': attempt,
            'instance': self.instance_id,
            'path': request.raw_path,
            'tenant': request.headers.get('X-Tenant-Name', ''),
            'bytes': len(body),
            'outcome': 'running',
        }
        self.runs.append(arrival)
        if self.behave is not None:
            answer = await self.behave(self, request, arrival, echo)
            if answer is not None:
                return answer
        await asyncio.sleep(self.work_s)
        arrival['outcome'] = 'answered'
        return web.Response(
            body=b'answer to ' + attempt.encode(),
            headers={**echo, 'X-Response-Seal': f'seal-{attempt}'},
        )


class Vm:
    """One VM: the program of the deploy file, with the settings template."""

    def __init__(self, fleet, name, zone, address, strength):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.address = address
        self.strength = strength
        self.process = None
        self.log = (fleet.folder / f'{name}.log').open('ab')

    async def start(self, *, is_first=False):
        settings = self.fleet.folder / f'{self.name}.env'
        settings.write_text(self._settings(is_first), encoding='utf-8')
        run = _deployed('run').split()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *run[1:],
            cwd=ROOT,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': str(self.fleet.folder),
                'LANG': 'C.UTF-8',
                'PYTHONPATH': str(DEPENDENCIES),
                'PYTHONDONTWRITEBYTECODE': '1',
                'BRONZEWALL_CONFIG': str(settings),
            },
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def is_ready(self):
        try:
            status, _, _ = await exchange(
                self.address, _READY_PORT,
                'GET /bronzewall/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n', 1,
            )
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def status(self):
        _, _, body = await exchange(
            self.address, _ADMIN_PORT,
            'GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n', 2,
        )
        return json.loads(body)

    def _settings(self, is_first):
        zones = self.fleet.zones
        return _render(_template(), {
            'node': self.name,
            'zone': self.zone,
            'region': zones[self.zone],
            'zones': zones,
            'bindIp': self.address,
            'listen.front': f'{self.address}:{_FRONT_PORT}',
            'listen.ready': f'{self.address}:{_READY_PORT}',
            'internalPorts.0': _PEER_PORT,
            'platform.address': self.fleet.store.address,
            'limits.cpuShare': self.strength,
            'bootstrap': 'true' if is_first else 'false',
            'heartbeat': CHECK_IN_S,
            **{f'parameters.{name}': value for name, value in PARAMETERS.items()},
        })


class Fleet:
    """The VMs, the store and the instances of one case."""

    def __init__(self, *, zones=None):
        self.zones = zones or {'a': 'r', 'b': 'r'}
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store()
        self.vms = []
        self.instances = []
        self.runs = []
        self.version = 0
        self.began_at = time.monotonic()
        self._net = _free_net()

    def publish(self, *, routes, tenants):
        """Store the next config; return the time of the ack."""
        self.version += 1
        services = sorted({route['serviceName'] for route in routes})
        return self.store.put('op', 'config', {
            'configVersion': self.version,
            'routes': routes,
            'services': [{'name': name, 'maxConnections': 360} for name in services],
            'tenants': tenants,
            'limits': {},
        })

    async def add_instance(self, name, service, **options):
        instance = Instance(self.store, name, service, self.runs, **options)
        await instance.start()
        self.instances.append(instance)
        return instance

    def add_vm(self, name, zone, *, strength=0.86):
        vm = Vm(self, name, zone, f'{self._net}.{len(self.vms) + 1}', strength)
        self.vms.append(vm)
        return vm

    async def start_vms(self):
        for vm in self.vms:
            await vm.start(is_first=True)
        await self.wait_ready()

    async def wait_ready(self, timeout=25):
        ends_at = time.monotonic() + timeout
        for vm in self.vms:
            while not await vm.is_ready():
                if time.monotonic() > ends_at:
                    raise NotRunnableError(f'{vm.name} is not ready')
                await asyncio.sleep(0.05)

    async def stop(self):
        for vm in self.vms:
            await vm.kill()
            vm.log.close()
        for instance in self.instances:
            await instance.stop()
        await self.store.stop()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in self.folder.glob('*.log'):
                (pathlib.Path(keep) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()

    def since(self, at):
        """Return the seconds of a moment since the case began."""
        return round(at - self.began_at, 3)


async def exchange(address, port, head, timeout, body=b'', connection=None):
    """Send one request; return status, headers and body of its answer.

    :param connection: an open connection, otherwise a new one is opened.
    """
    async with asyncio.timeout(timeout):
        reader, writer = connection or await asyncio.open_connection(address, port)
        try:
            writer.write(head.encode() + body)
            return await read_answer(reader)
        finally:
            writer.close()


async def read_answer(reader):
    """Read one answer with a length or chunks."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    status = int(lines[0].split()[1])
    headers = {}
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return status, headers, body


class Client:
    """Sends requests and records them with their answers."""

    def __init__(self, fleet, *, host='shop.example', key='key-1'):
        self.fleet = fleet
        self.host = host
        self.key = key
        self.sent = []
        self._random = random.Random(1)

    async def connect(self, vm):
        """Open a connection for a later request."""
        return await asyncio.open_connection(vm.address, _FRONT_PORT)

    async def send(self, vm, path, *, method='GET', body=b'', limit_ms=2000, extra='', connection=None):
        """Send one request to a VM; return its record."""
        attempt = f'{self._random.getrandbits(64):016x}'
        record = {
            'at': time.monotonic(), 'attempt': attempt, 'vm': vm.name,
            'path': path, 'method': method, 'status': 0,
        }
        self.sent.append(record)
        head = (
            f'{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n'
            f'X-Attempt-Id: {attempt}\r\nX-Request-Deadline-Ms: {limit_ms}\r\n'
            f'Authorization: Bearer {self.key}\r\nContent-Length: {len(body)}\r\n'
            f'{extra}'
            'Connection: close\r\n\r\n'
        )
        try:
            record['status'], headers, _ = await exchange(
                vm.address, _FRONT_PORT, head, limit_ms / 1000 + 1, body, connection
            )
            record['seal'] = headers.get('x-response-seal', '')
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError) as exc:
            record['error'] = type(exc).__name__
        record['ended'] = time.monotonic()
        return record


def a_route(name, prefix, kind, service, **options):
    """Return a route as the operator writes it."""
    return {
        'name': name, 'hostName': 'shop.example', 'prefix': prefix, 'routeType': kind,
        'serviceName': service, 'attempts': 2, 'timeout': 2, 'targetLatency': 1, 'priority': 1,
        **options,
    }


def finish(folder, lines, *, is_broken):
    """Write the record and return the exit status of the case."""
    verdict = 'BROKEN' if is_broken else 'held'
    pathlib.Path(folder, 'record.txt').write_text('\n'.join([*lines, f'rule: {verdict}', '']))
    print('\n'.join(lines[:12]))
    print(f'rule: {verdict}')
    return 1 if is_broken else 0


def main(case):
    """Run a case and exit as the issue asks."""
    if not DEPENDENCIES.joinpath('bronzewall').is_dir():
        print('the build of deploy/system.toml is missing')
        sys.exit(2)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        status = asyncio.run(asyncio.wait_for(case(trouble), 118))
    except (NotRunnableError, TimeoutError, OSError) as exc:
        print(f'could not run: {exc!r}')
        status = 2
    sys.exit(status)


def _deployed(name):
    import tomllib

    deployed = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    return deployed['roles']['edge'][name]


def _template():
    return (ROOT / _deployed('template')).read_text(encoding='utf-8')


def _render(template, values):
    zones = ','.join(f'{zone}={region}' for zone, region in values['zones'].items())
    text = re.sub(r'\{\{#zones\}\}.*?\{\{/zones\}\}', zones, template)
    return re.sub(r'\{\{([^}]+)\}\}', lambda found: str(values[found.group(1)]), text)


def _free_net():
    """Return a loopback network whose ports nobody uses."""
    for _ in range(50):
        net = f'127.{random.randrange(20, 250)}.{random.randrange(1, 250)}'
        try:
            for port in (_FRONT_PORT, _READY_PORT, _PEER_PORT, _ADMIN_PORT):
                with socket.socket() as probe:
                    probe.bind((f'{net}.1', port))
        except OSError:
            continue
        return net
    raise NotRunnableError('no free loopback network')
