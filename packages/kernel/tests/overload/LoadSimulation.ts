import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { Clock } from "./Clock.js";
import { FakeDaemon, type Call, type Kind } from "./FakeDaemon.js";
import { FakeEngine } from "./FakeEngine.js";

/** How often requests of a kind arrive from a time on. */
export interface Rate {
  readonly from: number;
  readonly perSecond: number;
}

/** A load on a fleet. */
export interface Load {
  readonly daemons: number;
  readonly engines: number;
  readonly slots: number;
  readonly kinds: readonly { readonly kind: Kind; readonly rates: readonly Rate[] }[];
  readonly milliseconds: number;
  /** Engines of a third of the fleet are unusable in this time. */
  readonly zoneLoss?: { readonly from: number; readonly until: number };
  /** Time from which daemons hear no peers. */
  readonly deafFrom?: number;
}

/** Outcomes of the requests of one kind. */
export interface KindOutcome {
  readonly arrived: number;
  readonly inObjective: number;
  readonly late: number;
  /** Requests that were refused for good. */
  readonly lost: number;
  /** Longest time from an arrival to a refusal. */
  readonly slowestRefusal: number;
  /** Mean time that sent requests waited. */
  readonly meanWait: number;
}

/** Outcomes of a load. */
export interface LoadOutcome {
  readonly kinds: Readonly<Record<string, KindOutcome>>;
  /** Attempts that engines refused. */
  readonly engineRefusals: number;
  /** Largest number of attempts that reached engines in 100 ms. */
  readonly peakSends: number;
}

const gossipMilliseconds = 400;
const gossipDelayMilliseconds = 900;
const tickMilliseconds = 100;
/** Largest weight of a daemon among the callers relative to the smallest. */
const unevenness = 3;
const maxReturns = 2;

/** Simulates daemons in front of engines under a load. */
export class LoadSimulation {
  private readonly clock = new Clock();
  private readonly random;
  private readonly engines: readonly FakeEngine[];
  private readonly daemons: readonly FakeDaemon[];
  private readonly counts = new Map<string, { -readonly [Key in keyof KindOutcome]: number }>();
  private readonly sends = new Map<number, number>();
  private engineRefusals = 0;

  private constructor(
    private readonly load: Load,
    isAdmitting: boolean,
    seed: number,
  ) {
    this.random = xoroshiro128plus(seed);
    this.engines = Array.from({ length: load.engines }, () =>
      FakeEngine.create(this.clock, load.slots),
    );
    this.daemons = Array.from({ length: load.daemons }, () =>
      FakeDaemon.create({
        clock: this.clock,
        engines: this.engines,
        slots: load.slots,
        isAdmitting,
        getRandom: () => this.getRandom(),
        getFleet: () => ({ daemons: load.daemons, heard: this.isDeaf() ? 1 : load.daemons }),
        isUsable: (engine) => this.isUsable(engine),
        onSend: () => {
          const interval = Math.floor(this.clock.now / tickMilliseconds);
          this.sends.set(interval, (this.sends.get(interval) ?? 0) + 1);
        },
        onEngineRefusal: () => {
          this.engineRefusals += 1;
        },
      }),
    );
  }

  /** Runs a load with admission control, or with sending at once. */
  static run(load: Load, isAdmitting: boolean, seed = 1): LoadOutcome {
    return new LoadSimulation(load, isAdmitting, seed).run();
  }

  private run(): LoadOutcome {
    for (const { kind, rates } of this.load.kinds) {
      this.counts.set(kind.name, {
        arrived: 0,
        inObjective: 0,
        late: 0,
        lost: 0,
        slowestRefusal: 0,
        meanWait: 0,
      });
      this.scheduleArrivals(kind, rates);
    }
    for (let time = 1; time < this.load.milliseconds; time += gossipMilliseconds) {
      this.clock.schedule(time, () => {
        this.gossip();
      });
    }
    for (let time = 1; time < this.load.milliseconds; time += tickMilliseconds) {
      this.clock.schedule(time, () => {
        this.daemons.forEach((daemon) => {
          daemon.tick();
        });
      });
    }
    this.clock.runUntil(this.load.milliseconds + 20_000);
    return {
      kinds: Object.fromEntries(
        [...this.counts].map(([name, counts]) => [name, summarize(counts)]),
      ),
      engineRefusals: this.engineRefusals,
      peakSends: Math.max(...this.sends.values()),
    };
  }

