import {
  chooseUpstream,
  getSpreadKey,
  type UpstreamEntry,
  UpstreamTable,
} from "@pistachioway/kernel";
import { createUpstream } from "../upstreams/samples.js";

/** Options of a simulation. */
export interface TrafficOptions {
  readonly seed: number;
  /** Whether requests carry keys of prompts that several share. */
  readonly isSticky: boolean;
  /** Whether requests without a key are spread while the zone of their daemon is evacuated. */
  readonly isSpread: boolean;
  /** Even time between the instants at which two daemons learn of the requests of the others. */
  readonly gossipOffsetMilliseconds: number;
  /** Time at which each daemon learns of the evacuation; later by its index. */
  readonly evacuatedAt: number;
}

/** What a simulation showed, from the time at which every daemon knew of the evacuation. */
export interface TrafficResult {
  readonly sent: number;
  readonly refused: number;
  /** Requests sent to the evacuated zone by daemons that knew of the evacuation. */
  readonly sentToZone: number;
  /**
   * Requests of daemons of the evacuated zone that reached an upstream holding more than twice the mean and 3 requests,
   * of a thousand.
   */
  readonly overLimitPerThousand: number;
}

interface Daemon {
  readonly zone: string;
  readonly table: UpstreamTable;
}

interface Running {
  readonly endsAt: number;
  readonly entry: UpstreamEntry;
}

const zones = ["north", "south", "west"];
const daemonsPerZone = 9;
const upstreamsPerZone = 10;
const millisecondsPerStep = 2;
const endAt = 12_000;
const learnMilliseconds = 100;
/** Age of what daemons know of each other's requests. */
const gossipMilliseconds = 900;
/** One request in eight is bulky: it takes much longer than the others. */
const bulkyShare = 0.125;
const usualMilliseconds = 120;
const bulkyMilliseconds = 1_500;
const keyCount = 400;
export const evacuatedZone = "north";

/** Simulates daemons that know each other's requests late, while one zone is evacuated. */
export class EvacuationTraffic {
  private readonly daemons: readonly Daemon[];
  private running: Running[] = [];
  private state: number;

  private constructor(private readonly options: TrafficOptions) {
    this.state = options.seed;
    this.daemons = Array.from({ length: daemonsPerZone * zones.length }, (_, index) => ({
      zone: zones[index % zones.length] ?? evacuatedZone,
      table: createTable(),
    }));
  }

  /**
   * Runs a simulation.
   * @param options - Options of the simulation.
   */
  static run(options: TrafficOptions): TrafficResult {
    return new EvacuationTraffic(options).run();
  }

  private run(): TrafficResult {
    let [sent, displaced, refused, sentToZone, overLimit] = [0, 0, 0, 0, 0];
    for (let now = 0; now < endAt; now += millisecondsPerStep) {
      this.endRequests(now);
      this.learn(now);
      const daemon = this.daemons[Math.floor(this.getRandom() * this.daemons.length)];
      const entry = daemon && this.choose(daemon, now);
      const isCounted = now >= this.options.evacuatedAt + this.daemons.length * learnMilliseconds;
      refused += isCounted && entry === undefined ? 1 : 0;
      if (daemon === undefined || entry === undefined) {
        continue;
      }
      sentToZone +=
        entry.record.zone === evacuatedZone && daemon.table.evacuations.isEvacuated(evacuatedZone)
          ? 1
          : 0;
      const counts = this.countByUpstream();
      const mean = this.running.length / (upstreamsPerZone * (zones.length - 1));
      const isOver = (counts.get(entry.record.id) ?? 0) + 1 > 2 * mean + 3;
      const isDisplaced = isCounted && daemon.zone === evacuatedZone;
      sent += isCounted ? 1 : 0;
      displaced += isDisplaced ? 1 : 0;
      overLimit += isDisplaced && isOver ? 1 : 0;
      entry.startRequest(now);
      const isBulky = this.getRandom() < bulkyShare;
      this.running.push({ entry, endsAt: now + (isBulky ? bulkyMilliseconds : usualMilliseconds) });
    }
    const overLimitPerThousand = Math.round((overLimit / displaced) * 1_000);
    return { sent, refused, sentToZone, overLimitPerThousand };
  }

  private endRequests(now: number): void {
    const ended = this.running.filter(({ endsAt }) => endsAt <= now);
    this.running = this.running.filter(({ endsAt }) => endsAt > now);
    ended.forEach(({ entry }) => {
      entry.finishRequest(false);
    });
  }

  private learn(now: number): void {
    this.daemons.forEach(({ table }, index) => {
      if ((now + index * this.options.gossipOffsetMilliseconds) % gossipMilliseconds === 0) {
        const counts = this.countByUpstream();
        for (const entry of table.getEntries()) {
          entry.runningOnOtherDaemons = (counts.get(entry.record.id) ?? 0) - entry.running;
        }
      }
    });
    this.daemons.forEach(({ table }, index) => {
      if (now === this.options.evacuatedAt + index * learnMilliseconds) {
        table.applyEvacuationChanges([{ zone: evacuatedZone, isEvacuated: true }], now);
      }
    });
  }

  private choose({ zone, table }: Daemon, now: number): UpstreamEntry | undefined {
    const key = `chat-${String(Math.floor(this.getRandom() * keyCount))}`;
    const stickyKey = this.options.isSticky ? key : undefined;
    const request = { id: `q-${String(now)}`, zone, stickyKey };
    const spreadKey = this.options.isSpread ? getSpreadKey(table.evacuations, request) : undefined;
    return chooseUpstream(table.getEntries(), {
      service: "engine",
      softwareVersion: undefined,
      zone,
      stickyKey: stickyKey ?? spreadKey,
      excluded: new Set(),
      maxRunning: Infinity,
      limitShare: { part: 1, position: 0 },
      isRepeatable: true,
      hasIdleConnection: () => false,
      now,
    })?.entry;
  }

  private countByUpstream(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { entry } of this.running) {
      counts.set(entry.record.id, (counts.get(entry.record.id) ?? 0) + 1);
    }
    return counts;
  }

  /** Gets a number in [0, 1) from a linear congruential generator. */
  private getRandom(): number {
    this.state = (this.state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return this.state / 2 ** 32;
  }
}

function createTable(): UpstreamTable {
  const table = UpstreamTable.create();
  zones.forEach((zone) => {
    for (let index = 0; index < upstreamsPerZone; index += 1) {
      table.addUpstream(createUpstream({ id: `${zone}-${String(index)}`, zone, slots: 8 }), 0);
    }
  });
  return table;
}
