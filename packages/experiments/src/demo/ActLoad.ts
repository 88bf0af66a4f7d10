import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../bench/Random.js";
import type { CallerSession } from "./CallerSession.js";
import type { ActCall } from "./CallerClient.js";
import type { CallerRecords } from "./CallerRecords.js";

/** The team that submits acts and the path that they are submitted to. */
export interface ActTarget {
  readonly team: string;
  readonly path: string;
}

const submitPeriodMilliseconds = 40;
const retryDelayMilliseconds = 150;
const maxAttempts = 6;
const maxKeys = 5;
const repeatedActRatio = 0.4;

/** Submits acts until it is stopped, some of them twice concurrently through different daemons. */
export class ActLoad {
  private isStopped = false;
  private loop = Promise.resolve();
  private readonly acts: Promise<void>[] = [];

  private constructor(
    private readonly session: CallerSession,
    private readonly callerRecords: CallerRecords,
  ) {}

  /**
   * Creates a load that has not been started.
   * @param session - Session that sends the acts.
   * @param callerRecords - Records to which the outcomes of each act are added.
   */
  static create(session: CallerSession, callerRecords: CallerRecords): ActLoad {
    return new ActLoad(session, callerRecords);
  }

  /**
   * Starts to submit acts.
   * @param target - Team and path of the acts.
   * @param seed - Random seed that selects the acts that are submitted twice.
   */
  start(target: ActTarget, seed: number): void {
    this.loop = this.submitUntilStopped(target, Random.create(seed));
  }

  /** Stops submitting new acts and resolves when every act has finished. */
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

  /** Runs one act; uses a new key only after the daemon reported `not-run` for the previous one. */
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

  /** Submits an act under one key until a final outcome is reported; the last outcome counts. */
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
