/** Time for which expired entries are still used after the registry is reachable again. */
export const expiryGraceMilliseconds = 1_800;

/**
 * Time after a restoration of the registry in which it may list upstreams that have left: the entry
 * of one that no longer writes expires within this time.
 */
export const restoredEntryLifetimeMilliseconds = 4_000;

/** An upstream with open streams that sends nothing for this long is unresponsive. */
export const streamIdleTimeoutMilliseconds = 400;

/** The same for an upstream with requests but without an open stream. */
export const responseTimeoutMilliseconds = 700;

/** Interval between two probes of an upstream that cannot be reached. */
export const probeIntervalMilliseconds = 300;

/** Probes that begin in one check of the upstreams while none of them connects. */
export const busyProbesPerCheck = 8;

/** Time after a probe has connected in which all others that are due begin at once. */
export const recoveryProbeMilliseconds = 1_000;

/** Time without a byte of any upstream of a service, while several hold requests, after which all are doubted. */
export const groupSilenceMilliseconds = 250;

/** Time without a proof of any path of a service after which one failed connection raises doubt in all. */
export const quietMilliseconds = 200;

/** Shortest time between the beginnings of two doubts in the paths of one service. */
export const doubtPauseMilliseconds = 1_000;

/** Time on trial after which a path may take requests that must not run twice, as no others may come. */
export const longTrialMilliseconds = 3_000;

/** Time between two requests on paths on trial while no path of the service is open. */
export const trialIntervalMilliseconds = 500;

/**
 * An upstream counts as recently added for this long: another upstream served its chats before and
 * may hold their cached prefixes.
 */
export const recentlyAddedMilliseconds = 30_000;

/** Upstreams that were added within this time may come from one read of the registry, so that neither is the newer one. */
export const sameReadMilliseconds = 1_000;

/** First time for which a failing upstream is avoided; it doubles with each further avoidance. */
export const firstAvoidanceMilliseconds = 1_000;
export const longestAvoidanceMilliseconds = 4_000;

/** Weight of the newest outcome in an upstream's moving failure rate. */
export const outcomeWeight = 0.15;

/** Failure rate above the median of its service at which an upstream is avoided. */
export const excessFailureRate = 0.25;

/**
 * Number of consecutive failures at which an upstream is avoided whatever its own failure rate,
 * unless the median of its service is high as well.
 */
export const consecutiveFailureLimit = 2;

/** Time for which a load that an upstream reported is used. */
export const reportedLoadLifetimeMilliseconds = 400;

/** Time after which a slot of an upstream's request limit is lost when no request used it. */
export const unusedSlotLifetimeMilliseconds = 1_000;

/** Rate at which all daemons together ask an upstream that takes no requests whether that still holds. */
export const lowestLimitPerSecond = 0.1;

/** Shortest time for which a slot stays open without a request, also where a bound leaves no room for more. */
export const shortestSlotMilliseconds = 50;
/**
 * Longest time for which a slot stays open without a request under a bound. Daemons that were idle send in all open slots
 * at once: with 200 ms, that adds a fifth of a second's requests.
 */
export const longestSlotMilliseconds = 200;

/** Longest time for which an upstream may say that it is cold. */
export const longestColdMilliseconds = 600_000;

/** Factor by which the pace of an upstream that has started grows with an answer in time. */
export const paceGrowthFactor = 2;
/** The same once a request was rejected or late, as the pace that the upstream takes is then near. */
export const paceGrowthAfterSetback = 1.5;
/** Factor that the pace is multiplied by when a request was rejected or late. */
export const paceReductionFactor = 0.5;
/** Shortest time between two steps of growth, in which the rejections of other daemons are told of. */
export const paceStepMilliseconds = 500;
/**
 * Lowest pace, as a part of the initial one. From a sixteenth, an upstream that had become sound again got less than one
 * request a second for seconds (docs/design/slow-start.md).
 */
export const lowestPaceRatio = 1 / 4;
/** Weight of the newest time to the first byte in the average of an upstream. */
export const firstByteWeight = 0.1;
/** Time after this daemon first listed upstreams; one that is added later has just started, rather than been unknown. */
export const firstListMilliseconds = 5_000;

/** Used part of the slots of the upstreams that may be sent to at which those that have started are no longer paced. */
export const crowdedRatio = 0.75;

/** Load limit of an upstream: the mean load of its service times this factor plus the allowance. */
export const loadFactor = 1.4;
/**
 * The same over all upstreams of the service while some are evacuated or cold. An upstream may hold twice that mean; the rest
 * is for requests of peers that are not known yet.
 */
export const reducedLoadFactor = 1.7;
/** Requests that an upstream may hold above the factor times the mean. */
export const loadAllowance = 2;

/** Upstreams in the rendezvous order, from the first below the load limit on, whose expected times are compared. */
export const comparedInOrder = 4;
/** Holders of the shared part of a prompt whose expected times are compared beside them. */
export const comparedHolders = 4;
/** An expected time above this multiple of the best one is much later. */
export const laterFactor = 2;
/** The same time is much later only if it also exceeds the best one by this part of the route's latency objective. */
export const laterGoalRatio = 0.15;
/** Time of a KV cache transfer: about 3 ms for 10,000 tokens, with an allowance for longer prompts. */
export const transferMilliseconds = 8;
/**
 * Shared tokens of a prompt that any engine may read although no holder is known: about 20 ms, less than a difference that
 * moves a request. Longer prompts keep the rendezvous order, so that two daemons do not read them at two engines.
 */
export const cheapTokens = 1_000;
