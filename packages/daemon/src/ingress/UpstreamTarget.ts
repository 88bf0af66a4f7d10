import {
  applyAnswerToPace,
  applyResponseHead,
  findPrefixHolder,
  findPrefixSource,
  getRequestWork,
  type PlacedWork,
  type RequestApproval,
  type RequestWork,
  type ResponseHead,
  type Upstream,
  type UpstreamChoice,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import {
  Exchange,
  type AnswerTimes,
  type EndEvidence,
  type ExchangeListener,
  type ProcessWatchUse,
} from "../exchange/index.js";
import {
  getRequestPriority,
  getSharedBlocks,
  getSourceLookup,
  getStickyKey,
  type AcceptedRequest,
} from "./AcceptedRequest.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
import type { AttemptTarget, TargetReport } from "./AttemptTarget.js";
import { chooseRequestUpstream, type AttemptConstraints } from "./chooseRequestUpstream.js";
import { firstErrorStatus, PromptReading } from "./PromptReading.js";

/** Highest priority value that upstreams tell apart. */
const maxPriority = 9;
/** Where upstreams are asked for their health if their service names no path; any answer will do. */
const defaultHealthPath = "/";
/** Time that an upstream may let a question for its health wait. */
const healthTimeoutMilliseconds = 500;

/** An upstream to which this daemon sends a request directly. */
export class UpstreamTarget implements AttemptTarget {
  readonly description: string;
  readonly upstream: Upstream;
  private readonly entry: UpstreamEntry;
  /** Work of the request at the upstream, once it is sent. */
  private work: RequestWork | undefined;
  /** Undefined where the service is not placed by work, or its engines cannot fetch. */
  private reading: PromptReading | undefined;
  private sentAt = -Infinity;
  /** Watch of the upstream's process, while only that can vouch for the end of the answer. */
  private process: ProcessWatchUse | undefined;

  private constructor(
    private readonly dependencies: ActiveRequestDependencies,
    private readonly request: AcceptedRequest,
    private readonly choice: UpstreamChoice,
    private readonly constraints: AttemptConstraints,
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
   * @param constraints - What the next attempt must not or may only use, by the attempts so far.
   */
  static create(
    dependencies: ActiveRequestDependencies,
    request: AcceptedRequest,
    choice: UpstreamChoice,
    constraints: AttemptConstraints,
  ): UpstreamTarget {
    return new UpstreamTarget(dependencies, request, choice, constraints);
  }

  getSoftwareVersion(): string {
    return this.upstream.softwareVersion;
  }

  isAvoided(now: number): boolean {
    return this.entry.isAvoided(now);
  }

  getSilenceLimit(now: number): number {
    return this.dependencies.workEstimator.getSilenceLimit(this.entry, now) ?? 0;
  }

  isRepeatSooner(now: number): boolean {
    const { dependencies, request, entry, work } = this;
    const { workEstimator } = dependencies;
    if (work === undefined || !workEstimator.isWorkAware(request.service)) {
      return true;
    }
    const current = { entry, work };
    return workEstimator.isRepeatSooner(current, this.getNext(now), request.deadline, now);
  }

  send(lastEventId: string | undefined, listener: ExchangeListener): Exchange {
    const { dependencies, request, entry } = this;
    const { head, approval, method, path, body, hasBody } = request;
    const { record } = entry;
    const now = dependencies.getNow();
    const isEngine = dependencies.getService(record.service)?.engine !== undefined;
    if (isEngine || dependencies.workEstimator.isWorkAware(record.service)) {
      this.work = this.getWork(this.choice, now);
      dependencies.workEstimator.startWork(entry, this.work, now);
    }
    this.sentAt = now;
    entry.startRequest(now);
    entry.limit.takeSlot(now, dependencies.getLimitShare());
    entry.start.takeSlot(now);
    const headers = dependencies.codec.writeRequest(head, {
      upstream: record,
      team: approval.team,
      remainingMilliseconds: request.deadline - now,
      priority: isEngine ? getSentPriority(approval) : undefined,
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
    const { upstreams, workEstimator, onNotices } = this.dependencies;
    this.reading?.recordHead(head, now);
    onNotices(applyResponseHead(upstreams, this.entry, head, now, workEstimator));
    if (this.work !== undefined && head.meaning === "final" && head.status < firstErrorStatus) {
      workEstimator.recordFirstByte(this.entry, this.work, now);
    }
    if (!head.isMisdirected) {
      this.applyToPace(head.meaning !== "final" || head.requestedRest !== undefined, now);
    }
  }

  recordReceivedBytes(now: number): void {
    this.entry.recordReceivedBytes(now);
  }

  startStream(): void {
    this.entry.startStream();
  }

  finish(hadStream: boolean): void {
    const { workEstimator, getNow } = this.dependencies;
    if (this.work !== undefined) {
      workEstimator.endWork(this.entry, this.work, getNow());
    }
    this.reading?.end();
    this.process?.release();
    this.entry.finishRequest(hadStream);
  }

  watchProcess(): void {
    const { dependencies, entry } = this;
    const path = dependencies.getService(entry.record.service)?.healthPath ?? defaultHealthPath;
    const headers = dependencies.codec.writeHealthRequest(healthTimeoutMilliseconds);
    this.process = dependencies.reachability.watchProcess(entry, { path, headers });
  }

  async checkProcess(times: AnswerTimes): Promise<EndEvidence> {
    const { dependencies, entry, process } = this;
    if (process === undefined || entry.restartedAt >= times.startedAt) {
      return "replaced";
    }
    const evidence = await process.watch.check(times, (headers) => {
      const id = dependencies.codec.readUpstreamId(headers);
      return id === undefined || id === entry.record.id;
    });
    dependencies.reachability.recordEvidence(entry, evidence);
    return evidence;
  }

  recordSuccess(): void {
    this.entry.recordSuccess();
  }

  recordFailure(now: number): void {
    this.applyToPace(true, now);
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
    const source = this.reading && { source: this.reading.source.kind };
    return { upstream, software, choice: this.choice.reason, ...source, load, via: "-" };
  }

  /** Gets the upstream that the request would be sent to after this one, and its work there. */
  private getNext(now: number): PlacedWork | undefined {
    const { dependencies, request, upstream, constraints } = this;
    const excluded = new Set([...constraints.excluded, upstream.id]);
    const choice = chooseRequestUpstream(dependencies, request, { ...constraints, excluded });
    return choice && { entry: choice.entry, work: this.getWork(choice, now) };
  }

  /** Gets the work of the request at an upstream, which may fetch what another one has cached. */
  private getWork({ entry, preferred }: UpstreamChoice, now: number): RequestWork {
    const { dependencies, request } = this;
    const isFetchPlanned =
      dependencies.workEstimator.isWorkAware(request.service) && this.canFetch();
    const source = isFetchPlanned
      ? findPrefixSource(dependencies, getSourceLookup(request, now), entry, preferred).entry
      : undefined;
    const holders = source === undefined ? [entry] : [entry, source];
    return getRequestWork(dependencies.prefixes, request.head, holders, now);
  }

  /** Checks whether the engines of the service can fetch cached blocks from one another. */
  private canFetch(): boolean {
    return this.dependencies.getService(this.request.service)?.engine?.canFetch === true;
  }

  /** Applies an answer to the pace of the upstream, if it has started or recovered a short while ago. */
  private applyToPace(isRejected: boolean, now: number): void {
    const { sentAt, dependencies, entry, request } = this;
    const { goalMilliseconds } = request.approval.route;
    const share = dependencies.getStartShare(request.service);
    const answer = { sentAt, goalMilliseconds, isRejected };
    const notice = applyAnswerToPace(dependencies.upstreams, entry, answer, now, share);
    if (notice !== undefined) {
      dependencies.addFleetNotice(notice);
    }
  }

  /** Gets the address of an engine that likely has more of the prompt cached than the chosen one. */
  private getKvCacheSourceAddress(now: number): string | undefined {
    const { dependencies, entry } = this;
    const { head, service } = this.request;
    const sharedBlocks = getSharedBlocks(head);
    if (sharedBlocks.length === 0 || !this.canFetch()) {
      return undefined;
    }
    if (dependencies.workEstimator.isWorkAware(service)) {
      this.reading = PromptReading.start(dependencies, this.request, this.choice, now);
      return this.reading.source.entry?.record.address;
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

function getSentPriority(approval: RequestApproval): number {
  return Math.min(maxPriority, getRequestPriority(approval));
}
