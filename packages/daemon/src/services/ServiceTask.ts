import type { Instant } from "@pistachioway/kernel";
import type { ActTask } from "../acts/index.js";
import type { ResponseWriter } from "../callers/ResponseWriter.js";
import type { CallerRequest } from "../callers/CallerRequest.js";
import { Problem } from "../errors/index.js";
import type { AdmissionTask, RetryTask } from "../kernel/index.js";
import type { Recorder } from "../timeline/index.js";
import type { AttemptFailure } from "../upstreams/index.js";
import { getForwardedHeaders } from "./headers.js";
import type { ServiceResponse, ServiceClient, ServiceRequest } from "./ServiceClient.js";
import { getServiceCallOrThrow, type ServiceCall } from "./ServiceCall.js";

/** What the task works with. */
export interface ServiceDependencies {
  readonly admission: AdmissionTask;
  readonly retries: RetryTask;
  readonly acts: ActTask;
  readonly client: ServiceClient;
  readonly recorder: Recorder;
  readonly createAttemptId: () => string;
  readonly wait: (until: Instant, signal: AbortSignal) => Promise<void>;
}

const costOfCall = 1;

/** Serves calls of plain services; a call that is not idempotent is run as an act. */
export class ServiceTask {
  private constructor(private readonly parts: ServiceDependencies) {}

  /**
   * Creates the task.
   * @param parts - What the task works with.
   */
  static create(parts: ServiceDependencies): ServiceTask {
    return new ServiceTask(parts);
  }

  /**
   * Serves one call to its end.
   * @param request - Request of the caller.
   * @param sink - Where the answer goes.
   * @throws Problem when the call was given up on.
   */
  async run(request: CallerRequest, sink: ResponseWriter): Promise<void> {
    const call = getServiceCallOrThrow(request);
    const key = request.headers["idempotency-key"];
    if (!call.isRepeatable || key !== undefined) {
      await this.parts.acts.submit(call, key === undefined ? undefined : String(key), sink);
      return;
    }
    await this.parts.admission.admit(request, costOfCall);
    try {
      const answer = await this.runAttempts(call);
      sink.sendResponse(answer.status, answer.headers, answer.body, "complete");
    } finally {
      this.parts.admission.finish(request.id);
    }
  }

  private async runAttempts(call: ServiceCall): Promise<ServiceResponse> {
    this.parts.retries.start(call.request.id);
    let excluded: readonly string[] = [];
    for (let attempt = 1; ; attempt += 1) {
      const { deadline } = call.request;
      const host = await this.parts.client.getHostOrThrow(call.service, excluded, deadline);
      const attemptId = this.parts.createAttemptId();
      const answer = await this.parts.client.send(toServiceRequest(call), attemptId, host);
      if (answer.kind === "answer") {
        this.parts.retries.finish(call.request.id);
        return answer;
      }
      this.recordFailure(call, host, answer);
      excluded = await this.waitForRetryOrThrow(call, host, answer, attempt);
    }
  }

  /** Waits for the next attempt and gets the hosts that it must not go to. */
  private async waitForRetryOrThrow(
    call: ServiceCall,
    host: string,
    failure: AttemptFailure,
    attempt: number,
  ): Promise<readonly string[]> {
    const decision = this.parts.retries.decide({
      requestId: call.request.id,
      class: failure.class,
      host,
      attempt,
      repeatable: true,
      firstByteSent: false,
      deadline: call.request.deadline,
    });
    if (decision.kind !== "retry") {
      const detail = `service host "${host}": ${failure.detail}`;
      const outcome = decision.kind === "giveUp" ? decision.outcome : "unknown";
      throw Problem.create(
        "upstream-failed",
        detail,
        outcome,
        decision.kind === "giveUp" ? decision.retryAt : decision.at,
      );
    }
    await this.parts.wait(decision.at, call.request.signal);
    return decision.exclude;
  }

  private recordFailure(call: ServiceCall, host: string, failure: AttemptFailure): void {
    this.parts.recorder.record("service.attempt-failed", {
      request: call.request.id,
      service: call.service.name,
      host,
      class: failure.class,
      detail: failure.detail,
    });
  }
}

function toServiceRequest(call: ServiceCall): ServiceRequest {
  const { method, body, deadline, signal } = call.request;
  return {
    method,
    path: call.path,
    headers: getForwardedHeaders(call.request),
    body,
    deadline,
    signal,
  };
}