  private scheduleArrivals(kind: Kind, rates: readonly Rate[]): void {
    rates.forEach(({ from, perSecond }, index) => {
      const until = rates[index + 1]?.from ?? this.load.milliseconds;
      const mean = 1_000 / perSecond;
      for (let at = from; at < until; at -= Math.log(1 - this.getRandom()) * mean) {
        const daemon = this.pickDaemon();
        this.clock.schedule(at, () => {
          this.call(kind, daemon);
        });
      }
    });
  }

  private call(kind: Kind, daemon: FakeDaemon): void {
    const arrivedAt = this.clock.now;
    const counts = this.counts.get(kind.name);
    if (counts === undefined) {
      return;
    }
    counts.arrived += 1;
    const attempt = (returns: number): void => {
      const startedAt = this.clock.now;
      const call: Call = {
        kind,
        arrivedAt,
        startedAt,
        onSent: () => {
          counts.meanWait += this.clock.now - startedAt;
        },
        onFirstByte: () => {
          const isInTime = this.clock.now <= arrivedAt + kind.goalMilliseconds;
          counts[isInTime ? "inObjective" : "late"] += 1;
        },
        onRefused: (retryAt) => {
          counts.slowestRefusal = Math.max(counts.slowestRefusal, this.clock.now - startedAt);
          const remaining = arrivedAt + kind.timeoutMilliseconds - this.clock.now;
          const delay = Math.min(retryAt - this.clock.now, remaining / 3);
          if (returns < maxReturns && remaining > kind.goalMilliseconds / 2) {
            this.clock.schedule(this.clock.now + delay, () => {
              attempt(returns + 1);
            });
          } else {
            counts.lost += 1;
          }
        },
      };
      daemon.start(call);
    };
    attempt(0);
  }

  private gossip(): void {
    if (this.isDeaf()) {
      this.daemons.forEach((daemon) => {
        daemon.setOthers(this.engines.map(() => 0));
      });
      return;
    }
    const running = this.daemons.map((daemon) => daemon.getRunning());
    const totals = this.engines.map((_, engine) =>
      running.reduce((sum, counts) => sum + (counts[engine] ?? 0), 0),
    );
    this.clock.schedule(this.clock.now + gossipDelayMilliseconds, () => {
      this.daemons.forEach((daemon, index) => {
        daemon.setOthers(totals.map((total, engine) => total - (running[index]?.[engine] ?? 0)));
      });
    });
  }

  private pickDaemon(): FakeDaemon {
    const last = this.load.daemons - 1;
    for (;;) {
      const index = uniformInt(this.random, 0, last);
      const weight = 1 + ((unevenness - 1) * index) / Math.max(1, last);
      const daemon = this.daemons[index];
      if (daemon !== undefined && this.getRandom() * unevenness < weight) {
        return daemon;
      }
    }
  }

  private isUsable(engine: number): boolean {
    const { zoneLoss } = this.load;
    const { now } = this.clock;
    const isLost = zoneLoss !== undefined && now >= zoneLoss.from && now < zoneLoss.until;
    return !isLost || engine % 3 !== 0;
  }

  private isDeaf(): boolean {
    return this.clock.now >= (this.load.deafFrom ?? Infinity);
  }

  private getRandom(): number {
    return uniformInt(this.random, 0, 999_999) / 1_000_000;
  }
}

function summarize({ meanWait, ...counts }: KindOutcome): KindOutcome {
  const served = Math.max(1, counts.inObjective + counts.late);
  return { ...counts, meanWait: Math.round(meanWait / served) };
}
