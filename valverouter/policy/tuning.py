"""Tuned values of the routing policy; spans in whole nanoseconds.

_INTERVALS count quota intervals: times in which our even quota of a server is one attempt. Among many edge
proxies those are long; what was learned must hold for some of them, or an overloaded server stays so.
"""

MS = 1_000_000
SECOND = 1_000 * MS

# The retry budget, in thousandths of a token so that tenths add up exactly.
TOKEN = 1_000
MAX_TOKENS = 10 * TOKEN
TOKEN_RATIO = TOKEN // 10
# The backoff before a retry, and the attempts of a dialog.
BACKOFF_BASE = 200 * MS
BACKOFF_CAP = 2 * SECOND
MAX_ATTEMPTS = 3
# Set-up latency as measured: the weight of a new sample, and how long a sample takes to decay to nothing.
LATENCY_SAMPLE_WEIGHT = 0.4
LATENCY_SAMPLE_LIFETIME = 2 * SECOND
LATENCY_SAMPLE_INTERVALS = 4
# The ejection of a server after a failure; it doubles with each consecutive failure.
EJECTION_BASE = 500 * MS
EJECTION_BASE_INTERVALS = 2
EJECTION_CAP = 4 * SECOND
EJECTION_CAP_INTERVALS = 8
# The longest queue delay of a server that may be selected, as a fraction of the latency objective.
MIN_DELAY_FRACTION = 0.25
DELAY_FRACTION_RANGE = 0.2
PRIORITY_DELAY_FRACTION = 0.6
# The window of attempts in flight at a server (AIMD); under one it still lets a single attempt through. An
# answer is prompt within a fraction of the shortest objective, or a multiple of the least latency seen.
WINDOW_INITIAL = 4.0
WINDOW_MAX = 8.0
WINDOW_MIN = 0.2
WINDOW_INCREASE = 0.5
WINDOW_DECREASE_FACTOR = 0.6
PROMPT_FRACTION = 0.3
PROMPT_MAX_FRACTION = 0.5
PROMPT_MIN_LATENCY_MULTIPLE = 2
# How long a server counts as having no free agent, in mean dialog durations and after an attempt answered so;
# for which fraction of a duration what the fleet takes must be free to end it.
NO_AGENT_DURATION = 0.1
NO_AGENT_INTERVALS = 4
NO_AGENT_RECOVERY_FRACTION = 0.02
# How long a called number whose lines were all busy is taken to stay so.
BUSY_NUMBER_DURATION = 5 * SECOND
# The fraction of what overloads a server in slow start that the fleet may send it; what is left of a peak of
# busy lines after a second; the fleet's interval between probes while nothing is known of a server.
SLOW_START_MARGIN = 0.9
CAPACITY_DECAY_PER_SECOND = 0.98
MIN_PROBE_INTERVAL = 2 * SECOND
# How many standard deviations above the baseline busy lines show a queue; for which fraction of a dialog's
# duration the load of servers passed over must fit into spare capacity.
SPARE_CAPACITY_SIGMAS = 2
SPILLOVER_FRACTION = 0.1
# An attempt sent this long before one that is established now is lost; above what the network reorders.
OVERTAKEN_MARGIN = 100 * MS
# How often we look at our own clock: a missed look is a stall of this process, not silence of the servers.
HEARTBEAT_INTERVAL = 100 * MS
# The Retry-After of a rejection, before jitter.
RETRY_AFTER = SECOND // 8
