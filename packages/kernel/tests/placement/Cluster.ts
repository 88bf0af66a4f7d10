import {
  Placer,
  packPeerMessage,
  parsePeerMessage,
  type PlacementEffect,
  type PlacementEngine,
  type PlacementMessage,
  type PlacementPeerMessage,
  type PlaceMessage,
} from "@pistachioway/kernel";

interface Datagram {
  readonly from: string;
  readonly to: string;
  readonly message: PlacementPeerMessage;
}

const startInstant = 1_800_000_000_000;
const tickMilliseconds = 50;

/** Placers of several daemons, and a simulated network that the test controls. */
export class Cluster {
  readonly placers = new Map<string, Placer>();
  readonly datagrams: Datagram[] = [];
  /** Every engine that each request was placed on, in order. */
  readonly placedEngines = new Map<string, string[]>();
  now = startInstant;
  private readonly engines: PlacementEngine[];

  private constructor(
    private readonly daemons: readonly string[],
    engineCount: number,
  ) {
    this.engines = Array.from({ length: engineCount }, (_, index) => ({
      name: `e${String(index)}`,
      zone: "a",
      weight: 1,
      slots: 8,
      models: ["m"],
      eligible: true,
    }));
    for (const daemon of daemons) {
      this.placers.set(daemon, Placer.create({ kind: "start", daemon, zone: "a", seed: 1 }));
      this.setView(daemon);
    }
  }

  /** Creates a cluster in which every daemon knows every other one and all engines. */
  static create(daemons: readonly string[], engineCount: number): Cluster {
    return new Cluster(daemons, engineCount);
  }

  /** Sends a daemon a view without some daemons and engines. */
  setView(daemon: string, absent: readonly string[] = []): void {
    const isListed = ({ name }: { name: string }): boolean => !absent.includes(name);
    const daemons = this.daemons.map((name) => ({ name, zone: "a" })).filter(isListed);
    const engines = this.engines.filter(isListed);
    this.send(daemon, { kind: "view", daemons, engines, bound: 1.25 });
  }

  place(daemon: string, requestId: string, fields: Partial<PlaceMessage> = {}): void {
    this.send(daemon, {
      kind: "place",
      requestId,
      chat: `chat of ${requestId}`,
      model: "m",
      tokens: 1000,
      isFirstTurn: false,
      exclude: [],
      ...fields,
    });
  }

  send(daemon: string, message: PlacementMessage): void {
    const effects = this.placers.get(daemon)?.handle(message, this.now) ?? [];
    for (const effect of effects) {
      this.applyEffect(daemon, effect);
    }
  }

  /** Encodes, decodes and delivers the datagram at an index. */
  deliver(index: number): void {
    const [datagram] = this.datagrams.splice(index, 1);
    if (datagram !== undefined) {
      const { from, to, message } = datagram;
      const parsed = parsePeerMessage(packPeerMessage(message)).unwrapOrElse((error) => {
        throw error;
      });
      this.send(to, { kind: "peer", from, message: parsed });
    }
  }

  deliverAll(): void {
    while (this.datagrams.length > 0) {
      this.deliver(0);
    }
  }

  tick(): void {
    this.now += tickMilliseconds;
    for (const daemon of this.daemons.filter((name) => this.placers.has(name))) {
      this.send(daemon, { kind: "tick" });
    }
  }

  /** Removes a daemon without notice. Datagrams to it are lost. */
  kill(daemon: string): void {
    this.placers.delete(daemon);
  }

  /** Advances the clock by some ticks and delivers all datagrams after each. */
  settle(ticks: number): void {
    for (let count = 0; count < ticks; count += 1) {
      this.tick();
      this.deliverAll();
    }
  }

  /** Gets the running requests of every engine as known to a daemon. */
  getCounts(daemon: string): (number | undefined)[] {
    return this.engines.map(({ name }) => this.placers.get(daemon)?.getCount(name, this.now));
  }

  /** Gets the number of the given requests on every engine, by where they were placed last. */
  getTrueCounts(requests: readonly string[]): number[] {
    const engines = requests.map((request) => this.placedEngines.get(request)?.at(-1));
    return this.engines.map(({ name }) => engines.filter((engine) => engine === name).length);
  }

  private applyEffect(from: string, effect: PlacementEffect): void {
    if (effect.kind === "send") {
      this.datagrams.push({ from, to: effect.to, message: effect.message });
    } else if (effect.kind === "placed") {
      const engines = this.placedEngines.get(effect.requestId) ?? [];
      this.placedEngines.set(effect.requestId, [...engines, effect.engine]);
    }
  }
}
