/** Why this daemon refuses a request. */
export type RefusalName =
  | "no-configuration"
  | "stale-configuration"
  | "unknown-route"
  | "unknown-key"
  | "invalid-request"
  | "headers-too-large"
  | "body-too-large"
  | "no-upstream"
  | "zone-evacuated"
  | "upstreams-resting"
  | "upstreams-limited"
  | "queue-full"
  | "queue-too-long"
  | "upstreams-cold"
  | "content-quarantined"
  | "stream-version-unknown"
  | "stream-version-gone"
  | "upstream-refused"
  | "upstream-failed"
  | "deadline-exceeded"
  | "not-run-in-time"
  | "daemon-stopping"
  | "memory-used-up"
  | "internal";

/** Checks whether a text is the name of a refusal. */
export function isRefusalName(name: string): name is RefusalName {
  return Object.hasOwn(refusalResponses, name);
}

/** Checks whether a refusal promises that the request has not run and will not. */
export function isNotRun(name: RefusalName): boolean {
  return refusalResponses[name].status === unavailableStatus;
}

/** A refusal with what the caller is told of it. */
export interface Refusal {
  readonly name: RefusalName;
  /** Description that names what failed. */
  readonly detail: string;
  /** Time after which a retry may succeed, if it is known. */
  readonly retryAfterSeconds: number | undefined;
}

interface RefusalResponse {
  readonly status: number;
  /** Time after which a retry may succeed, in seconds; undefined when it will not. */
  readonly retryAfterSeconds?: number;
}

const unavailableStatus = 503;

/** Status and retry time of each refusal. Only 503 says that the request has not run. */
export const refusalResponses: Readonly<Record<RefusalName, RefusalResponse>> = {
  "no-configuration": { status: 503, retryAfterSeconds: 0.3 },
  "stale-configuration": { status: 503, retryAfterSeconds: 0.3 },
  "unknown-route": { status: 404 },
  "unknown-key": { status: 401 },
  "invalid-request": { status: 400 },
  "headers-too-large": { status: 431 },
  "body-too-large": { status: 413 },
  "no-upstream": { status: 503, retryAfterSeconds: 0.5 },
  "zone-evacuated": { status: 503, retryAfterSeconds: 0.5 },
  "upstreams-resting": { status: 503, retryAfterSeconds: 0.5 },
  "upstreams-limited": { status: 503, retryAfterSeconds: 0.5 },
  "queue-full": { status: 503, retryAfterSeconds: 0.5 },
  "queue-too-long": { status: 503, retryAfterSeconds: 0.5 },
  "upstreams-cold": { status: 503, retryAfterSeconds: 0.5 },
  "content-quarantined": { status: 503, retryAfterSeconds: 60 },
  "stream-version-unknown": { status: 503, retryAfterSeconds: 0.3 },
  "stream-version-gone": { status: 503 },
  "upstream-refused": { status: 503, retryAfterSeconds: 0.2 },
  "upstream-failed": { status: 502 },
  "deadline-exceeded": { status: 504 },
  "not-run-in-time": { status: 503, retryAfterSeconds: 0.1 },
  "daemon-stopping": { status: 503, retryAfterSeconds: 0.1 },
  "memory-used-up": { status: 503, retryAfterSeconds: 0.3 },
  internal: { status: 500 },
};
