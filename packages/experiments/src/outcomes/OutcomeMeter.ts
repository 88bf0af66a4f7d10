import { getBody } from "../soak/bodies.js";
import { findStreamFault } from "../soak/findStreamFault.js";
import { promiseStatuses } from "./answerFaults.js";
import type { CallerAnswer } from "./OutcomeCaller.js";
import type { SiteRoute } from "./sites.js";

const okStatus = 200;
const wholeRun = "-";

/** One attempt of a caller's operation. */
export interface AttemptRecord {
  readonly id: string;
  readonly operation: number;
  readonly route: SiteRoute;
  /** Build of the router that it was sent to. */
  readonly build: string;
  readonly answer: CallerAnswer;
}

/** Counts of the requests that met one kind of fault. */
export interface VariantCounts {
  faulty: number;
  refused: number;
  twice: number;
}

/** Counts of the requests that went through some routers. */
export interface PathCounts extends Readonly<VariantCounts> {
  readonly requests: number;
}

/** Counts of one run. */
export interface OutcomeCounts {
  readonly operations: number;
  readonly attempts: number;
  /** Faulty answers that the engines have written. */
  readonly faulty: number;
  /** Requests that may run once, were answered with a promise that they had not run, and ran. */
  readonly refused: number;
  /** Requests that may run once and ran more than once. */
  readonly twice: number;
  /** Operations that may run once and ran more than once in all their attempts. */
  readonly repeated: number;
  /** Successes whose body is not the answer to the request. */
  readonly mixed: number;
  /** Those among them that are streams which ended as complete too early, or with bytes that are no event. */
  readonly early: number;
  /** Share of the operations that ended with a success. */
  readonly served: number;
  /** Counts of those that went through a peer. */
  readonly forwarded: PathCounts;
  /**
   * Counts by the builds of the routers on the way: `1` when only a router of build 1 was, `1>2` when it sent the request
   * to a peer of build 2 as well.
   */
  readonly builds: Readonly<Record<string, PathCounts>>;
  readonly variants: Readonly<Record<string, VariantCounts>>;
  /** Number of attempts by status; 0 when there was no response. */
  readonly statuses: Readonly<Record<number, number>>;
  /** Id of one affected request of each kind of fault, and of one with an answer that is not its own. */
  readonly examples: Readonly<Record<string, string>>;
}

/** Records what engines ran and what callers were told. */
export class OutcomeMeter {
  private readonly attempts: AttemptRecord[] = [];
  private readonly enginesById = new Map<string, string[]>();
  private readonly variantById = new Map<string, string>();
  private readonly peerBuildsById = new Map<string, Set<string>>();
  private faulty = 0;

  /** Creates a meter without records. */
  static create(): OutcomeMeter {
    return new OutcomeMeter();
  }

  /** Records that an engine began to work on a request. */
  readonly addRun = (id: string, engine: string): void => {
    this.enginesById.set(id, [...this.getEngines(id), engine]);
  };

  /** Records that an engine answers a request wrongly. */
  readonly addFault = (id: string, variant: string): void => {
    this.faulty += 1;
    this.variantById.set(id, variant);
  };

  /** Records that a router sent a request to a peer of a build. */
  addForwarded(id: string, build: string): void {
    this.peerBuildsById.set(id, new Set([...(this.peerBuildsById.get(id) ?? []), build]));
  }

  /** Records the end of a caller's attempt. */
  addAttempt(attempt: AttemptRecord): void {
    this.attempts.push(attempt);
  }

  /** Gets the engines that ran a request, in the order of their starts. */
  getEngines(id: string): readonly string[] {
    return this.enginesById.get(id) ?? [];
  }

  /** Counts the broken promises, once the last request has ended. */
  getCounts(): OutcomeCounts {
    const { attempts } = this;
    const operations = new Set(attempts.map(({ operation }) => operation)).size;
    const isServed = (attempt: AttemptRecord) =>
      attempt.answer.status === okStatus && attempt.answer.isWhole;
    const refused = attempts.filter((attempt) => this.isRefusedRun(attempt));
    const twice = attempts.filter((attempt) => this.isRunTwice(attempt));
    const mixed = attempts.filter((attempt) => isServed(attempt) && !this.isOwnAnswer(attempt));
    const early = mixed.filter((attempt) => this.endsTooEarly(attempt));
    return {
      operations,
      attempts: attempts.length,
      faulty: this.faulty,
      refused: refused.length,
      twice: twice.length,
      repeated: this.countRepeatedOperations(),
      mixed: mixed.length,
      early: early.length,
      served: attempts.filter(isServed).length / Math.max(1, operations),
      forwarded: this.countPath(({ id }) => this.peerBuildsById.has(id), refused, twice),
      builds: this.countBuilds(refused, twice),
      variants: this.countVariants(refused, twice),
      statuses: countStatuses(attempts),
      examples: Object.fromEntries([
        ...[...refused, ...twice].reverse().map(({ id }) => [this.getVariant(id), id]),
        ...mixed.slice(0, 1).map(({ id }) => ["mixed", id]),
        ...early.slice(0, 1).map(({ id }) => ["early", id]),
      ]) as Record<string, string>,
    };
  }

