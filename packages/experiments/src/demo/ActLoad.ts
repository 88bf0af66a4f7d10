import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../bench/Random.js";
import type { CallerSession } from "./CallerSession.js";
import type { ActCall } from "./CallerClient.js";
import type { Ledger } from "./Ledger.js";

/** Where acts go. */
export interface ActKind {
  readonly team: string;
  readonly path: string;
}

const periodMilliseconds = 40;
const retryMilliseconds = 150;
const maxTries = 6;
const maxKeys = 5;
const repeatedShare = 0.4;

/** Acts that are submitted, some again and at once through other daemons, until told to stop. */
export class ActLoad {
  private isStopped = false;
  private loop = Promise.resolve();
  private readonly acts: Promise<void>[] = [];

  private constructor(
    private readonly session: CallerSession,
    private readonly ledger: Ledger,
  ) {}

  /**
   * Creates a load that has not started.
   * @param session - Session that sends the acts.
   * @param ledger - Ledger that keeps what was told of each.
   */
  static create(session: CallerSession, ledger: Ledger): ActLoad {
    return new ActLoad(session, ledger);
  }

  /**
   * Starts to submit acts.
   * @param kind - Where they go.
   * @param seed - Seed that decides which are submitted twice at once.
   */
  start(kind: ActKind, seed: number): void {
    this.loop = this.submitUntilStopped(kind, Random.create(seed));
  }

  /** Ends the submitting and resolves when every act has ended. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.loop;
    await Promise.all(this.acts);
  }

  private async submitUntilStopped(kind: ActKind, random: Random): Promise<void> {
    for (let number = 0; !this.isStopped; number++) {
      const body = JSON.stringify({ note: number });
      this.acts.push(this.runAct(kind, body, random.getUniform() < repeatedShare));
      await delay(periodMilliseconds);
    }
  }

  /** Runs one act: a new key is taken only after the old one was told not to have run. */
  private async runAct(kind: ActKind, body: string, isRepeated: boolean): Promise<void> {
    const keys: { key: string; outcomes: string[] }[] = [];
    while (keys.length < maxKeys && !this.isConcluded(keys.at(-1)?.outcomes)) {
      const key = await this.mint(kind.team);
      if (key === undefined) {
        break;
      }
      const outcomes = await this.submitKey({ ...kind, key, body }, isRepeated);
      keys.push({ key, outcomes });
    }
    this.ledger.acts.push({ body, keys });
  }

  private isConcluded(outcomes: readonly string[] | undefined): boolean {
    return outcomes !== undefined && outcomes.at(-1) !== "not-run";
  }

  private async mint(team: string): Promise<string | undefined> {
    for (let tries = 0; tries < maxTries; tries++) {
      const answer = await this.session.ask((client, address) => client.mint(address, team));
      if (answer.kind === "whole") {
        return answer.content;
      }
      await delay(retryMilliseconds);
    }
    return undefined;
  }

  /** Submits a key until its end is told; the last outcome is the one that counts. */
  private async submitKey(call: ActCall, isRepeated: boolean): Promise<string[]> {
    const outcomes = isRepeated ? await this.submitTwice(call) : [];
    for (let tries = 0; tries < maxTries && !isFinal(outcomes.at(-1)); tries++) {
      outcomes.push(await this.submit(call));
      if (!isFinal(outcomes.at(-1))) {
        await delay(retryMilliseconds);
      }
    }
    return outcomes;
  }

  private submitTwice(call: ActCall): Promise<string[]> {
    return Promise.all([this.submit(call), this.submit(call)]);
  }

  private async submit(call: ActCall): Promise<string> {
    const answer = await this.session.ask((client, address) => client.submit(address, call));
    return answer.kind === "whole" || answer.kind === "problem" ? answer.outcome : answer.kind;
  }
}

function isFinal(outcome: string | undefined): boolean {
  return outcome === "complete" || outcome === "not-run";
}
