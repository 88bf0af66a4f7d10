import { getAnswerMeaning, type MemberState, type ResponseHead } from "@pistachioway/kernel";
import type { IncomingHttpHeaders } from "node:http";
import {
  Exchange,
  type ConnectionPool,
  type EndEvidence,
  type ExchangeListener,
} from "../exchange/index.js";
import type { AcceptedRequest, AttemptTarget, TargetReport } from "../ingress/index.js";
import {
  decodeForwardedResponse,
  encodeHead,
  forwardedRequestHeader,
  forwardedResponseHeader,
  forwardingPath,
  type ForwardedRefusal,
  type ForwardedRequest,
  type ForwardedResponse,
} from "./messages.js";

/** What a peer as target depends on. */
export interface PeerTargetOptions {
  readonly peer: MemberState;
  readonly request: AcceptedRequest;
  readonly pool: ConnectionPool;
  /** Creates the head of the message to the peer. */
  readonly createHead: (lastEventId: string | undefined) => ForwardedRequest;
  /** Counts a request in flight through the peer, and its end. */
  readonly onStart: () => void;
  readonly onFinish: () => void;
  /** Receives the id of an upstream that announced that it leaves. */
  readonly onLeaving: (upstream: string) => void;
  /** Receives that the peer did not take the request. */
  readonly onRefused: (reason: string) => void;
}

const unavailableStatus = 503;

/** A peer that passes a request on to an upstream, because this daemon reaches none by itself. */
export class PeerTarget implements AttemptTarget {
  readonly description: string;
  readonly upstream = undefined;
  private response: ForwardedResponse | undefined;

  private constructor(private readonly options: PeerTargetOptions) {
    this.description = `peer "${options.peer.name}"`;
  }

  /**
   * Creates the target of one attempt.
   * @param options - The peer, the request and how to send it.
   */
  static create(options: PeerTargetOptions): PeerTarget {
    return new PeerTarget(options);
  }

  getSoftwareVersion(): string | undefined {
    return this.response?.kind === "answer" ? this.response.softwareVersion : undefined;
  }

  isAvoided(): boolean {
    return false;
  }

  getSilenceLimit(): number {
    return 0;
  }

  isRepeatSooner(): boolean {
    return true;
  }

  getRefusal(): ForwardedRefusal | undefined {
    return this.response?.kind === "refusal" ? this.response : undefined;
  }

  send(lastEventId: string | undefined, listener: ExchangeListener): Exchange {
    const { peer, request, pool, createHead, onStart } = this.options;
    onStart();
    const head = encodeHead(createHead(lastEventId));
    const outgoing = {
      address: peer.address,
      requestId: request.head.id,
      method: "POST",
      path: forwardingPath,
      headers: [forwardedRequestHeader, head, "content-length", String(request.body.length)],
      body: request.body.length > 0 ? request.body : undefined,
    };
    const codec = {
      readResponse: (_status: number, headers: IncomingHttpHeaders, sentId: string) =>
        this.readResponse(headers, sentId),
    };
    return Exchange.start(pool, codec, outgoing, this.createListener(listener));
  }

  /** The peer has recorded what the head says of its upstream; that it leaves binds this daemon as well. */
  recordHead(head: ResponseHead): void {
    if (head.isLeaving && this.response?.kind === "answer") {
      this.options.onLeaving(this.response.upstream);
    }
  }

  recordReceivedBytes(): void {
    // The counts of the upstream are the peer's.
  }

  startStream(): void {
    // The counts of the upstream are the peer's.
  }

  finish(): void {
    this.options.onFinish();
  }

  watchProcess(): void {
    // The peer watches the process of the upstream.
  }

  /** What a peer passes on has a length or chunks; the peer has checked the end of the upstream's answer. */
  checkProcess(): Promise<EndEvidence> {
    return Promise.resolve("peer");
  }

  recordSuccess(): void {
    // The counts of the upstream are the peer's.
  }

  recordFailure(): void {
    // The peer records failures of the upstream.
  }

  recordNotSent(): void {
    this.options.onRefused(this.getRefusal()?.name ?? "unreachable");
  }

  getReport(): TargetReport {
    const { peer } = this.options;
    const answer = this.response?.kind === "answer" ? this.response : undefined;
    const upstream = answer?.upstream ?? "-";
    const software = answer?.softwareVersion ?? "-";
    return { upstream, software, choice: "peer", load: 0, via: peer.name };
  }

  private readResponse(headers: IncomingHttpHeaders, sentId: string): ResponseHead {
    const text = headers[forwardedResponseHeader];
    this.response = decodeForwardedResponse(Array.isArray(text) ? text[0] : text);
    const { response } = this;
    const answer = response?.kind === "answer" ? response : undefined;
    // A refusal between daemons has no status; it means what this one means to callers.
    const status = answer?.status ?? unavailableStatus;
    const requestId = getAnsweredId(response, sentId);
    const notRunStatements = getNotRunStatements(response);
    return {
      status,
      requestId,
      isMisdirected: false,
      meaning: getAnswerMeaning({ status, notRunStatements, answeredId: requestId, sentId }),
      notRunStatements,
      load: undefined,
      isLeaving: answer?.isLeaving ?? false,
      requestedRest: undefined,
      statedLimit: undefined,
      coldMilliseconds: undefined,
      isFramed: answer?.isFramed ?? true,
      passedHeaders: answer?.passedHeaders ?? [],
    };
  }

  /** Reports a refusal of the peer as a failure of the attempt, unless upstreams have refused the request. */
  private createListener(listener: ExchangeListener): ExchangeListener {
    const getFailure = (): ForwardedRefusal | undefined => {
      const refusal = this.getRefusal();
      return refusal?.end === "refused" ? undefined : refusal;
    };
    return {
      ...listener,
      onHead: (head) => {
        if (getFailure() === undefined) {
          listener.onHead(head);
        }
      },
      onEnd: () => {
        const failure = getFailure();
        if (failure === undefined) {
          listener.onEnd();
        } else {
          const end = failure.end === "lost" ? "lost" : "notSent";
          listener.onFailure({
            end,
            detail: failure.detail,
            hasConnectFailed: false,
            wasClosedByUpstream: false,
          });
        }
      },
    };
  }
}

/** Gets the id that a response names; empty when it is no message of a peer. */
function getAnsweredId(response: ForwardedResponse | undefined, sentId: string): string {
  // Earlier builds name no request in their refusals.
  return response === undefined ? "" : (response.requestId ?? sentId);
}

/** Gets what a refusal states of the request: a peer that may have run it states nothing. */
function getNotRunStatements(response: ForwardedResponse | undefined): readonly string[] {
  const isNotRun = response?.kind === "refusal" && response.end !== "lost";
  return isNotRun ? [response.end] : [];
}
