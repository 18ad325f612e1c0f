"""Names of headers and paths on the platform."""

from bronzewall.edge.ports import HeaderNames

HEADERS = HeaderNames(
    attempt_id='X-Attempt-Id',
    deadline_ms='X-Request-Deadline-Ms',
    answer_signature='X-Response-Seal',
    account='X-Tenant-Name',
    target_instance='X-Target-Instance',
    not_run='X-Not-Executed',
    instance_id='X-Instance-Id',
)
READY_PATH = '/bronzewall/readiness'
SETTINGS_VARIABLE = 'BRONZEWALL_CONFIG'

TRANSACT_PATH = '/bronzewall/rows-tx'
READ_PATH = '/bronzewall/rows-get'
WATCH_PATH = '/bronzewall/rows-feed'

# Tables written by operators, by instances and by VMs.
CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
INSTANCES_TABLE = 'servers'
VMS_TABLE = 'bronzewall-vms'
