import {
  getHash,
  getSharedPromptBlocks,
  type RequestContent,
  type RequestHead,
  type RequestApproval,
  type SourceLookup,
} from "@pistachioway/kernel";

/** What a peer told about a request that it forwarded, because it reaches no upstream of the service. */
export interface ForwardedContext {
  /** Name of the peer. */
  readonly sender: string;
  /** Only software version whose upstreams may serve it; undefined for any. */
  readonly softwareVersion: string | undefined;
  /** Id of the last event that the caller has received; the head may have an earlier one. */
  readonly lastEventId: string | undefined;
  /** Ids of upstreams that the request was sent to before. */
  readonly triedUpstreams: readonly string[];
}

/** A request that passed the checks, with its complete body. */
export interface AcceptedRequest {
  readonly head: RequestHead;
  readonly method: string;
  readonly path: string;
  readonly body: Buffer;
  readonly hasBody: boolean;
  readonly approval: RequestApproval;
  /** Name of the service whose upstreams it is sent to. */
  readonly service: string;
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedAt: number;
  /** What it has in common with others, for the quarantine of contents that crash upstreams. */
  readonly content: RequestContent;
  /** Monotonic time by which the caller must have its complete response or a refusal. */
  readonly deadline: number;
  /** Undefined for a request that came from its caller. */
  readonly forwarded: ForwardedContext | undefined;
}

/** Length up to which ids that callers name are repeated in log lines and responses, in characters. */
const maxNamedIdLength = 64;

/**
 * Gets the start of the id of the request that began the stream which a request resumes.
 * @param head - Head of the request.
 * @returns Undefined when the caller names none.
 */
export function getResumedIdStart({ resumedRequestId }: RequestHead): string | undefined {
  return resumedRequestId?.slice(0, maxNamedIdLength);
}

/**
 * Gets the id of the last event of the stream that the caller had received before a request.
 * @param request - The request.
 */
export function getReceivedEventId({ forwarded, head }: AcceptedRequest): string | undefined {
  return forwarded?.lastEventId ?? head.lastEventId;
}

/**
 * Gets the priority of a request, from 0, the most urgent: that of its team, else that of its route.
 * @param approval - Approval of the request.
 */
export function getRequestPriority({ team, route }: RequestApproval): number {
  return team?.priority ?? route.priority;
}

/**
 * Gets the id of the last prompt block that the requests of a chat share: the one before the
 * request's own block, or the only block.
 * @param head - Head of the request.
 */
export function getStickyKey({ promptBlocks }: RequestHead): string | undefined {
  return (promptBlocks.at(-2) ?? promptBlocks.at(-1))?.id;
}

/**
 * Gets the ids of the prompt blocks that other requests may share, in order.
 * @param head - Head of the request.
 */
export function getSharedBlockIds(head: RequestHead): readonly string[] {
  return getSharedPromptBlocks(head).map(({ id }) => id);
}

/**
 * Gets the tokens of the prompt blocks that other requests may share, in order.
 * @param head - Head of the request.
 */
export function getSharedBlockTokens(head: RequestHead): readonly number[] {
  return getSharedPromptBlocks(head).map(({ tokens }) => tokens);
}

/**
 * Gets what the source of the shared part of a request's prompt is found by.
 * @param request - The request.
 * @param now - Monotonic time in milliseconds.
 */
export function getSourceLookup(
  { head, service }: Pick<AcceptedRequest, "head" | "service">,
  now: number,
): SourceLookup {
  return {
    service,
    stickyKey: getStickyKey(head),
    sharedBlocks: getSharedBlocks(head),
    sharedBlockTokens: getSharedBlockTokens(head),
    now,
  };
}

/**
 * Gets the hashes of the ids of the prompt blocks that other requests may share, in order.
 * @param head - Head of the request.
 */
export function getSharedBlocks(head: RequestHead): readonly number[] {
  return getSharedBlockIds(head).map(getHash);
}
