import {
  Kernel,
  packPeerMessage,
  placementPlugin,
  type PlacementEffect,
  type PlacementMessage,
  type PlacementStrategyName,
  type SendEffect,
} from "@pistachioway/kernel";
import { pack } from "msgpackr";
import type { SimulatedFleet } from "../SimulatedFleet.js";
import { Random } from "../Random.js";
import type { TrafficRequest } from "../TrafficRequest.js";
import type { Policy } from "./Policy.js";

const tickMilliseconds = 50;
/** IP and UDP headers, truncated HMAC, sender, start, sequence and time (decision 0007). */
const datagramOverheadBytes = 68;

/** Runs one kernel for each daemon and delivers their datagrams with delay and packet loss. */
export class KernelPolicy implements Policy {
  private readonly kernels: readonly Kernel[];
  private readonly random: Random;
  private readonly daemonsByName: ReadonlyMap<string, number>;
  private readonly enginesByName: ReadonlyMap<string, number>;
  private readonly decisionsById = new Map<string, (engine: number) => void>();
  private sentBytes: number[];

  private constructor(
    readonly name: string,
    private readonly fleet: SimulatedFleet,
    strategy: PlacementStrategyName,
  ) {
    this.random = Random.create(fleet.seed, 6);
    this.daemonsByName = new Map(fleet.daemons.map(({ name: key }, index) => [key, index]));
    this.enginesByName = new Map(fleet.engines.map(({ name: key }, index) => [key, index]));
    this.sentBytes = fleet.daemons.map(() => 0);
    this.kernels = fleet.daemons.map((_, index) => Kernel.create(fleet.seed + index));
    fleet.addListener(this);
    this.start(strategy);
  }

  /**
   * Starts the kernels of a fleet.
   * @param name - Name of the policy in the results.
   * @param fleet - Fleet to place on.
   * @param strategy - Placement strategy of the kernels.
   */
  static create(
    name: string,
    fleet: SimulatedFleet,
    strategy: PlacementStrategyName,
  ): KernelPolicy {
    return new KernelPolicy(name, fleet, strategy);
  }

  place(request: TrafficRequest, resolvePlacement: (engine: number) => void): void {
    const { chat, exclude } = request;
    this.decisionsById.set(request.id, resolvePlacement);
    this.send(request.daemon, {
      kind: "place",
      requestId: request.id,
      chat: chat.name,
      model: "model",
      tokens: request.promptTokens,
      cachedHint:
        chat.hintedEngine === undefined
          ? undefined
          : [{ engine: chat.hintedEngine, tokens: chat.processedTokens }],
      isFirstTurn: request.isFirstTurn,
      exclude: exclude.map((engine) => this.fleet.engines[engine]?.name ?? ""),
    });
  }

  finish(request: TrafficRequest): void {
    this.decisionsById.delete(request.id);
    this.send(request.daemon, { kind: "finished", requestId: request.id });
  }

  drainControlBytes(): readonly number[] {
    const taken = this.sentBytes;
    this.sentBytes = taken.map(() => 0);
    return taken;
  }

  viewChanged(daemon: number): void {
    this.send(daemon, this.fleet.getView(daemon));
  }

  engineCrashed(): void {
    // The kernels learn of it from the next change of their view.
  }

  daemonLost(): void {
    // The kernels learn of it from the next change of their view.
  }

  private start(strategy: PlacementStrategyName): void {
    this.fleet.daemons.forEach(({ name, zone }, daemon) => {
      const seed = this.fleet.seed + daemon;
      this.send(daemon, { kind: "start", daemon: name, zone, seed, strategy });
      this.send(daemon, this.fleet.getView(daemon));
      this.scheduleTick(daemon, (tickMilliseconds * daemon) / this.fleet.daemons.length);
    });
  }

  private scheduleTick(daemon: number, at: number): void {
    this.fleet.events.addEvent(at, () => {
      this.send(daemon, { kind: "tick" });
      this.scheduleTick(daemon, at + tickMilliseconds);
    });
  }

  private send(daemon: number, message: PlacementMessage): void {
    const kernel = this.kernels[daemon];
    if (kernel === undefined || this.fleet.daemons[daemon]?.isLive !== true) {
      return;
    }
    for (const effect of kernel.send(placementPlugin, message, this.fleet.events.getNow())) {
      this.handleEffect(daemon, effect);
    }
  }

  private handleEffect(daemon: number, effect: PlacementEffect): void {
    if (effect.kind === "send") {
      this.deliver(daemon, effect);
    } else if (effect.kind === "placed") {
      this.decide(effect.requestId, this.enginesByName.get(effect.engine));
    } else if (effect.kind === "unplaceable") {
      this.decide(effect.requestId, this.random.getIndex(this.fleet.engines.length));
    }
  }

  private decide(requestId: string, engine: number | undefined): void {
    const decide = this.decisionsById.get(requestId);
    this.decisionsById.delete(requestId);
    if (decide !== undefined && engine !== undefined) {
      decide(engine);
    }
  }

  private deliver(from: number, { to, message }: SendEffect): void {
    const { conditions, events } = this.fleet;
    const target = this.daemonsByName.get(to);
    const size = datagramOverheadBytes + pack(packPeerMessage(message)).length;
    this.sentBytes[from] = (this.sentBytes[from] ?? 0) + size;
    if (target === undefined || this.random.getUniform() < conditions.lossShare) {
      return;
    }
    const extra = this.random.getUniform() * conditions.extraDelayMilliseconds;
    const name = this.fleet.daemons[from]?.name ?? "";
    events.addEvent(events.getNow() + this.fleet.getDelay(from, target) + extra, () => {
      this.send(target, { kind: "peer", from: name, message });
    });
  }
}
