import type { Instant } from "@pistachioway/kernel";
import {
  sendAttempt,
  type AttemptResponse,
  type AttemptFailure,
  type AttemptRequest,
  type Connections,
} from "../upstreams/index.js";
import type { HostDirectory } from "./HostDirectory.js";

/** Sends attempts to upstream hosts by name, and reports each result to the host directory. */
export class HostSender {
  private constructor(
    private readonly connections: Connections,
    private readonly hosts: HostDirectory,
    private readonly getNow: () => Instant,
  ) {}

  /**
   * Creates a sender.
   * @param connections - Connections to the upstreams.
   * @param hosts - Directory that has the addresses and receives the results of the attempts.
   * @param getNow - Reads the clock.
   */
  static create(connections: Connections, hosts: HostDirectory, getNow: () => Instant): HostSender {
    return new HostSender(connections, hosts, getNow);
  }

  /** False only in a test that switches the validation of responses off. */
  get checksResponses(): boolean {
    return this.connections.checksResponses;
  }

  /**
   * Sends an attempt to a host.
   * @param host - Name of the host.
   * @param request - Request to send.
   */
  async send(
    host: string,
    request: Omit<AttemptRequest, "address">,
  ): Promise<AttemptResponse | AttemptFailure> {
    const address = this.hosts.getAddress(host);
    if (address === undefined) {
      const detail = `host "${host}" has no address`;
      return { kind: "failure", class: "neverSent", detail, isLeaving: false };
    }
    const answer = await sendAttempt(this.connections, { ...request, address }, this.getNow);
    this.hosts.addObservation(host, answer, request.signal?.aborted ?? false);
    return answer;
  }
}
