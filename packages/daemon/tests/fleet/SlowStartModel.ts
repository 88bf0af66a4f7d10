import {
  applyAnswerToPace,
  applyFleetNotices,
  chooseUpstream,
  getPaceBounds,
  PrefixDirectory,
  RateSlots,
  UpstreamTable,
  type StartShare,
  type Upstream,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { FleetTraffic } from "./FleetTraffic.js";
import { TrafficSimulation } from "./TrafficSimulation.js";

/** How requests to an upstream that has returned are held back. */
export type StartPolicy = "none" | "ramp" | "window" | "answers";

/** Options of a fleet before upstreams of which some have been away. */
export interface SlowStartOptions {
  readonly daemons: number;
  readonly zones: number;
  readonly upstreams: number;
  readonly rate: number;
  readonly policy: StartPolicy;
  /** Time to the first byte at an upstream that has returned, by the time since its return. */
  readonly getServiceMilliseconds: (sinceReturn: number) => number;
  /** Whether an upstream that has returned refuses what it cannot begin at once. */
  readonly refusesWhenFull: boolean;
  readonly getRandom: () => number;
}

/** What callers saw, and the upstreams that have returned. */
export interface SlowStartFigures {
  readonly sent: number;
  /** Requests whose first byte came later than the objective. */
  readonly late: number;
  /** Refusals of upstreams; the request goes to another one. */
  readonly rejected: number;
  /** Part of the slots' time in which an upstream that had returned did nothing, in percent. */
  readonly idlePercent: number;
}

interface ModelledUpstream {
  readonly id: string;
  /** When each of its slots is free. */
  readonly freeAt: number[];
  returnedAt: number | undefined;
  busyMilliseconds: number;
}

interface PendingAnswer {
  readonly at: number;
  readonly daemon: number;
  readonly entry: UpstreamEntry;
  readonly sentAt: number;
  readonly firstSentAt: number;
  readonly isRejected: boolean;
}

const slots = 4;
const serviceMilliseconds = 200;
const goalMilliseconds = 400;
const refusalMilliseconds = 5;
const rampMilliseconds = 10_000;
const roundMilliseconds = 400;

/** Requests to upstreams of one service, some of which return and are empty, slow or limited for a while. */
export class SlowStartModel extends TrafficSimulation {
  readonly traffic: FleetTraffic;
  /** Whether the daemons tell each other of paces. */
  isTold = true;
  private readonly upstreams: readonly ModelledUpstream[];
  private readonly tables: UpstreamTable[];
  private readonly rampSlots = new Map<UpstreamEntry, RateSlots>();
  private pending: readonly PendingAnswer[] = [];
  private counts: readonly ReadonlyMap<string, number>[] = [new Map(), new Map()];
  private sent = 0;
  private late = 0;
  private rejected = 0;

  private constructor(private readonly options: SlowStartOptions) {
    super();
    const send = (daemon: number): void => {
      this.sent += 1;
      this.send(daemon, this.now, new Set());
    };
    this.traffic = FleetTraffic.create({
      ...options,
      loss: 0.05,
      sources: [{ getRate: () => options.rate, send }],
      onStep: () => {
        this.step();
      },
    });
    this.fleet.isEncoded = false;
    this.upstreams = Array.from({ length: options.upstreams }, (_, index) => ({
      id: `e-${String(index)}`,
      freeAt: Array<number>(slots).fill(0),
      returnedAt: undefined,
      busyMilliseconds: 0,
    }));
    this.tables = Array.from({ length: options.daemons }, () => this.createTable());
    this.fleet.onNotice = (daemon, notice) => {
      const upstreams = this.tables[daemon];
      const quarantine = this.fleet.members[daemon]?.quarantine;
      if (upstreams !== undefined && quarantine !== undefined) {
        const getStartShare = (): StartShare => this.getShare(daemon, upstreams);
        const target = { upstreams, prefixes: PrefixDirectory.create(), quarantine, getStartShare };
        applyFleetNotices(target, [notice], this.now);
      }
    };
  }

  /**
   * Creates a fleet whose upstreams are all in use.
   * @param options - Options of the fleet.
   */
  static create(options: SlowStartOptions): SlowStartModel {
    return new SlowStartModel(options);
  }

  /** Takes the last upstreams away, as if they had been gone for a while. */
  takeAway(count: number): void {
    this.getLast(count).forEach(({ id }) => {
      this.tables.forEach((table) => {
        table.removeUpstream(id, this.now);
      });
    });
  }

  /** Brings them back, and counts from now on. */
  bringBack(count: number): void {
    this.getLast(count).forEach((upstream) => {
      upstream.returnedAt = this.now;
      upstream.freeAt.fill(this.now);
      this.tables.forEach((table) => {
        table.addUpstream({ ...createRecord(upstream.id), bornAt: 2 }, this.now);
      });
    });
    this.sent = 0;
    this.late = 0;
    this.rejected = 0;
  }

  /** Gets what callers and upstreams that returned have seen since. */
  getFigures(): SlowStartFigures {
    const returned = this.upstreams.filter(({ returnedAt }) => returnedAt !== undefined);
    const time = returned.reduce(
      (sum, { returnedAt = 0 }) => sum + (this.now - returnedAt) * slots,
      0,
    );
    const busy = returned.reduce((sum, { busyMilliseconds }) => sum + busyMilliseconds, 0);
    const { sent, late, rejected } = this;
    return { sent, late, rejected, idlePercent: Math.round((1 - busy / time) * 100) };
  }

  /** Gets the paces of an upstream at all daemons, unrestricted ones as Infinity, in ascending order. */
  getPaces(id: string): readonly number[] {
    return this.tables
      .map((table, daemon) => {
        const entry = table.getEntry(id);
        return entry?.start.getPacePerSecond(this.getShare(daemon, table)) ?? Infinity;
      })
      .sort((a, b) => a - b);
  }

  /** Restarts a daemon, which lists the upstreams anew. */
  restart(daemon: number): void {
    this.fleet.restart([daemon]);
    this.tables[daemon] = this.createTable();
  }

  private getLast(count: number): readonly ModelledUpstream[] {
    return this.upstreams.slice(-count);
  }

  private createTable(): UpstreamTable {
    const table = UpstreamTable.create();
    this.upstreams.forEach(({ id }) => {
      table.addUpstream(createRecord(id), this.now);
    });
    return table;
  }

  private getShare(daemon: number, table: UpstreamTable): StartShare {
    const view = this.fleet.members[daemon]?.view;
    const daemons = view?.getPeakDaemonCount() ?? 1;
    const isPaced = this.options.policy === "answers";
    return {
      part: 1 / daemons,
      position: view?.getPeakPosition() ?? 0,
      clockOffset: 0,
      isSettled: true,
      cold: undefined,
      pace: isPaced ? getPaceBounds(table.getEntries(), daemons, Infinity, this.now) : undefined,
    };
  }

  private step(): void {
    const { now } = this;
    if (now % 100 === 0) {
      this.fleet.members.forEach(({ view }) => {
        view.updateLiveDaemons(now);
      });
    }
    if (now % roundMilliseconds === 0) {
      this.exchangeCounts();
    }
    const due = this.pending.filter(({ at }) => at <= now);
    this.pending = this.pending.filter(({ at }) => at > now);
    due.forEach((answer) => {
      this.receive(answer);
    });
  }

  /** Gives the daemons the numbers of each other's requests, as they were two rounds of gossip before. */
  private exchangeCounts(): void {
    const [counts = new Map<string, number>(), ...later] = this.counts;
    this.tables.forEach((table) => {
      table.getEntries().forEach((entry) => {
        entry.runningOnOtherDaemons = Math.max(
          0,
          (counts.get(entry.record.id) ?? 0) - entry.running,
        );
      });
    });
    const current = new Map<string, number>();
    for (const entry of this.tables.flatMap((table) => table.getEntries())) {
      const { id } = entry.record;
      current.set(id, (current.get(id) ?? 0) + entry.running);
    }
    this.counts = [...later, current];
  }

  private receive({ daemon, entry, sentAt, firstSentAt, isRejected }: PendingAnswer): void {
    const { now } = this;
    const table = this.tables[daemon];
    entry.finishRequest(false);
    if (table === undefined) {
      return;
    }
    const share = this.getShare(daemon, table);
    const answer = { sentAt, goalMilliseconds, isRejected };
    const notice = applyAnswerToPace(table, entry, answer, now, share);
    if (notice !== undefined && this.isTold) {
      this.fleet.members[daemon]?.gossip.addNotice(notice, now);
    }
    if (isRejected) {
      this.rejected += 1;
      this.send(daemon, firstSentAt, new Set([entry.record.id]));
    } else {
      this.late += now - firstSentAt > goalMilliseconds ? 1 : 0;
    }
  }

  private send(daemon: number, firstSentAt: number, excluded: ReadonlySet<string>): void {
    const { now } = this;
    const table = this.tables[daemon];
    if (table === undefined) {
      return;
    }
    const held = table.getEntries().filter((entry) => this.isHeldBack(daemon, entry));
    const choice = chooseUpstream(table.getEntries(), {
      service: "engine",
      zone: "north",
      softwareVersion: undefined,
      stickyKey: `chat-${String(this.options.getRandom())}`,
      excluded: new Set([...excluded, ...held.map(({ record }) => record.id)]),
      maxRunning: 100,
      limitShare: { part: 1, position: 0 },
      startShare: this.getShare(daemon, table),
      isRepeatable: true,
      hasIdleConnection: () => false,
      now,
    });
    const upstream = this.upstreams.find(({ id }) => id === choice?.entry.record.id);
    if (choice === undefined || upstream === undefined) {
      this.late += 1;
      return;
    }
    const { entry } = choice;
    entry.startRequest(now);
    entry.start.takeSlot(now);
    this.rampSlots.get(entry)?.take(now);
    const { at, isRejected } = this.serve(upstream);
    this.pending = [...this.pending, { at, daemon, entry, sentAt: now, firstSentAt, isRejected }];
  }

  private serve(upstream: ModelledUpstream): { readonly at: number; readonly isRejected: boolean } {
    const { now } = this;
    const { freeAt, returnedAt } = upstream;
    const slot = freeAt.indexOf(Math.min(...freeAt));
    const beginsAt = Math.max(now, freeAt[slot] ?? now);
    if (this.options.refusesWhenFull && returnedAt !== undefined && beginsAt > now) {
      return { at: now + refusalMilliseconds, isRejected: true };
    }
    const duration =
      returnedAt === undefined
        ? serviceMilliseconds
        : this.options.getServiceMilliseconds(beginsAt - returnedAt);
    freeAt[slot] = beginsAt + duration;
    upstream.busyMilliseconds += duration;
    return { at: beginsAt + duration, isRejected: false };
  }

  /** Checks whether a policy that looks at no answers holds a request to an upstream back. */
  private isHeldBack(daemon: number, entry: UpstreamEntry): boolean {
    const { policy, rate, upstreams } = this.options;
    const { returnedAt } = this.upstreams.find(({ id }) => id === entry.record.id) ?? {};
    const since = this.now - (returnedAt ?? -Infinity);
    if (since >= rampMilliseconds || policy === "none" || policy === "answers") {
      return false;
    }
    if (policy === "window") {
      return entry.running > 0;
    }
    const table = this.tables[daemon];
    const usual = rate / upstreams;
    const perSecond = Math.max(1, (usual * 2 * since) / rampMilliseconds);
    const slotsOfEntry = this.rampSlots.get(entry) ?? RateSlots.create(0);
    this.rampSlots.set(entry, slotsOfEntry);
    const share = table && this.getShare(daemon, table);
    return (
      share !== undefined &&
      !slotsOfEntry.isOpen(this.now, { perSecond, mostInSecond: Infinity }, share)
    );
  }
}

function createRecord(id: string): Upstream {
  const record = { id, service: "engine", address: "10.0.0.1:80", zone: "north" };
  return { ...record, softwareVersion: "v1", slots, state: "ready", bornAt: 1, sequence: 1 };
}
