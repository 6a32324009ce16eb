"""The platform's names: headers, paths, topics, keys.  Nothing else."""

REQUEST_ID = 'x-landingspool-request-id'
# Milliseconds that are left, counted from when the head was sent.
TIME_LEFT = 'x-landingspool-deadline-ms'
MODEL = 'x-landingspool-model-name'
# Prompt tokens and the most that may be generated, separated by a comma.
TOKENS = 'x-landingspool-token-usage'
# The prompt's parts in order, each NAME:TOKENS.
PARTS = 'x-landingspool-prefix-hash'
# A target's proof that it made the answer; it has to go back unchanged.
STAMP = 'x-landingspool-response-stamp'
NOT_RUN = 'x-landingspool-not-executed'
# The id of the target that may run the request; any other one refuses.
ONLY_TARGET = 'x-landingspool-expect-instance'
TARGET_ID = 'x-landingspool-instance-id'
WORKSPACE = 'x-landingspool-tenant-id'
# The version of the weights that the target must have.
ONLY_VERSION = 'expect-version'
# Carried by answers: the version of the weights that made them.
VERSION = 'versions'
# Carried by answers of a target in need: the requests a second that it takes
# from all boxes together.
LIMIT = 'server-limit'
# Carried by answers of a target that leaves.
LEAVING = 'server-leaving'
# Carried by a target's refusal: the seconds for which it wants no request of
# the box that it refused.
REST = 'retry-after'
URGENCY = 'priority'
LAST_EVENT = 'last-event-id'
AUTHORIZATION = 'authorization'
# Namespace of kept context; parts are found only under the same one.
SPACE = 'cache-salt'
FETCH_FROM = 'kv-fetch'
SAVE_TO = 'kv-save'
# On the targets' clock, milliseconds: a later transfer is thrown away.
FETCH_UNTIL = 'kv-until'
WAIT = 'wait-ms'

# What the system may set for a target.  A caller's own values of these are
# dropped: they would steer memory, rank or identity.
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
# Of one connection only (RFC 9110, 7.6.1), and what this side frames anew.
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
# Before the fingerprint in record keys of CLAIMS_TOPIC: no box has the name.
ENDINGS_KEY = 'ended/'
# Record keys in PUBLISHED_TOPIC.
TABLE_KEY = 'config'
VERSION_KEY = 'version/'
EVACUATION_KEY = 'evacuate/'

SETTINGS_VARIABLE = 'LANDINGSPOOL_BOOT'
