import type { Balancer } from "./Balancer.js";
import type { CallerAnswer, CallerClient } from "./CallerClient.js";
import type { CallerRecords } from "./CallerRecords.js";

/** Sends one request to a daemon. */
export type SendRequest = (client: CallerClient, address: string) => Promise<CallerAnswer>;

/** Sends requests through the balancer and records their results. */
export class CallerSession {
  private constructor(
    private readonly client: CallerClient,
    private readonly balancer: Balancer,
    private readonly callerRecords: CallerRecords,
  ) {}

  /**
   * Creates a session.
   * @param client - Client that sends the requests.
   * @param balancer - Balancer that picks the daemon.
   * @param callerRecords - Records to which the results are added.
   */
  static create(
    client: CallerClient,
    balancer: Balancer,
    callerRecords: CallerRecords,
  ): CallerSession {
    return new CallerSession(client, balancer, callerRecords);
  }

  /**
   * Sends a request to the next ready daemon.
   * @param send - Sends the request to the picked daemon.
   */
  async send(send: SendRequest): Promise<CallerAnswer> {
    const daemon = this.balancer.pick();
    if (daemon === undefined) {
      return { kind: "unconnected" };
    }
    this.callerRecords.addInFlight(daemon.name, 1);
    const answer = await send(this.client, daemon.callers);
    this.callerRecords.addInFlight(daemon.name, -1);
    if (answer.kind === "cut") {
      this.callerRecords.addCut(daemon.name, Date.now(), answer.detail);
    }
    if (answer.kind === "problem") {
      this.callerRecords.addProblem(answer.name);
    }
    return answer;
  }
}
