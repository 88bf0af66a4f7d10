import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import {
  getCandidates,
  getHealthReports,
  getView,
  Kernel,
  membershipPlugin,
  type MembershipEffect,
  type MembershipMessage,
} from "@pistachioway/kernel";
import { createEngine, createHost, start } from "./harness.js";

const zones = ["a", "b", "c"];
const sampleMilliseconds = 10;

/** Faults of one run of the simulation. */
export interface Faults {
  readonly lossPercent: number;
  /** Zone whose daemons reach all engines but no daemons of other zones. */
  readonly cutZone: string | undefined;
  /** Time from the start of the partition until the engine starts to leave. */
  readonly cutMilliseconds: number;
  /** Index of the daemon that is frozen when the engine starts to leave. */
  readonly frozenDaemon: number;
  readonly frozenMilliseconds: number;
}

interface Daemon {
  readonly name: string;
  readonly zone: string;
  readonly kernel: Kernel;
  frozenUntil: number;
}

interface Event {
  readonly at: number;
  readonly daemon: Daemon;
  readonly message: MembershipMessage;
}

/**
 * Simulates the kernels of several daemons that probe engines and exchange health reports, while the
 * platform's host list does not show that an engine leaves.
 */
export class FleetSimulation {
  /** Time from the first probe that gets a leaving answer until the engine was last a candidate. */
  lastCandidateMilliseconds = 0;
  private firstLeavingAnswerAt = Infinity;
  private events: Event[] = [];
  private readonly daemons: Daemon[];
  private readonly engines = Array.from({ length: 13 }, (_, index) => {
    return { name: `e${String(index)}`, zone: zones[index % zones.length] ?? "a" };
  });
  private readonly leavingAt: number;
  private readonly random;

  private constructor(
    private readonly faults: Faults,
    seed: number,
  ) {
    this.random = xoroshiro128plus(seed);
    this.leavingAt = start + 5_000 + sampleMilliseconds * this.getRandomInteger(100);
    this.daemons = [0, 1, 2, 3, 4].map((index) => this.createDaemon(index, seed));
  }

  /** Runs a fleet whose engine e0 starts to leave after about five seconds. */
  static run(faults: Faults, seed: number): FleetSimulation {
    const simulation = new FleetSimulation(faults, seed);
    simulation.runUntil(simulation.leavingAt + 20_000);
    return simulation;
  }

  private createDaemon(index: number, seed: number): Daemon {
    const zone = zones[index % zones.length] ?? "a";
    const name = `d${String(index)}`;
    return { name, zone, kernel: Kernel.create(seed), frozenUntil: 0 };
  }

  private runUntil(end: number): void {
    this.daemons.forEach((daemon) => {
      this.startDaemon(daemon);
    });
    for (let now = start; now < end; now += 1) {
      this.freeze(now);
      if (now % sampleMilliseconds === 0) {
        this.sample(now);
      }
      this.deliverDue(now);
    }
  }

  private startDaemon(daemon: Daemon): void {
    const engines = this.engines.map((engine) => createEngine(engine.name, engine.zone));
    const hosts = this.engines.map((engine) => createHost(engine.name, engine.zone));
    this.send(daemon, { kind: "identity", daemon: daemon.name, zone: daemon.zone }, start);
    this.send(daemon, { kind: "configured", engines, services: [] }, start);
    this.send(daemon, { kind: "hostList", revision: 1, hosts, at: start }, start);
    this.addEvent(start + this.getRandomInteger(250), daemon, { kind: "tick", at: 0 });
  }

  private freeze(now: number): void {
    const daemon = this.daemons[this.faults.frozenDaemon];
    if (daemon !== undefined && now === this.leavingAt) {
      daemon.frozenUntil = now + this.faults.frozenMilliseconds;
    }
  }

