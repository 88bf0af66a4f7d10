import type { ActiveRequestOutcome } from "@pistachioway/daemon";
import type { LogLine } from "./parseLogLine.js";

/** The cause of a request's outcome, and what to check next. */
export interface OutcomeExplanation {
  readonly cause: string;
  readonly advice: string;
}

const explanations: Readonly<Record<ActiveRequestOutcome, OutcomeExplanation>> = {
  "no-configuration": {
    cause: "The router had not received a configuration yet; the request has not run.",
    advice: "Check whether the router had just started, and its log for registry.lost.",
  },
  "stale-configuration": {
    cause:
      "The router could not confirm its configuration in time, so an unknown route or key may be " +
      "new and a known key may be revoked; the request has not run.",
    advice:
      "registry.lost on all routers points to the registry, on this router only to its network.",
  },
  "unknown-route": {
    cause: "No route of the configuration in force matches the host and path.",
    advice: "Compare its version with the published one.",
  },
  "unknown-key": {
    cause: "No team of the configuration in force has this key.",
    advice: "Check whether a version published near this time removed the key.",
  },
  "invalid-request": {
    cause: "The request is malformed.",
    advice: "See detail; the caller has to be corrected.",
  },
  "headers-too-large": {
    cause: "The headers exceed the limit of the configuration.",
    advice: "See the limits in the configuration.",
  },
  "body-too-large": {
    cause: "The body exceeds the limit of the configuration.",
    advice: "See the limits in the configuration.",
  },
  answered: {
    cause: "The caller received the complete response of the upstream.",
    advice: "See status; an error status was sent by the upstream itself.",
  },
  abandoned: {
    cause: "The caller disconnected before the response was complete.",
    advice: "See first and milliseconds for how long the caller had waited.",
  },
  broken: {
    cause: "The upstream broke off its response, and the request must not run again.",
    advice: "Check the upstream near this time.",
  },
  "cut-at-deadline": {
    cause: "The response had started but was not complete at the deadline.",
    advice: "Check the load of the upstream and the timeout of the route.",
  },
  "cut-at-stop": {
    cause: "The response had started but was not complete when the router ended its service.",
    advice: "See daemon.stopping: the router was stopped; callers resume elsewhere.",
  },
  "daemon-stopping": {
    cause:
      "The request was complete too late in a planned stop to be answered before the exit; it has not run.",
    advice: "See daemon.stopping; if callers came long after it, check the load balancer.",
  },
  "memory-used-up": {
    cause:
      "The bodies of requests and answers in flight left no memory for this one; it has not run.",
    advice:
      "See pistachioway_kept_bytes and answer.unbounded: a faulty upstream, or callers with large bodies.",
  },
  "deadline-exceeded": {
    cause:
      "No response arrived before the deadline, or before the router stopped; the request may have run.",
    advice:
      "A load near 0 with upstream.silent points to the host or network, a high load to capacity.",
  },
  "not-run-in-time": {
    cause: "No upstream accepted the request before its deadline; it has not run.",
    advice: "Check refusals, and `router status` for upstreams that are avoided.",
  },
  "zone-evacuated": {
    cause: "Every upstream of the service is in a zone that is evacuated; the request has not run.",
    advice:
      "See router status for the evacuated zones; end the evacuation or start upstreams elsewhere.",
  },
  "no-upstream": {
    cause:
      "The service had no upstream that the router reached, by itself or through a peer; the request has not run.",
    advice: "Check the log for service.unreached, request.peer-refused and upstream.gone.",
  },
  "upstreams-resting": {
    cause:
      "Each upstream of the service that could serve asked the router for no requests for a time; " +
      "the request has not run.",
    advice:
      "See upstream.resting: the service needs more capacity, or its upstreams limit routers.",
  },
  "upstreams-limited": {
    cause:
      "Each upstream of the service that could serve is at the limit of requests that it named.",
    advice: "See upstream.limited: the service needs more capacity.",
  },
  "queue-full": {
    cause:
      "More requests waited for the service than the router keeps; this one was the last of them.",
    advice: "See pistachioway_waiting_requests: the service needs more capacity.",
  },
  "queue-too-long": {
    cause: "The request's turn would have come too late for its deadline; it has not run.",
    advice: "See pistachioway_waiting_requests: the service needs more capacity.",
  },
  "upstreams-cold": {
    cause:
      "Each upstream of the service that could serve has just started and takes few requests; " +
      "the request has not run.",
    advice: "See upstream.cold: start upstreams one after the other, or keep some in other zones.",
  },
  "content-quarantined": {
    cause: "Several upstreams crashed one after another on this request or a block of its prompt.",
    advice:
      "See attempt.lost for its content and blocks, and find out why upstreams do not bear it.",
  },
  "stream-version-unknown": {
    cause: "The caller resumed a stream, and no router knew at which software version it began.",
    advice: "See resumes and age: the routers that kept it were restarted or cut off.",
  },
  "stream-version-gone": {
    cause: "The caller resumed a stream whose software version no upstream of the service has.",
    advice: "See upstream.gone: keep engines of a version until its streams have ended.",
  },
  "upstream-refused": {
    cause: "Each upstream that was tried refused the request and reported that it has not run.",
    advice: "Check load: the service needs more capacity, or some upstreams are being removed.",
  },
  internal: {
    cause: "The router had an internal error; the request may have run.",
    advice: "Check the log for daemon.fault near this time, and report it.",
  },
  "upstream-failed": {
    cause:
      "The connection to the upstream failed after the request was sent; the request may have run.",
    advice:
      "See detail. Failures at several routers point to the upstream, at one router to the network path to it.",
  },
};

const isKnownOutcome = (name: string): name is ActiveRequestOutcome =>
  Object.hasOwn(explanations, name);

const unknownOutcome: OutcomeExplanation = {
  cause: "The logs contain no final line of the request.",
  advice: "Check the log for log.dropped, and whether the router was killed meanwhile.",
};

/**
 * Explains the outcome in the last log line of a request.
 * @param line - Last line of the request.
 */
export function explainOutcome({ event, fields }: LogLine): OutcomeExplanation {
  const isEnd = event === "request.refused" || event === "request.finished";
  const name = String(fields.outcome ?? fields.reason);
  return isEnd && isKnownOutcome(name) ? explanations[name] : unknownOutcome;
}
