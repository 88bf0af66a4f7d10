/** Upstreams that must have ended under a content before it is quarantined. */
export const minLostUpstreams = 3;
/** Requests with the content that must have been lost: one that is repeated proves less than several. */
export const minLostRequests = 2;
/** Requests up to which more of them make one content more suspect than another. */
export const maxCountedRequests = 3;
/** Time over which losses are counted together. */
export const lossWindowMilliseconds = 600_000;
/** Losses this soon after a success are not counted: the content was served a moment before. */
export const recentSuccessMilliseconds = 10_000;
/** Time from the first byte of an answer after which the upstream has withstood the prompt. */
export const withstoodMilliseconds = 1_000;
/** Time of the first quarantine of a content, which may be a sound one that was lost beside the cause. */
export const firstQuarantineMilliseconds = 20_000;
/** Time of the second quarantine, after one more loss; it doubles with each further one. */
export const secondQuarantineMilliseconds = 300_000;
export const longestQuarantineMilliseconds = 3_600_000;
/** Time from the last loss of a quarantined content until contents that are alike are tried: peers' losses arrive meanwhile. */
export const minTrialWaitMilliseconds = 1_000;
/** Ratio of its release delay by which a daemon waits longer than that, so that daemons try one after another. */
export const trialDelayRatio = 1 / 3;
/** Bounds on what a daemon remembers. */
export const maxSuspects = 4_096;
export const maxServedContents = 16_384;
export const maxLossesPerContent = 16;
