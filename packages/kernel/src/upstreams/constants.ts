/** Time for which lapsed entries are still used after the registry is back. */
export const expiryGraceMilliseconds = 1_800;

/** An upstream in the middle of streams that sends nothing for this long is taken as silent. */
export const streamIdleTimeoutMilliseconds = 400;

/** The same for an upstream that has not begun to answer any of its requests. */
export const responseTimeoutMilliseconds = 700;

/** Pause between two probes of an upstream that cannot be reached. */
export const probeIntervalMilliseconds = 300;

/** An upstream that was added this recently has not read what others read for its chats before. */
export const recentlyAddedMilliseconds = 30_000;

/** First time for which a failing upstream is left alone; it doubles with each further failure. */
export const firstAvoidanceMilliseconds = 1_000;
export const longestAvoidanceMilliseconds = 4_000;

/** Weight of the newest outcome in an upstream's moving failure rate. */
export const outcomeWeight = 0.15;

/** Failure rate above the rate of its service at which an upstream is left alone. */
export const excessFailureRate = 0.25;

/** Failures in a row at which an upstream is left alone, whatever its rate. */
export const consecutiveFailureLimit = 2;

/** A load that an upstream reported is used for this long. */
export const reportedLoadLifetimeMilliseconds = 400;

/** Requests that an upstream may hold: this many times the mean of its service, and a few more. */
export const loadFactor = 1.4;
export const loadAllowance = 2;
