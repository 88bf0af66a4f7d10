import {
  findPrefixHolder,
  type ResponseHead,
  type RequestApproval,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { Exchange, type ExchangeListener } from "../exchange/index.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
import { EventBoundary } from "./EventBoundary.js";
import { getSharedBlocks, getStickyKey, type AcceptedRequest } from "./AcceptedRequest.js";

const maxPriority = 9;

/** One attempt to send a request to one upstream. */
export class Attempt {
  /** Response head, once it has been received. */
  head: ResponseHead | undefined;
  /** When bytes were last received, or else when the request was sent; monotonic milliseconds. */
  lastReceivedAt = 0;
  /** When the first byte of the body was received; monotonic milliseconds. */
  firstBodyByteAt: number | undefined;
  private isStreaming = false;
  private readonly boundary = EventBoundary.create();
  private readonly chunks: Buffer[] = [];
  private keptBytes = 0;
  private exchange: Exchange | undefined;

  private constructor(readonly entry: UpstreamEntry) {}

  /**
   * Creates an attempt that is not sent yet.
   * @param entry - Upstream that the request is sent to.
   */
  static create(entry: UpstreamEntry): Attempt {
    return new Attempt(entry);
  }

  /**
   * Sends the request.
   * @param dependencies - Dependencies of the request's processing.
   * @param request - Request to send.
   * @param preferred - Upstream that likely has the prompt's prefix cached, when it is another one.
   * @param lastEventId - Id of the last event that the caller has received.
   * @param listener - Receives the response or the failure.
   */
  send(
    dependencies: ActiveRequestDependencies,
    request: AcceptedRequest,
    preferred: UpstreamEntry | undefined,
    lastEventId: string | undefined,
    listener: ExchangeListener,
  ): void {
    const { head, approval, method, path, body, hasBody } = request;
    const { record } = this.entry;
    const now = dependencies.getNow();
    const isEngine = dependencies.getService(record.service)?.engine !== undefined;
    this.entry.startRequest(now);
    this.entry.limit.takeSlot(now, dependencies.getLimitShare());
    this.lastReceivedAt = now;
    const headers = dependencies.codec.writeRequest(head, {
      upstream: record,
      team: approval.team,
      remainingMilliseconds: request.deadline - now,
      priority: isEngine ? getPriority(approval) : undefined,
      lastEventId,
      kvCacheSourceAddress: isEngine
        ? this.getKvCacheSourceAddress(dependencies, request, preferred, now)
        : undefined,
      bodyBytes: body.length,
      hasBody,
    });
    const outgoing = {
      address: record.address,
      requestId: head.id,
      method,
      path,
      headers,
      body: hasBody ? body : undefined,
    };
    this.exchange = Exchange.start(dependencies.pool, dependencies.codec, outgoing, listener);
  }

  /** Checks whether the request may have reached the upstream. */
  mayHaveRun(): boolean {
    return this.exchange?.mayHaveRun() ?? false;
  }

  /**
   * Keeps bytes of a response that is sent to the caller only when it is complete.
   * @param chunk - Bytes of its body.
   * @returns Number of bytes kept so far.
   */
  keepChunk(chunk: Buffer): number {
    this.chunks.push(chunk);
    this.keptBytes += chunk.length;
    return this.keptBytes;
  }

  /** Gets the kept body. */
  getBody(): Buffer {
    return Buffer.concat(this.chunks);
  }

  /** Records that bytes of the response were received. */
  recordReceivedBytes(now: number): void {
    this.lastReceivedAt = now;
    this.entry.recordReceivedBytes(now);
  }

  /**
   * Records that bytes of the response's body were received.
   * @param chunk - The bytes.
   * @param now - Time of their arrival.
   */
  recordBody(chunk: Buffer, now: number): void {
    this.firstBodyByteAt ??= now;
    this.boundary.push(chunk);
    this.recordReceivedBytes(now);
  }

  /**
   * Checks whether a stream was broken off although its connection was closed in order: without
   * framing only an incomplete event shows it.
   */
  isBrokenOff(): boolean {
    return this.isStreaming && this.head?.isFramed === false && !this.boundary.isAtEnd();
  }

  /** Records that the response is a stream. */
  startStream(): void {
    this.isStreaming = true;
    this.entry.startStream();
  }

  /** Records the end of the attempt in the upstream's counts. */
  finish(): void {
    this.entry.finishRequest(this.isStreaming);
  }

  /** Cancels the request by closing its connection, which the upstream notices. */
  cancel(): void {
    this.exchange?.cancel();
  }

  /** Stops reading the response until resumed. */
  pause(): void {
    this.exchange?.pause();
  }

  /** Continues to read the response. */
  resume(): void {
    this.exchange?.resume();
  }

  /** Gets the address of an engine that likely has more of the prompt cached than the chosen one. */
  private getKvCacheSourceAddress(
    dependencies: ActiveRequestDependencies,
    request: AcceptedRequest,
    preferred: UpstreamEntry | undefined,
    now: number,
  ): string | undefined {
    const { head, service } = request;
    const sharedBlocks = getSharedBlocks(head);
    if (sharedBlocks.length === 0 || dependencies.getService(service)?.engine?.canFetch !== true) {
      return undefined;
    }
    const lookup = { service, stickyKey: getStickyKey(head), sharedBlocks, now };
    const holder = findPrefixHolder(dependencies, lookup, this.entry, preferred);
    const block = sharedBlocks.at(-1);
    if (dependencies.prefixes.addHolder(sharedBlocks, this.entry, now) && block !== undefined) {
      dependencies.addFleetNotice({ kind: "prefix", block, upstream: this.entry.hash, at: now });
    }
    return holder?.record.address;
  }
}

function getPriority({ route, team }: RequestApproval): number {
  return Math.min(maxPriority, team?.priority ?? route.priority);
}
