import {
  getCandidates,
  getView,
  Kernel,
  membershipPlugin,
  type Engine,
  type Host,
  type HostGuard,
  type MembershipEffect,
  type MembershipMessage,
  type MembershipState,
  type Observation,
} from "@pistachioway/kernel";

/** Start time of each harness, in milliseconds. */
export const start = 1_000_000;

/** Creates a configured engine. */
export function createEngine(name: string, zone: string): Engine {
  const data = { slots: 32, weight: 1, checksFencing: false, role: "serve" as const };
  return { name, zone, models: ["m"], ...data };
}

/** Creates an entry of a host list. */
export function createHost(name: string, zone: string, changes: Partial<Host> = {}): Host {
  return { name, role: "engine", zone, state: "live", address: "127.0.0.1:1", ...changes };
}

const fourEngines: Record<string, string> = { e1: "a", e2: "a", e3: "b", e4: "b" };

/** One daemon's membership plug-in with four engines, e1 and e2 in zone a, e3 and e4 in zone b. */
export class Harness {
  now = start;
  effects: readonly MembershipEffect[] = [];
  private readonly kernel = Kernel.create(1);

  private constructor(
    private readonly listed: readonly Host[],
    disabledGuards: readonly HostGuard[],
  ) {
    this.send({ kind: "identity", daemon: "d1", zone: "a", disabledGuards });
    const engines = listed.map((host) => createEngine(host.name, host.zone));
    this.send({ kind: "configured", engines, services: [] });
    this.list(1, listed);
  }

  /** Creates a harness whose hosts have not been checked. */
  static create(zoneByEngine = fourEngines, guards: readonly HostGuard[] = []): Harness {
    const hosts = Object.entries(zoneByEngine).map(([name, zone]) => createHost(name, zone));
    return new Harness(hosts, guards);
  }

  /** Creates a harness whose hosts are all checked and healthy. */
  static createChecked(zoneByEngine = fourEngines, guards: readonly HostGuard[] = []): Harness {
    const harness = Harness.create(zoneByEngine, guards);
    harness.observeAll("healthy");
    return harness;
  }

  get state(): MembershipState {
    return this.kernel.getStateOrThrow(membershipPlugin);
  }

  send(message: MembershipMessage): this {
    this.effects = this.kernel.send(membershipPlugin, message, this.now);
    return this;
  }

  list(revision: number, hosts: readonly Host[]): this {
    return this.send({ kind: "hostList", revision, hosts, at: this.now });
  }

  observe(host: string, observation: Observation, at = this.now, incarnation?: number): this {
    return this.send({ kind: "observed", host, observation, at, incarnation });
  }

  observeAll(observation: Observation): this {
    this.listed.forEach((host) => this.observe(host.name, observation));
    return this;
  }

  /** Advances the clock in ticks of the usual period, and collects the effects of all ticks. */
  advance(milliseconds: number): this {
    const effects: MembershipEffect[] = [];
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += 250;
      effects.push(...this.send({ kind: "tick", at: this.now }).effects);
    }
    this.effects = effects;
    return this;
  }

  /** Advances the clock without a tick, as in a frozen process. */
  freeze(milliseconds: number): this {
    this.now += milliseconds;
    return this;
  }

  /** Gets each host's state and reason. */
  getStates(): string[] {
    return [...getView(this.state).hosts.values()].map(
      (host) => `${host.name} ${host.state} ${host.reason}`,
    );
  }

  getState(name: string): string {
    return this.getStates().find((state) => state.startsWith(`${name} `)) ?? "";
  }

  /** Gets the names of the hosts that may get new work now. */
  getCandidates(): string {
    const names = this.listed.map((host) => host.name);
    const candidates = getCandidates(getView(this.state), names, this.now);
    return candidates.kind === "hosts"
      ? candidates.hosts.map((host) => host.name).join(" ")
      : candidates.kind;
  }

  getEffectKinds(): string[] {
    return this.effects.map((effect) => effect.kind);
  }
}
