import type { Instant } from "@pistachioway/kernel";
import type { FastifyReply, FastifyRequest } from "fastify";
import { Problem } from "../errors/index.js";
import type { ConfigurationIndex } from "../state/index.js";
import { getTeamOrThrow } from "./authenticate.js";
import type { CallerRequest } from "./CallerRequest.js";

/** The configuration, clock and limits that requests are validated against. */
export interface RequestContext {
  readonly getConfiguration: () => ConfigurationIndex | undefined;
  readonly getNow: () => Instant;
  /** Time until the deadline of a request that sends none. */
  readonly defaultTimeoutMilliseconds: number;
  /** Gets the time to retry at when no configuration is in force. */
  readonly getConfigurationRetryAt: () => Instant;
}

const maxDeadlineMilliseconds = 3_600_000;

/**
 * Authenticates a request and reads its deadline.
 * @param request - Request of the HTTP server.
 * @param reply - Reply to it; the request's signal is aborted when it closes before the response
 *   is complete.
 * @param id - Id assigned to the request.
 * @param context - Configuration, clock and limits.
 * @throws Problem when there is no configuration, or the token or the deadline is invalid.
 */
export function createCallerRequest(
  request: FastifyRequest,
  reply: FastifyReply,
  id: string,
  context: RequestContext,
): CallerRequest {
  const configuration = context.getConfiguration();
  if (configuration === undefined) {
    const retryAt = context.getConfigurationRetryAt();
    throw Problem.create("no-configuration", "no configuration is in force", "not-run", retryAt);
  }
  const arrivedAt = context.getNow();
  return {
    id,
    team: getTeamOrThrow(request.headers.authorization, configuration),
    configuration,
    method: request.method,
    url: request.url,
    headers: request.headers,
    body: Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0),
    arrivedAt,
    deadline: getDeadlineOrThrow(request, arrivedAt, context.defaultTimeoutMilliseconds),
    signal: createDisconnectSignal(reply),
  };
}

function getDeadlineOrThrow(
  request: FastifyRequest,
  arrivedAt: Instant,
  defaultTimeoutMilliseconds: number,
): Instant {
  const header = request.headers["x-deadline"];
  if (header === undefined) {
    return arrivedAt + defaultTimeoutMilliseconds;
  }
  const deadline = Number(header);
  if (!Number.isSafeInteger(deadline) || deadline > arrivedAt + maxDeadlineMilliseconds) {
    const allowed = "must be milliseconds since the epoch, at most an hour ahead";
    throw Problem.create("invalid-deadline", `header "x-deadline" ${allowed}`);
  }
  if (deadline <= arrivedAt) {
    throw Problem.create("deadline-exceeded", "the deadline had passed when the request arrived");
  }
  return deadline;
}

function createDisconnectSignal(reply: FastifyReply): AbortSignal {
  const abort = new AbortController();
  reply.raw.on("close", () => {
    if (!reply.raw.writableFinished) {
      abort.abort();
    }
  });
  return abort.signal;
}
