import type { Balancer } from "./Balancer.js";
import type { CallerAnswer, CallerClient } from "./CallerClient.js";
import type { Ledger } from "./Ledger.js";

/** Sends one request to a daemon. */
export type Sending = (client: CallerClient, address: string) => Promise<CallerAnswer>;

/** Sends requests through the balancer and enters into the ledger how they end. */
export class CallerSession {
  private constructor(
    private readonly client: CallerClient,
    private readonly balancer: Balancer,
    private readonly ledger: Ledger,
  ) {}

  /**
   * Creates a session.
   * @param client - Client that sends.
   * @param balancer - Balancer that chooses the daemon.
   * @param ledger - Ledger that keeps how requests end.
   */
  static create(client: CallerClient, balancer: Balancer, ledger: Ledger): CallerSession {
    return new CallerSession(client, balancer, ledger);
  }

  /**
   * Sends a request to the next ready daemon.
   * @param send - Sends it.
   */
  async ask(send: Sending): Promise<CallerAnswer> {
    const entry = this.balancer.pick();
    if (entry === undefined) {
      return { kind: "unconnected" };
    }
    this.ledger.addInFlight(entry.name, 1);
    const answer = await send(this.client, entry.callers);
    this.ledger.addInFlight(entry.name, -1);
    if (answer.kind === "cut") {
      this.ledger.addCut(entry.name, Date.now(), answer.detail);
    }
    if (answer.kind === "problem") {
      this.ledger.addProblem(answer.name);
    }
    return answer;
  }
}
