import type { AttemptResult, HeaderField, Service } from "@pistachioway/kernel";
import type { RetryTask } from "../kernel/index.js";
import type { CallerQuarantine } from "../quarantine/index.js";
import { getCallContent } from "../services/getCallContent.js";
import type { ServiceResponse, ServiceClient } from "../services/ServiceClient.js";
import type { AttemptFailure } from "../upstreams/index.js";
import type { ActCall } from "./schema.js";

/** The result of sending an act once. */
export interface SendResult {
  readonly result: AttemptResult;
  /** True when another host can receive the act, in case it certainly did not run on this one. */
  readonly hasOtherHost: boolean;
}

/** Sends acts to hosts of their service. */
export class ActSender {
  private readonly triedHosts = new Map<string, string[]>();

  private constructor(
    private readonly client: ServiceClient,
    private readonly retries: RetryTask,
    private readonly quarantine: CallerQuarantine,
    private readonly getService: (name: string) => Service | undefined,
  ) {}

  /**
   * Creates a sender.
   * @param client - Client of the services.
   * @param retries - Decides whether an act may be sent again within the retry budget.
   * @param quarantine - Keeps acts that crash hosts from the other hosts.
   * @param getService - Gets a service of the configuration in force.
   */
  static create(
    client: ServiceClient,
    retries: RetryTask,
    quarantine: CallerQuarantine,
    getService: (name: string) => Service | undefined,
  ): ActSender {
    return new ActSender(client, retries, quarantine, getService);
  }

  /**
   * Sends an act once. The act continues when its caller disconnects.
   * @param call - Call of the service.
   * @param actId - Id of the act.
   * @param attemptId - Id of the attempt, echoed by the host.
   * @param key - Key of the act, passed to the service.
   */
  async send(call: ActCall, actId: string, attemptId: string, key: string): Promise<SendResult> {
    const host = await this.getHost(call, actId);
    if (host === undefined) {
      return { result: { kind: "never-sent" }, hasOtherHost: false };
    }
    const tried = this.addTriedHost(actId, host);
    if (tried.length === 1) {
      this.retries.start(actId);
    }
    const headers = { ...call.headers, "idempotency-key": key };
    const response = await this.client.send({ ...call, headers }, actId, attemptId, host);
    if (response.kind === "answer") {
      return { result: { kind: "answered", answer: toActAnswer(response) }, hasOtherHost: false };
    }
    return await this.toFailedResult(call, actId, host, response);
  }

  /**
   * Forgets the attempts of an act that is not sent again.
   * @param actId - Id of the act.
   */
  finish(actId: string): void {
    this.triedHosts.delete(actId);
    this.retries.finish(actId);
  }

  private async toFailedResult(
    call: ActCall,
    actId: string,
    host: string,
    failure: AttemptFailure,
  ): Promise<SendResult> {
    const decision = this.retries.decide({
      requestId: actId,
      class: failure.class,
      host,
      attempt: this.triedHosts.get(actId)?.length ?? 1,
      repeatable: false,
      firstByteSent: false,
      deadline: call.deadline,
    });
    const nextHost = decision.kind === "retry" ? await this.getHost(call, actId) : undefined;
    return { result: toAttemptResult(failure), hasOtherHost: nextHost !== undefined };
  }

  /** Gets a host that may receive an act; undefined also when the act has crashed hosts. */
  private async getHost(call: ActCall, actId: string): Promise<string | undefined> {
    if (this.quarantine.isQuarantined(getCallContent(call))) {
      return undefined;
    }
    const service = this.getService(call.service);
    const tried = this.triedHosts.get(actId) ?? [];
    return service === undefined
      ? undefined
      : await this.client.getHost(service, tried, call.deadline);
  }

  private addTriedHost(actId: string, host: string): string[] {
    const tried = [...(this.triedHosts.get(actId) ?? []), host];
    this.triedHosts.set(actId, tried);
    return tried;
  }
}

function toAttemptResult(failure: AttemptFailure): AttemptResult {
  switch (failure.class) {
    case "neverSent":
      return { kind: "never-sent" };
    case "refused":
      return { kind: "refused-by-upstream" };
    default:
      return { kind: "lost" };
  }
}

function toActAnswer(response: ServiceResponse): {
  status: number;
  headers: HeaderField[];
  body: Uint8Array;
} {
  const headers = Object.entries(response.headers).map(([name, value]) => ({ name, value }));
  return { status: response.status, headers, body: response.body };
}
