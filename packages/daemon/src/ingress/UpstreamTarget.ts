import {
  applyResponseHead,
  findPrefixHolder,
  isRepeatable,
  judgeAnswer,
  type RequestApproval,
  type ResponseHead,
  type Upstream,
  type UpstreamChoice,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { Exchange, type ExchangeListener } from "../exchange/index.js";
import { getSharedBlocks, getStickyKey, type AcceptedRequest } from "./AcceptedRequest.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
import type { AttemptTarget, TargetReport } from "./AttemptTarget.js";

const maxPriority = 9;

/** An upstream to which this daemon sends a request directly. */
export class UpstreamTarget implements AttemptTarget {
  readonly description: string;
  readonly upstream: Upstream;
  private readonly entry: UpstreamEntry;
  private sentAt = -Infinity;

  private constructor(
    private readonly dependencies: ActiveRequestDependencies,
    private readonly request: AcceptedRequest,
    private readonly choice: UpstreamChoice,
  ) {
    this.entry = choice.entry;
    this.upstream = choice.entry.record;
    this.description = `upstream "${this.upstream.id}"`;
  }

  /**
   * Creates the target of one attempt.
   * @param dependencies - Dependencies of the request's processing.
   * @param request - Request to send.
   * @param choice - The upstream that was chosen for it.
   */
  static create(
    dependencies: ActiveRequestDependencies,
    request: AcceptedRequest,
    choice: UpstreamChoice,
  ): UpstreamTarget {
    return new UpstreamTarget(dependencies, request, choice);
  }

  getSoftwareVersion(): string {
    return this.upstream.softwareVersion;
  }

  isAvoided(now: number): boolean {
    return this.entry.isAvoided(now);
  }

  send(lastEventId: string | undefined, listener: ExchangeListener): Exchange {
    const { dependencies, request, entry } = this;
    const { head, approval, method, path, body, hasBody } = request;
    const { record } = entry;
    const now = dependencies.getNow();
    const isEngine = dependencies.getService(record.service)?.engine !== undefined;
    this.sentAt = now;
    entry.startRequest(now);
    entry.limit.takeSlot(now, dependencies.getLimitShare());
    entry.start.takeSlot(now);
    const headers = dependencies.codec.writeRequest(head, {
      upstream: record,
      team: approval.team,
      remainingMilliseconds: request.deadline - now,
      priority: isEngine ? getPriority(approval) : undefined,
      lastEventId,
      kvCacheSourceAddress: isEngine ? this.getKvCacheSourceAddress(now) : undefined,
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
    return Exchange.start(dependencies.pool, dependencies.codec, outgoing, listener);
  }

  recordHead(head: ResponseHead, now: number): void {
    const { upstreams, onNotices } = this.dependencies;
    onNotices(applyResponseHead(upstreams, this.entry, head, now));
    if (!head.isMisdirected) {
      this.judge(head.meaning !== "final" || head.requestedRest !== undefined, now);
    }
  }

  recordReceivedBytes(now: number): void {
    this.entry.recordReceivedBytes(now);
  }

  startStream(): void {
    this.entry.startStream();
  }

  finish(hadStream: boolean): void {
    this.entry.finishRequest(hadStream);
  }

  /**
   * An upstream that leaves may stop accepting connections before its last answers, so that only a request that can be sent
   * again is taken for broken off.
   */
  isStillServing(): Promise<boolean> {
    if (!this.entry.isInService() && !isRepeatable(this.request.approval.route)) {
      return Promise.resolve(true);
    }
    return this.dependencies.reachability.isStillServing(this.entry);
  }

  recordSuccess(): void {
    this.entry.recordSuccess();
  }

  recordFailure(now: number): void {
    this.judge(true, now);
    this.entry.recordFailure(now, this.dependencies.upstreams.getMedianFailureRate(this.entry));
  }

  recordNotSent(hasConnectFailed: boolean): void {
    if (hasConnectFailed) {
      this.dependencies.reachability.recordConnectFailure(this.entry);
    }
  }

  getRefusal(): undefined {
    return undefined;
  }

  getReport(now: number): TargetReport {
    const { id: upstream, softwareVersion: software } = this.upstream;
    const load = this.entry.getLoad(now);
    return { upstream, software, choice: this.choice.reason, load, via: "-" };
  }

  /** Applies an answer to the pace of an upstream that has started. */
  private judge(isRejected: boolean, now: number): void {
    const { sentAt, dependencies, entry, request } = this;
    const { goalMilliseconds } = request.approval.route;
    const share = dependencies.getStartShare(request.service);
    const answer = { sentAt, goalMilliseconds, isRejected };
    const notice = judgeAnswer(dependencies.upstreams, entry, answer, now, share);
    if (notice !== undefined) {
      dependencies.addFleetNotice(notice);
    }
  }

  /** Gets the address of an engine that likely has more of the prompt cached than the chosen one. */
  private getKvCacheSourceAddress(now: number): string | undefined {
    const { dependencies, entry } = this;
    const { head, service } = this.request;
    const sharedBlocks = getSharedBlocks(head);
    if (sharedBlocks.length === 0 || dependencies.getService(service)?.engine?.canFetch !== true) {
      return undefined;
    }
    const lookup = { service, stickyKey: getStickyKey(head), sharedBlocks, now };
    const holder = findPrefixHolder(dependencies, lookup, entry, this.choice.preferred);
    const block = sharedBlocks.at(-1);
    if (dependencies.prefixes.addHolder(sharedBlocks, entry, now) && block !== undefined) {
      dependencies.addFleetNotice({ kind: "prefix", block, upstream: entry.hash, at: now });
    }
    return holder?.record.address;
  }
}

function getPriority({ route, team }: RequestApproval): number {
  return Math.min(maxPriority, team?.priority ?? route.priority);
}
