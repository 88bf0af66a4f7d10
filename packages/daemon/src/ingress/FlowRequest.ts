import type { RequestHead, RequestApproval } from "@pistachioway/kernel";

/** A request that passed the checks, with its whole body. */
export interface FlowRequest {
  readonly head: RequestHead;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly hasBody: boolean;
  readonly pass: RequestApproval;
  readonly service: string;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** Monotonic time by which the caller has its whole answer, or its refusal. */
  readonly deadline: number;
}

/**
 * Gets the part of the prompt that a chat's requests share: the last but the request's own.
 * @param head - Head of the request.
 */
export function getStickyKey({ promptBlocks: promptParts }: RequestHead): string | undefined {
  return (promptParts.at(-2) ?? promptParts.at(-1))?.id;
}

/**
 * Gets the ids of the parts of the prompt that other requests may share, in order.
 * @param head - Head of the request.
 */
export function getSharedParts({ promptBlocks: promptParts }: RequestHead): readonly string[] {
  const shared = promptParts.length > 1 ? promptParts.slice(0, -1) : promptParts;
  return shared.map(({ id }) => id);
}
