import { RegistryTask } from "@pistachioway/daemon";
import {
  checkRequest,
  type ClockReading,
  type HistoryLost,
  type Registry,
  type RegistryChange,
  type RegistryUpdate,
  type Routing,
} from "@pistachioway/kernel";

/** What happens at one time of a simulation. */
export type ScriptedEvent =
  /** The operator publishes the next version, which revokes the key `k-VERSION`. */
  | { readonly at: number; readonly kind: "revoke" }
  | { readonly at: number; readonly kind: "copy" | "storeDown" | "cut" | "reconnect" }
  /** A peer with the version in force sends its state. */
  | { readonly at: number; readonly kind: "peerState"; readonly ageMilliseconds: number }
  /** The store returns from the last copy; the operator repeats what was lost after `repeatAfter`. */
  | { readonly at: number; readonly kind: "restore"; readonly repeatAfter: number };

/** Options of a simulation. */
export interface SimulationOptions {
  readonly events: readonly ScriptedEvent[];
  /** False for a store that does not state its era. */
  readonly hasEra: boolean;
  readonly endAt: number;
}

/** What a simulation showed. */
export interface SimulationResult {
  /** Keys that were accepted later than the revocation time allows. */
  readonly lateKeys: readonly string[];
  /** Whether the version in force ever decreased. */
  readonly wentBack: boolean;
  /** Version in force at the end, and the newest one that was published. */
  readonly version: number;
  readonly publishedVersion: number;
  /** Age of the configuration at the end. */
  readonly ageMilliseconds: number;
}

interface Change {
  readonly revision: number;
  readonly version: number;
}

interface Content {
  readonly version: number;
  readonly revision: number;
  readonly changes: readonly Change[];
}

const stepMilliseconds = 10;
const latencyMilliseconds = 4;
const failureMilliseconds = 300;
const revokeMilliseconds = 5_000;
const maxKeys = 12;
const bounds = { staleMilliseconds: 2_600, failClosedMilliseconds: 4_800 };

/** Runs a `RegistryTask` against a model of the store in simulated time. */
export class RegistrySimulation implements Registry {
  private now = 0;
  private content: Content = { version: 1, revision: 1, changes: [] };
  private copy: Content = this.content;
  private publishedVersion = 1;
  private era = 1;
  private isStoreDown = false;
  private isCut = false;
  private pending: ScriptedEvent[];
  private repeatAt = Infinity;
  private readonly revokedAt = new Map<string, number>();
  private readonly lateKeys = new Set<string>();
  private highestVersion = 0;
  private wentBack = false;
  private readonly task: RegistryTask;

  private constructor(private readonly options: SimulationOptions) {
    this.pending = [...options.events].sort((a, b) => a.at - b.at);
    this.task = RegistryTask.create({
      registry: this,
      getClocks: () => this.getClocks(),
      pause: (milliseconds) => {
        this.advance(milliseconds);
        return Promise.resolve();
      },
      record: () => undefined,
      onUpstream: () => undefined,
      onTable: () => undefined,
      onCall: () => undefined,
    });
  }

  /**
   * Runs a simulation.
   * @param options - Options of the simulation.
   */
  static async run(options: SimulationOptions): Promise<SimulationResult> {
    const simulation = new RegistrySimulation(options);
    await simulation.task.run();
    return simulation.getResult();
  }

  readAll = (): Promise<RegistryUpdate> => {
    this.advance(latencyMilliseconds);
    this.failIfUnreachable();
    const changes = [toChange(this.content.version)];
    return Promise.resolve({ changes, position: this.content.revision, era: this.getEra() });
  };

  watch = (position: number, waitMilliseconds: number): Promise<RegistryUpdate | HistoryLost> => {
    const until = this.now + waitMilliseconds;
    for (;;) {
      this.failIfUnreachable();
      const { revision, changes } = this.content;
      if (position > revision) {
        return Promise.resolve({ kind: "historyLost", era: this.getEra() });
      }
      const newer = changes.filter((change) => change.revision > position);
      if (newer.length > 0 || this.now >= until) {
        return Promise.resolve({
          changes: newer.map(({ version }) => toChange(version)),
          position: revision,
          era: this.getEra(),
        });
      }
      this.advance(Math.min(stepMilliseconds, until - this.now));
    }
  };

