import { getBytesHash, getHash, mixHashes } from "@pistachioway/kernel";
import type { AcceptedRequest } from "./AcceptedRequest.js";

/**
 * Gets a hash of all that an upstream receives of a request, without what differs each time that a
 * caller sends it again: by service, the method, authority, path, team and body.
 * @param request - The request.
 */
export function getContentHash({
  service,
  method,
  head,
  path,
  approval,
  body,
}: Omit<AcceptedRequest, "contentHash">): number {
  const target = [service, method, head.authority, path, approval.team?.name ?? ""];
  return mixHashes(getHash(target.join(" ")), getBytesHash(body));
}
