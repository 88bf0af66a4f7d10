import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../bench/Random.js";
import type { CallerSession } from "./CallerSession.js";
import type { ActCall } from "./CallerClient.js";
import type { CallerRecords } from "./CallerRecords.js";

/** Where acts go. */
export interface ActTarget {
  readonly team: string;
  readonly path: string;
}

const submitPeriodMilliseconds = 40;
const retryDelayMilliseconds = 150;
const maxAttempts = 6;
const maxKeys = 5;
const repeatedActRatio = 0.4;

/** Acts that are submitted, some again and at once through other daemons, until told to stop. */
export class ActLoad {
  private isStopped = false;
  private loop = Promise.resolve();
  private readonly acts: Promise<void>[] = [];

  private constructor(
    private readonly session: CallerSession,
    private readonly callerRecords: CallerRecords,
  ) {}

  /**
   * Creates a load that has not started.
   * @param session - Session that sends the acts.
   * @param callerRecords - Ledger that keeps what was told of each.
   */
  static create(session: CallerSession, callerRecords: CallerRecords): ActLoad {
    return new ActLoad(session, callerRecords);
  }

  /**
   * Starts to submit acts.
   * @param target - Where they go.
   * @param seed - Seed that decides which are submitted twice at once.
   */
  start(target: ActTarget, seed: number): void {
    this.loop = this.submitUntilStopped(target, Random.create(seed));
  }

  /** Ends the submitting and resolves when every act has ended. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.loop;
    await Promise.all(this.acts);
  }

  private async submitUntilStopped(target: ActTarget, random: Random): Promise<void> {
    for (let number = 0; !this.isStopped; number++) {
      const body = JSON.stringify({ note: number });
      this.acts.push(this.runAct(target, body, random.getUniform() < repeatedActRatio));
      await delay(submitPeriodMilliseconds);
    }
  }

  /** Runs one act: a new key is taken only after the old one was told not to have run. */
  private async runAct(target: ActTarget, body: string, isRepeated: boolean): Promise<void> {
    const keys: { key: string; outcomes: string[] }[] = [];
    while (keys.length < maxKeys && !this.isConcluded(keys.at(-1)?.outcomes)) {
      const key = await this.requestKey(target.team);
      if (key === undefined) {
        break;
      }
      const outcomes = await this.submitKey({ ...target, key, body }, isRepeated);
      keys.push({ key, outcomes });
    }
    this.callerRecords.acts.push({ body, keys });
  }

  private isConcluded(outcomes: readonly string[] | undefined): boolean {
    return outcomes !== undefined && outcomes.at(-1) !== "not-run";
  }

  private async requestKey(team: string): Promise<string | undefined> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
      const answer = await this.session.send((client, address) =>
        client.requestActKey(address, team),
      );
      if (answer.kind === "whole") {
        return answer.content;
      }
      await delay(retryDelayMilliseconds);
    }
    return undefined;
  }

  /** Submits a key until its end is told; the last outcome is the one that counts. */
  private async submitKey(call: ActCall, isRepeated: boolean): Promise<string[]> {
    const outcomes = isRepeated ? await this.submitTwice(call) : [];
    for (let attempt = 0; attempt < maxAttempts && !isFinal(outcomes.at(-1)); attempt++) {
      outcomes.push(await this.submit(call));
      if (!isFinal(outcomes.at(-1))) {
        await delay(retryDelayMilliseconds);
      }
    }
    return outcomes;
  }

  private submitTwice(call: ActCall): Promise<string[]> {
    return Promise.all([this.submit(call), this.submit(call)]);
  }

  private async submit(call: ActCall): Promise<string> {
    const answer = await this.session.send((client, address) => client.submitAct(address, call));
    return answer.kind === "whole" || answer.kind === "problem" ? answer.outcome : answer.kind;
  }
}

function isFinal(outcome: string | undefined): boolean {
  return outcome === "complete" || outcome === "not-run";
}
