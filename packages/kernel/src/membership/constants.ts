/** Time between two `tick` messages. */
export const tickPeriodMilliseconds = 250;

/** Gap between two messages above which the process counts as paused and its view as stale. */
export const pauseMilliseconds = 1_000;

/** Time between two probes of one host. */
export const probePeriodMilliseconds = 1_000;

/** Maximum time between two probes of an unreachable host. */
export const maxProbePeriodMilliseconds = 10_000;

/** Maximum number of probes a tick for hosts outside the daemon's own share. */
export const maxExtraProbes = 16;

/** Number of consecutive failed connections after which a host is down. */
export const downFailureThreshold = 2;

/** Number of daemons that must report a host of another zone as down to make it down here. */
export const downReporterThreshold = 2;

/** Age above which another daemon's `down` report is ignored. */
export const downReportMaxAgeMilliseconds = 30_000;

/** Time by which an `alive` report must be newer than a `leaving` report to override it. */
export const leavingHoldMilliseconds = 3_000;

/** Minimum age of the newest `leaving` report at which a daemon probes the host itself. */
export const leavingRecheckMilliseconds = 30_000;

/** Time for which a host that refused a request is only used when there is no other. */
export const refusedHoldMilliseconds = 1_000;

/** Maximum time by which another daemon's clock may be ahead. */
export const maxClockSkewMilliseconds = 2_000;

/** Number of failing hosts that make a zone unreachable when none of its hosts answers. */
export const unreachableHostThreshold = 3;

/** Time without a heartbeat after which a daemon is suspect. */
export const daemonSuspectMilliseconds = 1_500;

/** Time without a heartbeat after which a daemon is lost. */
export const daemonLostMilliseconds = 5_000;

/** Time without a heartbeat after which a daemon that is not listed is removed. */
export const daemonExpiryMilliseconds = 60_000;

/** Number of gossip messages that repeat each new health report. */
export const healthReportSends = 2;

/** Maximum number of health reports in one gossip message. */
export const maxHealthReportsPerMessage = 8;

/** Maximum number of health reports that one tick sends to all peers together. */
export const maxHealthReportsPerTick = 32;

/** Time between two requests for the peers' health reports. */
export const refreshPeriodMilliseconds = 1_000;
