import {
  findPrefixHolder,
  type ResponseHead,
  type RequestApproval,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { Exchange, type ExchangeListener } from "../exchange/index.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
import { getSharedBlocks, getStickyKey, type AcceptedRequest } from "./AcceptedRequest.js";

const maxPriority = 9;

/** One send of a request to one upstream. */
export class Attempt {
  /** Head of the answer, once it has come. */
  head: ResponseHead | undefined;
  /** When the last bytes came, or the request was sent; monotonic milliseconds. */
  lastReceivedAt = 0;
  private isStream = false;
  private readonly chunks: Buffer[] = [];
  private keptBytes = 0;
  private exchange: Exchange | undefined;

  private constructor(readonly entry: UpstreamEntry) {}

  /**
   * Creates an attempt that is not sent yet.
   * @param entry - Upstream that it goes to.
   */
  static create(entry: UpstreamEntry): Attempt {
    return new Attempt(entry);
  }

  /**
   * Sends the request.
   * @param dependencies - What the flow works with.
   * @param request - Request to send.
   * @param preferred - Upstream that likely holds the prompt's prefix, when it is another one.
   * @param lastEventId - Id of the last event that the caller has.
   * @param listener - Hears of the answer.
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

  /** Tells whether the request may have reached the upstream. */
  mayHaveRun(): boolean {
    return this.exchange?.mayHaveRun() ?? false;
  }

  /**
   * Keeps bytes of an answer that is passed on whole.
   * @param chunk - Bytes of its body.
   * @returns Bytes kept so far.
   */
  keepChunk(chunk: Buffer): number {
    this.chunks.push(chunk);
    this.keptBytes += chunk.length;
    return this.keptBytes;
  }

  /** Gets the body that was kept. */
  getBody(): Buffer {
    return Buffer.concat(this.chunks);
  }

  /** Notes bytes of the answer. */
  recordReceivedBytes(now: number): void {
    this.lastReceivedAt = now;
    this.entry.recordReceivedBytes(now);
  }

  /** Notes that the answer is a stream. */
  startStream(): void {
    this.isStream = true;
    this.entry.startStream();
  }

  /** Counts the end of the attempt. */
  finish(): void {
    this.entry.finishRequest(this.isStream);
  }

  /** Gives the request up, which tells the upstream. */
  cancel(): void {
    this.exchange?.cancel();
  }

  /** Stops reading the answer until resumed. */
  pause(): void {
    this.exchange?.pause();
  }

  /** Reads on. */
  resume(): void {
    this.exchange?.resume();
  }

  /** Gets the address of an engine that likely holds more of the prompt than the chosen one. */
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
    dependencies.prefixes.addHolder(sharedBlocks, this.entry, now);
    return holder?.record.address;
  }
}

function getPriority({ route, team }: RequestApproval): number {
  return Math.min(maxPriority, team?.priority ?? route.priority);
}
