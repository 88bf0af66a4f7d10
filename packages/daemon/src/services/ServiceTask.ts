import type { Instant } from "@pistachioway/kernel";
import type { ActTask } from "../acts/index.js";
import type { ResponseWriter } from "../callers/ResponseWriter.js";
import type { CallerRequest } from "../callers/CallerRequest.js";
import { Problem } from "../errors/index.js";
import type { AdmissionTask, RetryTask } from "../kernel/index.js";
import type { CallerQuarantine } from "../quarantine/index.js";
import type { Recorder } from "../timeline/index.js";
import { mayHaveRun, toAttemptedProblem, type AttemptFailure } from "../upstreams/index.js";
import { getActKeyOrThrow } from "./getActKey.js";
import { getCallContent } from "./getCallContent.js";
import { getForwardedHeaders } from "./headers.js";
import type { ServiceResponse, ServiceClient, ServiceRequest } from "./ServiceClient.js";
import { getServiceCallOrThrow, type ServiceCall } from "./ServiceCall.js";

/** The dependencies of the task. */
export interface ServiceDependencies {
  readonly admission: AdmissionTask;
  readonly retries: RetryTask;
  readonly acts: ActTask;
  readonly client: ServiceClient;
  readonly quarantine: CallerQuarantine;
  readonly recorder: Recorder;
  readonly createAttemptId: () => string;
  readonly wait: (until: Instant, signal: AbortSignal) => Promise<void>;
}

const costOfCall = 1;

/** Serves calls of plain services; a call that is not idempotent is run as an act. */
export class ServiceTask {
  private constructor(private readonly dependencies: ServiceDependencies) {}

  /**
   * Creates the task.
   * @param dependencies - The dependencies of the task.
   */
  static create(dependencies: ServiceDependencies): ServiceTask {
    return new ServiceTask(dependencies);
  }

  /**
   * Serves one call until its response is sent.
   * @param request - Request of the caller.
   * @param writer - Writes the response.
   * @throws Problem when the call fails.
   */
  async run(request: CallerRequest, writer: ResponseWriter): Promise<void> {
    const call = getServiceCallOrThrow(request);
    const key = getActKeyOrThrow(request);
    if (!call.isRepeatable || key !== undefined) {
      await this.dependencies.acts.submit(call, key, writer);
      return;
    }
    await this.dependencies.admission.admit(request, costOfCall);
    try {
      const { retries } = this.dependencies;
      const response = await retries.run(request.id, () => this.runAttempts(call));
      writer.sendResponse(response.status, response.headers, response.body, "complete");
    } finally {
      this.dependencies.admission.finish(request.id);
    }
  }

  private async runAttempts(call: ServiceCall): Promise<ServiceResponse> {
    let excluded: readonly string[] = [];
    let hasUnknownAttempt = false;
    for (let attempt = 1; ; attempt += 1) {
      this.checkOrThrow(call, attempt - 1);
      const host = await this.getHostOrThrow(call, excluded, hasUnknownAttempt);
      const attemptId = this.dependencies.createAttemptId();
      const response = await this.dependencies.client.send(
        toServiceRequest(call),
        call.request.id,
        attemptId,
        host,
      );
      if (response.kind === "answer") {
        return response;
      }
      this.recordFailure(call, host, response);
      hasUnknownAttempt ||= mayHaveRun(response);
      excluded = await this.waitForRetryOrThrow(call, host, response, attempt);
    }
  }

  private async getHostOrThrow(
    { service, request }: ServiceCall,
    excluded: readonly string[],
    hasUnknownAttempt: boolean,
  ): Promise<string> {
    try {
      return await this.dependencies.client.getHostOrThrow(service, excluded, request.deadline);
    } catch (error) {
      throw hasUnknownAttempt ? toAttemptedProblem(error) : error;
    }
  }

  private checkOrThrow(call: ServiceCall, attemptCount: number): void {
    const content = getCallContent(toServiceRequest(call));
    const upstreams = `service "${call.service.name}"`;
    this.dependencies.quarantine.checkOrThrow(content, upstreams, attemptCount);
  }

  /** Waits until the next attempt may start and gets the hosts that it must not use. */
  private async waitForRetryOrThrow(
    call: ServiceCall,
    host: string,
    failure: AttemptFailure,
    attempt: number,
  ): Promise<readonly string[]> {
    const decision = this.dependencies.retries.decide({
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
    await this.dependencies.wait(decision.at, call.request.signal);
    return decision.exclude;
  }

  private recordFailure(call: ServiceCall, host: string, failure: AttemptFailure): void {
    this.dependencies.recorder.record("service.attempt-failed", {
      request: call.request.id,
      service: call.service.name,
      host,
      class: failure.class,
      detail: failure.detail,
    });
  }
}

function toServiceRequest(call: ServiceCall): ServiceRequest {
  const { method, body, deadline, signal, team } = call.request;
  return {
    service: call.service.name,
    team: team.name,
    method,
    path: call.path,
    headers: getForwardedHeaders(call.request),
    body,
    deadline,
    signal,
  };
}
