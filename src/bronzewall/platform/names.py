"""Names of headers, paths, tables and the settings variable."""

from bronzewall.edge.ports import HeaderNames

HEADERS = HeaderNames(
    attempt_id='X-Attempt-Id',
    deadline_ms='X-Request-Deadline-Ms',
    answer_signature='X-Response-Seal',
    account='X-Tenant-Name',
    target_instance='X-Target-Instance',
    not_run='X-Not-Executed',
    instance_id='X-Instance-Id',
    request_limit='Server-Limit',
    leaving='Server-Leaving',
)
READY_PATH = '/bronzewall/readiness'
# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'BRONZEWALL_CONFIG'

# Number of the history that the platform's store keeps; rises when the store is
# restored from a copy.
STORE_ERA_HEADER = 'Store-Era'

# Paths of the platform's store.
TRANSACT_PATH = '/bronzewall/rows-tx'
READ_PATH = '/bronzewall/rows-get'
WATCH_PATH = '/bronzewall/rows-feed'

# Tables written by operators, by instances and by VMs, and the key of the row
# that holds the configuration.
CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
# Keys of rows of that table that ask for the evacuation of a zone.
EVACUATION_PREFIX = 'evacuate/'
INSTANCES_TABLE = 'servers'
VMS_TABLE = 'bronzewall-vms'
