/**
 * Upper bound of expected times and of the bound of silence. An upstream that does not answer is found within this time
 * even if the estimate is wrong.
 */
export const longestExpectedMilliseconds = 5_000;

/** Time for which a reported slowdown is used; it changes by turns of about that length. */
export const slowdownLifetimeMilliseconds = 600;
/** Slowdowns outside this range are taken for errors. */
export const smallestSlowdown = 0.25;
export const largestSlowdown = 20;

/** Prompts with at least this many unread tokens show the reading speed; the noise of a first byte is small against them. */
export const longPromptTokens = 4_000;
/** Prompts with fewer unread tokens show the fixed part of the time to the first byte. */
export const shortPromptTokens = 500;
/** Samples of a service that are kept, of long and of short prompts each. */
export const keptSamples = 32;
/** Samples from which on an estimate is made. */
export const neededSamples = 3;
/**
 * Quantile of the samples that is used. Queues of other daemons and slowdowns that were not reported only lengthen samples;
 * the few that a change of the slowdown has shortened lie below the quantile.
 */
export const sampleQuantile = 0.25;
/** Milliseconds per token below which a prompt was cached although this daemon did not know: 200 tokens a millisecond. */
export const shortestMillisecondsPerToken = 0.005;
/** Factor by which the reported slowdown may change while a prompt is read for its time to be used as a sample. */
export const steadySlowdownRatio = 1.25;
/** Fixed part of the time to the first byte until it is known. */
export const firstFixedMilliseconds = 30;
/** Weight of the newest request in the mean of unread tokens. */
export const unreadWeight = 0.1;

/**
 * Multiple of the expected time after which an upstream is silent. It covers a host that is 2.5 times as slow and has not
 * said so yet.
 */
export const silenceRatio = 3;
/** Multiple of the fixed bounds of silence that is not exceeded until the reading speed is known. */
export const unknownSilenceRatio = 3;
/** Reading speed by which the bound of silence is set until one is known: that of a slow engine. */
export const assumedMillisecondsPerToken = 0.05;
/**
 * Requests of other daemons that are assumed to be read before a request, since this daemon does not know of them; each
 * counts with the mean unread tokens of its own requests. In a cold start, 300 prompts for 42 engines make queues of this length.
 */
export const assumedQueuedRequests = 4;
/** Time for which the lateness of a first byte tells of other requests of the service. */
export const latenessLifetimeMilliseconds = 1_000;
/**
 * Time for which first bytes that came tell of the queues of the service. A daemon of 66 sees 4 a second, so that a shorter
 * time would leave too few.
 */
export const answeredLatenessLifetimeMilliseconds = 3_000;
/** Quantile of their lateness that the bound of silence allows for: queues differ much from engine to engine. */
export const latenessQuantile = 0.9;
/** First bytes from which on their lateness counts. */
export const neededLatenessAnswers = 2;
/**
 * Time for which requests that an upstream did not answer count against it. A daemon of 66 sends to one of 42 engines once in
 * ten seconds.
 */
export const givenUpLifetimeMilliseconds = 20_000;
/** Other upstreams of which the lateness must be known before a service counts as late. */
export const neededLatenessUpstreams = 2;
/** Wait for the head of a response after which a repeat is useful while the reading speed is unknown. */
export const unknownRepeatMilliseconds = 2_100;
