/** Time between two `tick` messages. */
export const tickPeriodMilliseconds = 250;

/** Time without a message above which this process was paused and its view is not used. */
export const pauseMilliseconds = 1_000;

/** Time between two probes of one host. */
export const probePeriodMilliseconds = 1_000;

/** Largest time between two probes of a host that does not answer. */
export const maxProbePeriodMilliseconds = 10_000;

/** Probes of one tick besides those of the daemon's own share. */
export const maxExtraProbes = 16;

/** Failed connections in a row after which a host is down. */
export const downFailureThreshold = 2;

/** Daemons whose reports make a host of another zone down. */
export const downReporterThreshold = 2;

/** Age above which a report of a daemon does not count any more. */
export const downReportMaxAgeMilliseconds = 30_000;

/** Time by which a sign of life must be newer than the sign that the host leaves. */
export const leavingHoldMilliseconds = 3_000;

/** Time without a new sign after which a daemon asks a leaving host itself, at least. */
export const leavingRecheckMilliseconds = 30_000;

/** Time for which a host that refused is only used when no other is left. */
export const refusedHoldMilliseconds = 1_000;

/** Time by which another daemon's clock may be ahead. */
export const maxClockSkewMilliseconds = 2_000;

/** Failing hosts that make a zone unreachable when none of its hosts answers. */
export const unreachableHostThreshold = 3;

/** Time without a sign after which a daemon is suspect. */
export const daemonSuspectMilliseconds = 1_500;

/** Time without a sign after which a daemon is lost. */
export const daemonLostMilliseconds = 5_000;

/** Time after which a lost daemon that is not listed is forgotten. */
export const daemonExpiryMilliseconds = 60_000;

/** Digests that each sign is put into. */
export const healthReportSends = 2;

/** Signs of one digest, and of all digests that one tick sends to the peers. */
export const maxHealthReportsPerMessage = 8;
export const maxHealthReportsPerTick = 32;

/** Time between two requests for the peers' signs. */
export const refreshPeriodMilliseconds = 1_000;
