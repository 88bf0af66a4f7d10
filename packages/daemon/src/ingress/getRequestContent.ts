import { getBytesHash, getHash, mixHashes, type RequestContent } from "@pistachioway/kernel";
import { getSharedBlockIds, getSharedBlocks, type AcceptedRequest } from "./AcceptedRequest.js";

/**
 * Gets what a request has in common with others: all that an upstream receives of it, but for what differs
 * each time that its caller sends it again, and the shared blocks of its prompt. Both are hashed with the
 * service, as another one may bear what crashes this one.
 * @param request - The request.
 */
export function getRequestContent({
  service,
  method,
  head,
  path,
  approval,
  body,
}: Omit<AcceptedRequest, "content">): RequestContent {
  const target = [service, method, head.authority, path, approval.team?.name ?? ""];
  const shared = getSharedBlockIds(head);
  const serviceHash = getHash(service);
  return {
    whole: mixHashes(getHash([...target, ...shared].join(" ")), getBytesHash(body)),
    blocks: getSharedBlocks(head).map((block) => mixHashes(serviceHash, block)),
  };
}