  /** A frozen daemon's ticks and probe answers are delivered when it resumes. */
  private deliverDue(now: number): void {
    const due = this.events.filter((event) => event.at <= now && event.daemon.frozenUntil <= now);
    this.events = this.events.filter((event) => !due.includes(event));
    for (const event of due) {
      this.deliver(event, now);
    }
  }

  private deliver(event: Event, now: number): void {
    const { daemon, message } = event;
    if (message.kind !== "tick") {
      this.send(daemon, message, now);
      return;
    }
    this.send(daemon, { kind: "tick", at: now }, now);
    this.addEvent(now + 250, daemon, message);
    const { name, zone } = daemon;
    const heartbeat = { kind: "heartbeat", daemon: name, zone, incarnation: 1, at: now } as const;
    this.broadcast(daemon, heartbeat, now);
  }

  private send(daemon: Daemon, message: MembershipMessage, now: number): void {
    for (const effect of daemon.kernel.send(membershipPlugin, message, now)) {
      this.applyEffect(daemon, effect, now);
    }
  }

  private applyEffect(daemon: Daemon, effect: MembershipEffect, now: number): void {
    if (effect.kind === "probe") {
      this.probe(daemon, effect.host, now);
    } else if (effect.kind === "gossip") {
      for (const report of effect.reports) {
        this.broadcast(daemon, { kind: "peerHealthReport", from: daemon.name, ...report }, now);
      }
    } else if (effect.kind === "refresh") {
      this.refresh(daemon, now);
    }
  }

  private probe(daemon: Daemon, host: string, now: number): void {
    const isLeaving = host === "e0" && now >= this.leavingAt;
    this.firstLeavingAnswerAt = isLeaving
      ? Math.min(this.firstLeavingAnswerAt, now)
      : this.firstLeavingAnswerAt;
    const observation = isLeaving ? "leaving" : "loadReport";
    this.addEvent(now + 1 + this.getRandomInteger(5), daemon, {
      kind: "probed",
      host,
      observation,
      at: now,
    });
  }

  private refresh(daemon: Daemon, now: number): void {
    const peer = this.daemons[this.getRandomInteger(this.daemons.length)];
    if (peer === undefined || peer === daemon || !this.isConnected(peer, daemon, now)) {
      return;
    }
    for (const report of getHealthReports(peer.kernel.getStateOrThrow(membershipPlugin))) {
      this.addEvent(now + 2, daemon, { kind: "peerHealthReport", from: peer.name, ...report });
    }
  }

  private broadcast(from: Daemon, message: MembershipMessage, now: number): void {
    for (const daemon of this.daemons) {
      const isLost =
        this.getRandomInteger(100) < this.faults.lossPercent || daemon.frozenUntil > now;
      if (daemon !== from && !isLost && this.isConnected(from, daemon, now)) {
        this.addEvent(now + 1 + this.getRandomInteger(20), daemon, message);
      }
    }
  }

  private isConnected(a: Daemon, b: Daemon, now: number): boolean {
    if (now < this.leavingAt - this.faults.cutMilliseconds) {
      return true;
    }
    const isCut = a.zone === this.faults.cutZone || b.zone === this.faults.cutZone;
    return a.zone === b.zone || !isCut;
  }

  private addEvent(at: number, daemon: Daemon, message: MembershipMessage): void {
    this.events.push({ at, daemon, message });
  }

  private sample(now: number): void {
    const names = this.engines.map((engine) => engine.name);
    for (const daemon of this.daemons) {
      const view = getView(daemon.kernel.getStateOrThrow(membershipPlugin));
      const candidates = getCandidates(view, names, now);
      const isCandidate =
        candidates.kind === "hosts" && candidates.hosts.some((host) => host.name === "e0");
      if (isCandidate && daemon.frozenUntil <= now && now >= this.firstLeavingAnswerAt) {
        this.lastCandidateMilliseconds = now - this.firstLeavingAnswerAt;
      }
    }
  }

  private getRandomInteger(values: number): number {
    return uniformInt(this.random, 0, values - 1);
  }
}
