import { getBytesHash, getHash, mixHashes, type RequestContent } from "@pistachioway/kernel";
import type { ServiceRequest } from "./ServiceClient.js";

/**
 * Gets what a call of a service has in common with others: the whole of it, for one team.
 * @param request - The call.
 */
export function getCallContent({
  service,
  team,
  method,
  path,
  body,
}: Pick<ServiceRequest, "service" | "team" | "method" | "path" | "body">): RequestContent {
  const target = getHash([service, team, method, path].join(" "));
  return { whole: mixHashes(target, getBytesHash(body)), blocks: [] };
}