  private getEra(): number | undefined {
    return this.options.hasEra ? this.era : undefined;
  }

  private getClocks(): ClockReading {
    return { monotonic: this.now, wall: this.now };
  }

  private failIfUnreachable(): void {
    if (this.isCut || this.isStoreDown) {
      this.advance(failureMilliseconds);
      throw new Error("the registry is unreachable");
    }
  }

  private advance(milliseconds: number): void {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.now = Math.min(until, this.now + stepMilliseconds);
      this.applyDueEvents();
      this.check();
    }
    if (this.now >= this.options.endAt) {
      this.task.stop();
    }
  }

  private applyDueEvents(): void {
    for (
      let [next] = this.pending;
      next !== undefined && next.at <= this.now;
      [next] = this.pending
    ) {
      this.pending = this.pending.slice(1);
      this.apply(next);
    }
    if (this.repeatAt <= this.now) {
      this.repeatAt = Infinity;
      if (this.content.version < this.publishedVersion) {
        this.write(this.publishedVersion);
      }
    }
  }

  private apply(event: ScriptedEvent): void {
    switch (event.kind) {
      case "revoke":
        this.revoke();
        break;
      case "copy":
        this.copy = this.content;
        break;
      case "storeDown":
        this.isStoreDown = true;
        break;
      case "restore":
        this.content = this.copy;
        this.era += 1;
        this.isStoreDown = false;
        this.repeatAt = this.now + event.repeatAfter;
        break;
      case "peerState":
        this.receivePeerState(event.ageMilliseconds);
        break;
      case "cut":
        this.isCut = true;
        break;
      case "reconnect":
        this.isCut = false;
        break;
    }
  }

  private receivePeerState(ageMilliseconds: number): void {
    const version = this.task.getTable()?.version ?? 0;
    const state = { version, ageMilliseconds, era: this.era, upstreams: [] };
    this.task.handlePeerState(state, this.getClocks());
  }

  private revoke(): void {
    if (this.isStoreDown) {
      return;
    }
    this.publishedVersion += 1;
    this.revokedAt.set(`k-${String(this.publishedVersion)}`, this.now);
    this.write(this.publishedVersion);
  }

  private write(version: number): void {
    const revision = this.content.revision + 1;
    const changes = [...this.content.changes, { revision, version }];
    this.content = { version, revision, changes };
  }

  private check(): void {
    const table = this.task.getTable();
    const version = table?.version ?? 0;
    this.wentBack ||= version < this.highestVersion;
    this.highestVersion = Math.max(this.highestVersion, version);
    for (const [key, at] of this.revokedAt) {
      const identity = { authority: "chat.example", path: "/", key };
      const decision = checkRequest(table, this.task.getAgeMilliseconds(), identity, bounds);
      if (this.now > at + revokeMilliseconds && decision.kind === "pass") {
        this.lateKeys.add(key);
      }
    }
  }

  private getResult(): SimulationResult {
    return {
      lateKeys: [...this.lateKeys],
      wentBack: this.wentBack,
      version: this.task.getTable()?.version ?? 0,
      publishedVersion: this.publishedVersion,
      ageMilliseconds: this.task.getAgeMilliseconds(),
    };
  }
}

function toChange(version: number): RegistryChange {
  return { kind: "routing", routing: createRouting(version), faults: [] };
}

/** Creates the configuration of a version, which lacks the keys up to that version. */
function createRouting(version: number): Routing {
  const keys = Array.from({ length: maxKeys }, (_, index) => `k-${String(index + 1)}`);
  return {
    version,
    routes: [
      {
        name: "read",
        authority: "chat.example",
        prefix: "/",
        kind: "idempotent",
        timeoutMilliseconds: 1_000,
        goalMilliseconds: 100,
        priority: 0,
        targets: [{ service: "records", weight: 1 }],
        maxAttempts: 2,
        isPublic: false,
        isSticky: false,
        isResumable: false,
      },
    ],
    services: [{ name: "records", maxConnections: 10 }],
    teams: [{ name: "callaloo", keys: keys.slice(version) }],
    limits: {
      headerBytes: 1_000,
      bodyBytes: 1_000,
      headerTimeoutMilliseconds: 1_000,
      idleTimeoutMilliseconds: 1_000,
    },
  };
}
