import type { FastifyRequest } from "fastify";
import { getKeyedActProblem } from "../acts/index.js";
import type { Problem } from "../errors/index.js";

const servicesPath = "/v1/services/";

/**
 * Gets the problem as a caller gets it. Without a key the outcome is that of the request, which the
 * daemon knows. With a key it is that of the act: until the key was looked up, the act may have run.
 * @param problem - Why the request failed.
 * @param request - Request of the HTTP server.
 */
export function getCallerProblem(problem: Problem, request: FastifyRequest): Problem {
  const hasKey = request.headers["idempotency-key"] !== undefined;
  return hasKey && mayBeAct(request) && problem.subject === "request"
    ? getKeyedActProblem(problem)
    : problem;
}

/** Checks whether a request may be one for an act: all but those for another known path. */
function mayBeAct({ routeOptions }: FastifyRequest): boolean {
  return routeOptions.url?.startsWith(servicesPath) ?? true;
}