  private isRefusedRun({ id, route, answer }: AttemptRecord): boolean {
    return (
      mayRunOnce(route) && promiseStatuses.includes(answer.status) && this.getEngines(id).length > 0
    );
  }

  private isRunTwice({ id, route }: AttemptRecord): boolean {
    return mayRunOnce(route) && this.getEngines(id).length > 1;
  }

  private isOwnAnswer({ id, route, answer }: AttemptRecord): boolean {
    return isStream(route)
      ? findStreamFault({ id, ...answer }, this.getEngines(id)) === undefined
      : answer.body === getBody(id);
  }

  private endsTooEarly({ id, route, answer }: AttemptRecord): boolean {
    const fault = findStreamFault({ id, ...answer }, this.getEngines(id))?.fault;
    return isStream(route) && (fault === "early" || fault === "bytes");
  }

  private getVariant(id: string): string {
    return this.variantById.get(id) ?? wholeRun;
  }

  private countRepeatedOperations(): number {
    const runs = new Map<number, number>();
    for (const { operation, id, route } of this.attempts) {
      if (mayRunOnce(route)) {
        runs.set(operation, (runs.get(operation) ?? 0) + this.getEngines(id).length);
      }
    }
    return [...runs.values()].filter((count) => count > 1).length;
  }

  /** Checks whether a request that may run once was answered wrongly. */
  private isFaulty(id: string, route: SiteRoute): boolean {
    return mayRunOnce(route) && this.variantById.has(id);
  }

  private countBuilds(
    refused: readonly AttemptRecord[],
    twice: readonly AttemptRecord[],
  ): Record<string, PathCounts> {
    const getPath = (attempt: AttemptRecord) => this.getPath(attempt);
    const paths = [...new Set(this.attempts.map(getPath))].sort();
    return Object.fromEntries(
      paths.map((path) => [
        path,
        this.countPath((attempt) => getPath(attempt) === path, refused, twice),
      ]),
    );
  }

  private getPath({ id, build }: AttemptRecord): string {
    return [build, ...[...(this.peerBuildsById.get(id) ?? [])].sort()].join(">");
  }

  private countPath(
    isOnPath: (attempt: AttemptRecord) => boolean,
    refused: readonly AttemptRecord[],
    twice: readonly AttemptRecord[],
  ): PathCounts {
    const attempts = this.attempts.filter(isOnPath);
    return {
      requests: attempts.length,
      faulty: attempts.filter(({ id, route }) => this.isFaulty(id, route)).length,
      refused: refused.filter(isOnPath).length,
      twice: twice.filter(isOnPath).length,
    };
  }

  private countVariants(
    refused: readonly AttemptRecord[],
    twice: readonly AttemptRecord[],
  ): Record<string, VariantCounts> {
    const variants: Record<string, VariantCounts> = {};
    const getCounts = (id: string) =>
      (variants[this.getVariant(id)] ??= { faulty: 0, refused: 0, twice: 0 });
    for (const { id, route } of this.attempts) {
      if (this.isFaulty(id, route)) {
        getCounts(id).faulty += 1;
      }
    }
    refused.forEach(({ id }) => (getCounts(id).refused += 1));
    twice.forEach(({ id }) => (getCounts(id).twice += 1));
    return variants;
  }
}

function countStatuses(attempts: readonly AttemptRecord[]): Record<number, number> {
  const counts: Record<number, number> = {};
  attempts.forEach(({ answer: { status } }) => {
    counts[status] = (counts[status] ?? 0) + 1;
  });
  return counts;
}

function mayRunOnce({ kind }: SiteRoute): boolean {
  return kind === "act" || kind === "once";
}

function isStream({ kind }: SiteRoute): boolean {
  return kind === "stream" || kind === "once";
}
