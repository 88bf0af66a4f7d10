import type { Instant, Service } from "@pistachioway/kernel";
import type { Dispatcher } from "undici";
import { Problem } from "../errors/index.js";
import type { HostDirectory, HostSender } from "../kernel/index.js";
import { hasMatchingDigest, type AttemptFailure } from "../upstreams/index.js";
import type { CallerQuarantine } from "../quarantine/index.js";
import { getCallContent } from "./getCallContent.js";
import { getEndToEndHeaders } from "./headers.js";

/** A complete response of a service. */
export interface ServiceResponse {
  readonly kind: "answer";
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** A request to a host of a service. */
export interface ServiceRequest {
  /** Name of the service. */
  readonly service: string;
  /** Team of the caller. */
  readonly team: string;
  readonly method: string;
  /** Path and query below the service. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly deadline: Instant;
  /**
   * Aborted when the caller disconnects; absent for a request that continues without its caller.
   */
  readonly signal?: AbortSignal;
}

const maxResponseBytes = 8_388_608;
const firstErrorStatus = 400;
const retryAfterMilliseconds = 2_000;

/** Sends calls to the hosts of plain services and balances them over the hosts. */
export class ServiceClient {
  private readonly runningByHost = new Map<string, number>();
  private roundRobinCounter = 0;

  private constructor(
    private readonly sender: HostSender,
    private readonly hosts: HostDirectory,
    private readonly quarantine: CallerQuarantine,
    private readonly getNow: () => Instant,
  ) {}

  /**
   * Creates a client.
   * @param sender - Sends to hosts by name.
   * @param hosts - Directory with the states of the hosts.
   * @param quarantine - Keeps calls that crash hosts from the other hosts.
   * @param getNow - Reads the clock.
   */
  static create(
    sender: HostSender,
    hosts: HostDirectory,
    quarantine: CallerQuarantine,
    getNow: () => Instant,
  ): ServiceClient {
    return new ServiceClient(sender, hosts, quarantine, getNow);
  }

  /**
   * Gets the host of a service with the fewest calls running from this daemon.
   * @param service - Service that is called.
   * @param excluded - Hosts that must not be used.
   * @param deadline - When to stop waiting for the state of the hosts.
   */
  async getHost(
    service: Service,
    excluded: readonly string[],
    deadline: Instant,
  ): Promise<string | undefined> {
    const names = service.hosts.map((host) => host.name).filter((name) => !excluded.includes(name));
    const usable = await this.hosts.getUsable(names, deadline);
    return this.getLeastBusy(usable.map((host) => host.name));
  }

  /**
   * Gets the host of a service as `getHost` does.
   * @throws Problem `no-upstream` when no host can be used.
   */
  async getHostOrThrow(
    service: Service,
    excluded: readonly string[],
    deadline: Instant,
  ): Promise<string> {
    const host = await this.getHost(service, excluded, deadline);
    if (host === undefined) {
      const retryAt = this.getNow() + retryAfterMilliseconds;
      const detail = `service "${service.name}" has no host that takes work`;
      throw Problem.create("no-upstream", detail, "not-run", retryAt);
    }
    return host;
  }

  /** Gets the host with the fewest running calls; ties are broken round-robin. */
  private getLeastBusy(names: readonly string[]): string | undefined {
    const least = Math.min(...names.map((name) => this.getRunningCount(name)));
    const tied = names.filter((name) => this.getRunningCount(name) === least);
    this.roundRobinCounter += 1;
    return tied[this.roundRobinCounter % tied.length];
  }

  /**
   * Sends a call to a host and reads the whole response.
   * @param request - Request to send.
   * @param requestId - Id of the caller's request or of the act.
   * @param attemptId - Id of the attempt, echoed by the host.
   * @param host - Name of the host.
   */
  async send(
    request: ServiceRequest,
    requestId: string,
    attemptId: string,
    host: string,
  ): Promise<ServiceResponse | AttemptFailure> {
    this.runningByHost.set(host, this.getRunningCount(host) + 1);
    try {
      const response = await this.sendOnce(request, attemptId, host);
      this.recordEvidence(request, requestId, host, response);
      return response;
    } finally {
      this.runningByHost.set(host, this.getRunningCount(host) - 1);
    }
  }

  private recordEvidence(
    request: ServiceRequest,
    requestId: string,
    upstream: string,
    response: ServiceResponse | AttemptFailure,
  ): void {
    const content = getCallContent(request);
    if (response.kind === "failure") {
      if (request.signal?.aborted === true) {
        return;
      }
      this.quarantine.recordFailure({ content, upstream, requestId, failure: response });
    } else if (response.status < firstErrorStatus) {
      this.quarantine.recordAnswer(content);
    }
  }

  private getRunningCount(host: string): number {
    return this.runningByHost.get(host) ?? 0;
  }

  private async sendOnce(
    request: ServiceRequest,
    attemptId: string,
    host: string,
  ): Promise<ServiceResponse | AttemptFailure> {
    const response = await this.sender.send(host, {
      attemptId,
      method: request.method as Dispatcher.HttpMethod,
      path: request.path,
      headers: request.headers,
      body: request.body.length === 0 ? undefined : request.body,
      deadline: request.deadline,
      signal: request.signal,
    });
    if (response.kind === "failure") {
      return response;
    }
    const body = await response.readBody(maxResponseBytes);
    if (body === undefined || !hasMatchingDigest(response.headers, body)) {
      const detail = "the answer was cut off or mixed with another";
      return { kind: "failure", class: "lost", detail, isLeaving: false };
    }
    const headers = getEndToEndHeaders(response.headers);
    return { kind: "answer", status: response.status, headers, body };
  }
}
