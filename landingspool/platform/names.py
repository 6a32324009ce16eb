"""Defines the names of the platform: headers, paths, topics and keys."""

REQUEST_ID = 'x-landingspool-request-id'
# Milliseconds left for the request, counted from when the head was sent.
TIME_LEFT = 'x-landingspool-deadline-ms'
MODEL = 'x-landingspool-model-name'
# Number of prompt tokens and maximum of generated ones, comma-separated.
TOKENS = 'x-landingspool-token-usage'
# The prompt's parts in order, each NAME:TOKENS.
PARTS = 'x-landingspool-prefix-hash'
# Signature of the target that made the answer; relayed unchanged.
STAMP = 'x-landingspool-response-stamp'
NOT_RUN = 'x-landingspool-not-executed'
# Id of the target that may execute the request; any other target refuses.
ONLY_TARGET = 'x-landingspool-expect-instance'
TARGET_ID = 'x-landingspool-instance-id'
WORKSPACE = 'x-landingspool-tenant-id'
# Version of the weights that the target must have.
ONLY_VERSION = 'expect-version'
# In answers: version of the weights that made them.
VERSION = 'versions'
# In answers of a target in need: requests a second that it accepts from all
# boxes together.
LIMIT = 'server-limit'
# In answers of a target that leaves.
LEAVING = 'server-leaving'
# In a target's refusal: seconds for which the refused box must not send it any
# request.
RETRY_AFTER = 'retry-after'
URGENCY = 'priority'
LAST_EVENT = 'last-event-id'
# Id of the caller's attempt that brought the first event of a stream which
# this request continues.
RESUMES = 'resumes'
AUTHORIZATION = 'authorization'
# Namespace of the cached context; parts are found only in the same namespace.
SPACE = 'cache-salt'
FETCH_FROM = 'kv-fetch'
SAVE_TO = 'kv-save'
# Milliseconds on the targets' clock; a later transfer is discarded.
FETCH_UNTIL = 'kv-until'
WAIT = 'wait-ms'

# Headers that only the system may set for a target.  A caller's values of them
# are dropped: they would control memory, priority or identity.
OWN_HEADERS = frozenset(
    (
        WORKSPACE,
        ONLY_TARGET,
        ONLY_VERSION,
        TARGET_ID,
        STAMP,
        NOT_RUN,
        URGENCY,
        SPACE,
        FETCH_FROM,
        SAVE_TO,
        FETCH_UNTIL,
        AUTHORIZATION,
        TIME_LEFT,
        'hold',
        'pin-ms',
        'kv-backup',
        'kv-from',
    )
)
# Hop-by-hop headers (RFC 9110, 7.6.1), and those of the framing, which are set
# anew for each connection.
HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)

READY_PATH = '/api/readyz'
REPORT_PATH = '/api/report'
ORDER_PATH = '/api/order'
EVENTS_PATH = '/api/kv-events'
LIST_PATH = '/api/kv-list'
FREE_PATH = '/api/kv-free'

APPEND_PATH = '/api/log-append'
READ_PATH = '/api/log-read'
NEWEST_PATH = '/api/log-newest'

PUBLISHED_TOPIC = 'keyed.op'
TARGETS_TOPIC = 'keyed.servers'
BOXES_TOPIC = 'keyed.boxes'
CLAIMS_TOPIC = 'keyed.claims'
# Prefix of fingerprints in record keys of CLAIMS_TOPIC; no box name has it.
CRASHES_KEY = 'ended/'
# Key in CLAIMS_TOPIC of the software versions seen lately; no box has it.
SOFTWARE_KEY = 'software/recent'
# Record keys in PUBLISHED_TOPIC.
TABLE_KEY = 'config'
VERSION_KEY = 'version/'
EVACUATION_KEY = 'evacuate/'

# Contract in the settings: callers compete for room at times.
COMPETITION = 'pressure'

SETTINGS_VARIABLE = 'LANDINGSPOOL_BOOT'
