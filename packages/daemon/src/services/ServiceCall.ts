import type { Service } from "@pistachioway/kernel";
import type { CallerRequest } from "../callers/CallerRequest.js";
import { Problem } from "../errors/index.js";

/** A call of a plain service. */
export interface ServiceCall {
  readonly request: CallerRequest;
  readonly service: Service;
  /** Path and query below the service. */
  readonly path: string;
  /** True when the call is idempotent, so that it may be retried. */
  readonly isRepeatable: boolean;
}

const pathPattern = /^\/v1\/services\/([^/?]+)(\/[^?]*)(\?.*)?$/;

/**
 * Gets the service that a request calls, and whether the call is idempotent.
 * @param request - Request of the caller.
 * @throws Problem `unknown-service` when the configuration has no such service.
 */
export function getServiceCallOrThrow(request: CallerRequest): ServiceCall {
  const [, name = "", path = "/", query = ""] = pathPattern.exec(request.url) ?? [];
  const service = request.configuration.getService(decodeName(name));
  if (service === undefined) {
    throw Problem.create("unknown-service", `service "${name}" is not in the configuration`);
  }
  const isRepeatable = request.configuration.isRepeatable(service, request.method, path);
  return { request, service, path: path + query, isRepeatable };
}

function decodeName(name: string): string {
  try {
    return decodeURIComponent(name);
  } catch {
    return name;
  }
}
