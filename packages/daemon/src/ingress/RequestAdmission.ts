import type { QueuedRequest, ResponseHead } from "@pistachioway/kernel";
import { getRequestPriority, type AcceptedRequest } from "./AcceptedRequest.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
import type { AdmissionListener } from "./AdmissionQueues.js";
import type { Refusal } from "./refusals.js";
import type { StreamOrigin } from "./StreamOrigin.js";

/** Time before its deadline in which a request is not sent any more, since no answer would come in time. */
const minServiceMilliseconds = 30;

/** The wait of one request for its first attempt, and what its attempts tell the queue of its service. */
export class RequestAdmission {
  /** The request in the queue; undefined for one that does not pass it. */
  private queued: QueuedRequest | undefined;
  private waitStartedAt: number | undefined;
  private waitedMilliseconds = 0;
  private sentAt = 0;
  private isStopped = false;

  private constructor(
    private readonly dependencies: ActiveRequestDependencies,
    private readonly request: AcceptedRequest,
  ) {}

  /**
   * Creates the admission of a request.
   * @param dependencies - Dependencies of the request's processing.
   * @param request - The request.
   */
  static create(
    dependencies: ActiveRequestDependencies,
    request: AcceptedRequest,
  ): RequestAdmission {
    return new RequestAdmission(dependencies, request);
  }

  /**
   * Waits until it is known where the stream began that the request may resume, and until there is room for it. Three
   * kinds do not wait for room: requests of a service that is not work-aware, those from a peer, at which they have
   * waited, and those that resume a stream.
   * @param origin - Finds out where the stream began.
   * @param listener - Called once, unless the wait is stopped before.
   */
  wait(origin: StreamOrigin, listener: AdmissionListener): void {
    const { admission } = this.dependencies;
    const { service, forwarded, head } = this.request;
    const isExempt = forwarded !== undefined || head.lastEventId !== undefined;
    const mayWait = !isExempt && admission.isUsedFor(service);
    if (!mayWait) {
      this.addToRetryBudget();
    }
    origin.find((refusal) => {
      if (this.isStopped) {
        return;
      }
      if (mayWait && refusal === undefined) {
        this.waitForRoom(listener);
      } else {
        listener(refusal);
      }
    });
  }

  /** Ends the wait, and frees the request's place in the queue. */
  stop(): void {
    this.isStopped = true;
    if (this.queued !== undefined) {
      this.dependencies.admission.remove(this.request.service, this.queued);
    }
    this.endWait();
  }

  /** Gets the time for which the request waited; 0 if it did not. */
  getWaitedMilliseconds(): number {
    return this.waitedMilliseconds;
  }

  /** Records that an attempt is sent. */
  recordSend(now: number): void {
    this.sentAt = now;
  }

  /** Records the first bytes of an attempt's response. */
  recordHead({ meaning }: ResponseHead): void {
    if (this.queued !== undefined && meaning === "final") {
      const { priority } = this.queued;
      this.dependencies.admission.recordFirstByte(this.request.service, priority, this.sentAt);
    }
  }

  /**
   * Records the end of an attempt, which leaves room for requests that wait.
   * @param isComplete - Whether its response was received whole.
   */
  recordEnd(isComplete: boolean): void {
    const { admission } = this.dependencies;
    const { service } = this.request;
    if (this.queued !== undefined && isComplete) {
      admission.recordEnd(service, this.queued.priority, this.sentAt);
    }
    if (admission.isUsedFor(service)) {
      admission.advanceSoon(service);
    }
  }

  private waitForRoom(listener: AdmissionListener): void {
    const { dependencies, request } = this;
    this.waitStartedAt = dependencies.getNow();
    this.queued = createQueuedRequest(request);
    dependencies.admission.add(request.service, this.queued, (unsent) => {
      this.endWait();
      const refusal = unsent ?? this.createLateRefusal();
      if (refusal === undefined) {
        this.addToRetryBudget();
      }
      listener(refusal);
    });
  }

  /** Refuses a request whose key was revoked, or whose configuration grew too old, while it waited. */
  private createLateRefusal(): Refusal | undefined {
    if (this.waitedMilliseconds === 0) {
      return undefined;
    }
    const { head, path } = this.request;
    const identity = { authority: head.authority, path, key: head.key };
    const decision = this.dependencies.checkRequest(identity);
    return decision.kind === "pass"
      ? undefined
      : {
          name: decision.reason,
          detail: `${head.authority}${path} after its wait`,
          retryAfterSeconds: undefined,
        };
  }

  /** A request that is refused instead of waiting earns no retries, since it brings the upstreams no work. */
  private addToRetryBudget(): void {
    const { retryBudgets, getNow } = this.dependencies;
    const { forwarded, service } = this.request;
    if (forwarded === undefined) {
      retryBudgets.get(service).addRequest(getNow());
    }
  }

  private endWait(): void {
    if (this.waitStartedAt !== undefined) {
      this.waitedMilliseconds = this.dependencies.getNow() - this.waitStartedAt;
      this.waitStartedAt = undefined;
    }
  }
}

function createQueuedRequest({
  approval,
  arrivedAt,
  body,
  deadline,
  head,
}: AcceptedRequest): QueuedRequest {
  const { team, route } = approval;
  return {
    priority: getRequestPriority(approval),
    team: team?.name ?? "",
    cost: Math.max(1, (head.tokens?.prompt ?? 0) + (head.tokens?.maxOutput ?? 0)),
    bytes: body.length,
    arrivedAt,
    goalAt: arrivedAt + route.goalMilliseconds,
    sendBy: deadline - minServiceMilliseconds,
  };
}
