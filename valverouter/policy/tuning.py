"""Tuned values of the routing policy; durations in whole nanoseconds.

The quota interval of a server is the time in which this edge proxy's even share of the server's capacity is
one attempt; constants ending in _INTERVALS count these. In a large fleet quota intervals are long. What an
edge proxy has learned of a server must stay in effect for several of them, or an overloaded server would stay
overloaded.
"""

MS = 1_000_000
SECOND = 1_000 * MS

# One retry token. Budgets count thousandths of a token, so that tenths add up exactly.
TOKEN = 1_000
# Tokens of a full retry budget.
MAX_TOKENS = 10 * TOKEN
# Tokens that an established dialog adds to the retry budget of its server.
TOKEN_RATIO = TOKEN // 10

# The longest backoff before the first retry; it doubles with each further retry.
BACKOFF_BASE = 200 * MS
# The longest backoff before any retry.
BACKOFF_CAP = 2 * SECOND
# Attempts of a dialog, the first included.
MAX_ATTEMPTS = 3

# The weight of a new sample in the moving average of a server's set-up latency, from 0 to 1.
LATENCY_SAMPLE_WEIGHT = 0.4
# The least time in which that average decays to zero without a new sample.
LATENCY_SAMPLE_LIFETIME = 2 * SECOND
# The least such time in quota intervals; the longer of the two applies.
LATENCY_SAMPLE_INTERVALS = 4

# The ejection of a server after a failure; it doubles with each consecutive failure.
EJECTION_BASE = 500 * MS
# The same in quota intervals; the longer of the two applies.
EJECTION_BASE_INTERVALS = 2
# The longest ejection after any number of failures.
EJECTION_CAP = 4 * SECOND
# The longest ejection in quota intervals; the longer of the two applies.
EJECTION_CAP_INTERVALS = 8

# A server is selected only up to a queue delay that is a fraction of the latency objective. The fraction is
# drawn at random for each selection; this is the lower end of its range.
MIN_DELAY_FRACTION = 0.25
# The width of the range.
DELAY_FRACTION_RANGE = 0.2
# The fraction for priority traffic types and interrupted dialogs, for which nothing is drawn.
PRIORITY_DELAY_FRACTION = 0.6

# The window of attempts in flight at a server (AIMD) when the server starts.
WINDOW_INITIAL = 4.0
# The largest window.
WINDOW_MAX = 8.0
# The smallest window; a window below one still admits a single attempt.
WINDOW_MIN = 0.2
# A prompt answer widens a window w by this times min(w, 1 / w).
WINDOW_INCREASE = 0.5
# A late answer or a failure multiplies the window by this.
WINDOW_DECREASE_FACTOR = 0.6
# An answer within this fraction of the shortest latency objective is prompt.
PROMPT_FRACTION = 0.3
# The limit of PROMPT_MIN_LATENCY_MULTIPLE, as a fraction of the shortest latency objective.
PROMPT_MAX_FRACTION = 0.5
# An answer within this multiple of the least latency seen at its server is prompt, too.
PROMPT_MIN_LATENCY_MULTIPLE = 2

# How long a server counts as having no free agent, as a fraction of the mean dialog duration.
NO_AGENT_DURATION = 0.1
# The same after a NO_AGENT answer, in quota intervals; the longer of the two applies.
NO_AGENT_INTERVALS = 4
# A server counts as having free agents again once its free lines last for this fraction of the mean dialog
# duration at the fleet's rate of attempts.
NO_AGENT_RECOVERY_FRACTION = 0.02

# How long a called number whose lines were all busy is assumed to stay busy.
BUSY_NUMBER_DURATION = 5 * SECOND

# The load that the fleet may send to a server in slow start, as a fraction of the load that overloads it.
SLOW_START_MARGIN = 0.9
# The fraction of a peak of busy lines that remains after a second.
CAPACITY_DECAY_PER_SECOND = 0.98
# The interval between the fleet's probes of a server in slow start while nothing is known of its capacity.
MIN_PROBE_INTERVAL = 2 * SECOND

# Busy lines indicate a queue when they exceed the baseline by this many standard deviations.
SPARE_CAPACITY_SIGMAS = 2
# The load of the servers that were passed over, for this fraction of a dialog's duration, must fit into the
# spare capacity of the others.
SPILLOVER_FRACTION = 0.1

# An attempt sent this long before one that has just been established is lost. The margin exceeds the
# reordering by the network.
OVERTAKEN_MARGIN = 100 * MS

# The interval between two checks of this process's own clock: a missed check is a stall of this process, not
# silence of the servers.
HEARTBEAT_INTERVAL = 100 * MS

# The mean retry-after of a rejection; jitter is applied to it.
RETRY_AFTER = SECOND // 8
