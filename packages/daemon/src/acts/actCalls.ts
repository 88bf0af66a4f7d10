import { createHash } from "node:crypto";
import { getForwardedHeaders } from "../services/headers.js";
import type { ServiceCall } from "../services/ServiceCall.js";
import type { ActCall } from "./schema.js";

/**
 * Gets the call of an act.
 * @param call - Call of a service, as its caller sent it.
 */
export function toActCall(call: ServiceCall): ActCall {
  const { request, service, path } = call;
  return {
    team: request.team.name,
    service: service.name,
    method: request.method,
    path,
    headers: getForwardedHeaders(request),
    body: request.body,
    deadline: request.deadline,
  };
}

/**
 * Hashes the team and the request, to detect the reuse of a key by another team or request.
 * @param call - Call of the act.
 */
export function getFingerprint(call: ActCall): string {
  const hash = createHash("sha256");
  hash.update(JSON.stringify([call.team, call.service, call.method, call.path]));
  return hash.update(call.body).digest("base64url");
}
