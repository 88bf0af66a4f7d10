import {
  chooseUpstream,
  createWorkPlacement,
  findPrefixHolder,
  findPrefixSource,
  getHash,
  PrefixDirectory,
  UpstreamTable,
  type RequestWork,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { ModelEngine, tokensPerMillisecond, type ModelBlock } from "./ModelEngine.js";
import { createUpstream } from "./samples.js";

/**
 * - `counts`: the choice by request counts, with holders recorded when requests are sent.
 * - `sources`: the same choice, with holders recorded at the first byte, marks of what is being read, and ranked sources.
 * - `work`: the same, with the choice by the expected time of work.
 */
export type ModelPolicy = "counts" | "sources" | "work";

/** A request of the model; all blocks but the last are shared. */
export interface ModelRequest {
  readonly blocks: readonly ModelBlock[];
  readonly goalMilliseconds: number;
}

/** What the model counts. */
export interface ModelCounts {
  requests: number;
  /** Shared tokens that were read by an engine after another one, or the same one, had read them. */
  readAgain: number;
  /** First bytes that came later than the objective. */
  late: number;
  refused: number;
  /** Requests at an engine above 2 × the mean of all + 3. */
  aboveBound: number;
}

interface ModelDaemon {
  readonly upstreams: UpstreamTable;
  readonly prefixes: PrefixDirectory;
  /** Unread tokens that wait at each engine, of this daemon's own requests. */
  readonly waiting: Map<UpstreamEntry, number>;
  readonly reports: Map<UpstreamEntry, ModelReport>;
}

/** What an answer told of its engine. */
interface ModelReport {
  readonly slowdown: number;
  readonly waiting: number;
  readonly at: number;
}

const gossipMilliseconds = 900;
const countsIntervalMilliseconds = 400;
const reportLifetimeMilliseconds = 500;
/** Time that an estimate allows for each request that waits at an engine. */
const waitingMilliseconds = 40;
const answerMilliseconds = 400;
const maxAttempts = 3;

/** Daemons, engines and their messages, in one thread and on a clock of their own. */
export class PlacementModel {
  now = 0;
  readonly engines = new Map<string, ModelEngine>();
  readonly counts: ModelCounts = { requests: 0, readAgain: 0, late: 0, refused: 0, aboveBound: 0 };
  readonly daemons: readonly ModelDaemon[];
  private readonly events: { readonly at: number; readonly run: () => void }[] = [];
  private readonly readBlocks = new Set<string>();

  private constructor(
    private readonly policy: ModelPolicy,
    daemons: number,
    engines: number,
  ) {
    this.daemons = Array.from({ length: daemons }, () => ({
      upstreams: UpstreamTable.create(),
      prefixes: PrefixDirectory.create(),
      waiting: new Map<UpstreamEntry, number>(),
      reports: new Map<UpstreamEntry, ModelReport>(),
    }));
    for (let index = 1; index <= engines; index += 1) {
      this.addEngine(`e-${String(index)}`);
    }
  }

  static create(policy: ModelPolicy, daemons: number, engines: number): PlacementModel {
    return new PlacementModel(policy, daemons, engines);
  }

  addEngine(id: string): void {
    this.engines.set(id, ModelEngine.create());
    this.daemons.forEach(({ upstreams }) => {
      upstreams.addUpstream(createUpstream({ id }), this.now);
    });
  }

  /** Ends the process of an engine; the registry lists it until it is removed. */
  removeEngine(id: string): void {
    const engine = this.engines.get(id);
    if (engine !== undefined) {
      engine.isGone = true;
    }
  }

  at(at: number, run: () => void): void {
    let index = this.events.length;
    while (index > 0 && (this.events[index - 1]?.at ?? -Infinity) <= at) {
      index -= 1;
    }
    this.events.splice(index, 0, { at, run });
  }

  run(until: number): ModelCounts {
    for (let at = countsIntervalMilliseconds; at < until; at += countsIntervalMilliseconds) {
      this.at(at, () => {
        this.exchangeCounts();
      });
    }
    for (let event = this.events.pop(); event !== undefined; event = this.events.pop()) {
      this.now = Math.max(this.now, event.at);
      event.run();
    }
    return this.counts;
  }

  /** Sends a request through a daemon at the current time. */
  send(daemon: number, request: ModelRequest): void {
    this.counts.requests += 1;
    const sender = this.daemons[daemon];
    if (sender !== undefined) {
      this.attempt(sender, request, new Set(), this.now);
    }
  }

  private attempt(
    daemon: ModelDaemon,
    request: ModelRequest,
    excluded: Set<string>,
    arrivedAt: number,
  ): void {
    const { upstreams, prefixes } = daemon;
    const { blocks, goalMilliseconds } = request;
    const { now } = this;
    const shared = blocks.slice(0, -1);
    const sharedBlocks = shared.map(({ id }) => getHash(id));
    const sharedTokens = sum(shared);
    const promptTokens = sum(blocks);
    const sharedBlockTokens = shared.map(({ tokens }) => tokens);
    const stickyKey = shared.at(-1)?.id;
    const lookup = { service: "engine", stickyKey, sharedBlocks, sharedBlockTokens, now };
    const toPlace = { ...lookup, sharedTokens, promptTokens, outputTokens: 50, goalMilliseconds };
    const choice = chooseUpstream(upstreams.getEntries(), {
      ...lookup,
      softwareVersion: undefined,
      zone: "north",
      excluded,
      maxRunning: Infinity,
      limitShare: { part: 1, position: 0 },
      isRepeatable: true,
      hasIdleConnection: () => false,
      placement:
        this.policy === "counts"
          ? undefined
          : createWorkPlacement(daemon, toPlace, (entry, work) =>
              this.policy === "work" ? this.estimate(daemon, entry, work) : undefined,
            ),
    });
    const id = choice?.entry.record.id ?? "";
    const engine = this.engines.get(id);
    if (choice === undefined || engine === undefined || excluded.size === maxAttempts) {
      this.counts.refused += 1;
      return;
    }
    const { entry, preferred } = choice;
    excluded.add(id);
    entry.startRequest(now);
    const isByCounts = this.policy === "counts";
    const source = isByCounts
      ? findPrefixHolder(daemon, lookup, entry, preferred)
      : findPrefixSource(daemon, lookup, entry, preferred).entry;
    const recordHolder = (): void => {
      if (prefixes.addHolder(sharedBlocks, entry, this.now)) {
        this.tell(daemon, sharedBlocks, id, this.now);
      }
    };
    if (isByCounts) {
      recordHolder();
    }
    prefixes.startReading(sharedBlocks, entry);
    const retry = (): void => {
      prefixes.endReading(sharedBlocks, entry);
      entry.finishRequest(false);
      if (engine.isGone) {
        entry.path.recordConnectFailure(this.now);
      }
      this.attempt(daemon, request, excluded, arrivedAt);
    };
    if (engine.isGone || engine.refusals > 0) {
      engine.refusals -= 1;
      retry();
      return;
    }
    this.countArrival(engine);
    engine.held += 1;
    engine.waiting += 1;
    const read = engine.read(blocks, source && this.engines.get(source.record.id), now);
    this.countRead(shared, read.blocks);
    daemon.waiting.set(entry, (daemon.waiting.get(entry) ?? 0) + read.tokens);
    this.at(read.endsAt, () => {
      engine.finishReading(blocks);
      engine.waiting -= 1;
      daemon.waiting.set(entry, (daemon.waiting.get(entry) ?? 0) - read.tokens);
      if (engine.isGone) {
        retry();
        return;
      }
      prefixes.endReading(sharedBlocks, entry);
      entry.recordReceivedBytes(this.now);
      entry.recordReportedLoad(engine.held, this.now);
      const { now: at } = this;
      daemon.reports.set(entry, { slowdown: engine.getSlowdown(at), waiting: engine.waiting, at });
      this.counts.late += this.now - arrivedAt > goalMilliseconds ? 1 : 0;
      if (!isByCounts) {
        recordHolder();
      }
      this.at(this.now + answerMilliseconds, () => {
        engine.held -= 1;
        entry.finishRequest(false);
      });
    });
  }

  /** Knows what a daemon does: its own unread tokens there, and what an answer told it a short time ago. */
  private estimate(daemon: ModelDaemon, entry: UpstreamEntry, work: RequestWork): number {
    const told = daemon.reports.get(entry);
    const report =
      told !== undefined && this.now - told.at < reportLifetimeMilliseconds ? told : undefined;
    const own = (daemon.waiting.get(entry) ?? 0) / tokensPerMillisecond;
    const queued = Math.max(own, (report?.waiting ?? 0) * waitingMilliseconds);
    const reading = work.unreadTokens / tokensPerMillisecond;
    return 10 + (queued + reading) * (report?.slowdown ?? 1);
  }

  private tell(
    from: ModelDaemon,
    sharedBlocks: readonly number[],
    id: string,
    usedAt: number,
  ): void {
    this.at(this.now + gossipMilliseconds, () => {
      for (const { upstreams, prefixes } of this.daemons.filter((daemon) => daemon !== from)) {
        const entry = upstreams.getEntry(id);
        if (entry !== undefined) {
          prefixes.addHolder(sharedBlocks.slice(-1), entry, usedAt);
        }
      }
    });
  }

  private exchangeCounts(): void {
    const running = this.daemons.map(
      ({ upstreams }) =>
        new Map(upstreams.getEntries().map((entry) => [entry.record.id, entry.running])),
    );
    this.at(this.now + gossipMilliseconds / 2, () => {
      this.daemons.forEach(({ upstreams }, own) => {
        for (const entry of upstreams.getEntries()) {
          entry.runningOnOtherDaemons = running.reduce(
            (total, each, index) => total + (index === own ? 0 : (each.get(entry.record.id) ?? 0)),
            0,
          );
        }
      });
    });
  }

  private countArrival(engine: ModelEngine): void {
    const live = [...this.engines.values()].filter(({ isGone }) => !isGone);
    const mean = live.reduce((total, { held }) => total + held, 0) / live.length;
    this.counts.aboveBound += engine.held + 1 > 2 * mean + 3 ? 1 : 0;
  }

  private countRead(shared: readonly ModelBlock[], read: readonly ModelBlock[]): void {
    for (const { id, tokens } of read.filter((block) => shared.includes(block))) {
      this.counts.readAgain += this.readBlocks.has(id) ? tokens : 0;
      this.readBlocks.add(id);
    }
  }
}

function sum(blocks: readonly ModelBlock[]): number {
  return blocks.reduce((total, { tokens }) => total + tokens, 0);
}
