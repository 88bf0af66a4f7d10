import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import {
  admissionPlugin,
  Kernel,
  type AdmissionEffect,
  type AdmissionGuard,
  type AdmissionMessage,
  type Team,
} from "@pistachioway/kernel";

const stepMilliseconds = 20;
const capacity = 100;
const timeoutMilliseconds = 10_000;
const runSeconds = 120;

/** The requests that one team sends. */
export interface TeamLoad {
  readonly team: Team;
  readonly requestsPerSecond: number;
  readonly serviceMilliseconds: number;
}

/** The outcomes of one team's requests. */
export interface TeamOutcome {
  readonly team: string;
  readonly arrived: number;
  readonly admitted: number;
  readonly refused: number;
  readonly expired: number;
  readonly meanWaitMilliseconds: number;
}

interface Counts {
  arrived: number;
  admitted: number;
  refused: number;
  expired: number;
  waitedMilliseconds: number;
}

/** Simulates one daemon's admission plug-in under constant loads of several teams. */
export class SurgeSimulation {
  private now = 1_000_000;
  private sequence = 0;
  private running = 0;
  private readonly kernel = Kernel.create(1);
  private readonly random;
  private readonly plannedEnds: { at: number; requestId: string }[] = [];
  private readonly counts = new Map<string, Counts>();

  private constructor(
    private readonly loads: readonly TeamLoad[],
    seed: number,
    disabledGuards: readonly AdmissionGuard[],
  ) {
    this.random = xoroshiro128plus(seed);
    for (const { team } of loads) {
      const counts = { arrived: 0, admitted: 0, refused: 0, expired: 0, waitedMilliseconds: 0 };
      this.counts.set(team.name, counts);
    }
    this.send({ kind: "configure", teams: loads.map((load) => load.team), disabledGuards });
    this.send({ kind: "capacity", capacity, daemon: "d1", daemons: ["d1"] });
  }

  /** Runs the loads for two minutes and returns the outcomes of each team's requests. */
  static run(
    loads: readonly TeamLoad[],
    seed: number,
    guards: readonly AdmissionGuard[] = [],
  ): TeamOutcome[] {
    const simulation = new SurgeSimulation(loads, seed, guards);
    const steps = (runSeconds * 1_000) / stepMilliseconds;
    for (let step = 0; step < steps; step += 1) {
      simulation.step();
    }
    return loads.map((load) => simulation.getOutcome(load.team.name));
  }

  private step(): void {
    this.now += stepMilliseconds;
    for (const end of this.plannedEnds.filter(({ at }) => at <= this.now)) {
      this.plannedEnds.splice(this.plannedEnds.indexOf(end), 1);
      this.running -= 1;
      this.send({ kind: "finish", requestId: end.requestId });
    }
    this.loads.forEach((load) => {
      this.addArrivals(load);
    });
    this.send({ kind: "tick", at: this.now });
  }

  /** Sends the requests of one step; the fraction of a request is rounded at random. */
  private addArrivals(load: TeamLoad): void {
    const expectedMillionths = load.requestsPerSecond * stepMilliseconds * 1_000;
    let remainingMillionths = expectedMillionths - uniformInt(this.random, 0, 999_999);
    while (remainingMillionths > 0) {
      remainingMillionths -= 1_000_000;
      this.sequence += 1;
      const requestId = `${load.team.name}/${String(this.sequence)}`;
      const deadline = this.now + timeoutMilliseconds;
      this.getCounts(requestId).arrived += 1;
      this.send({ kind: "arrive", requestId, team: load.team.name, cost: 1, deadline });
    }
  }

  private send(message: AdmissionMessage): void {
    for (const effect of this.kernel.send(admissionPlugin, message, this.now)) {
      this.carryOut(effect);
    }
  }

  private carryOut(effect: AdmissionEffect): void {
    if (effect.kind === "teamTotals") {
      return;
    }
    const counts = this.getCounts(effect.requestId);
    if (effect.kind !== "admit") {
      counts[effect.kind === "refuse" ? "refused" : "expired"] += 1;
      return;
    }
    counts.admitted += 1;
    counts.waitedMilliseconds += this.now - effect.arrivedAt;
    this.running += 1;
    if (this.running > capacity) {
      throw new RangeError(`${String(this.running)} running requests exceed the capacity`);
    }
    this.plannedEnds.push({
      at: this.now + this.getServiceTime(effect),
      requestId: effect.requestId,
    });
  }

  private getServiceTime(effect: { requestId: string }): number {
    const load = this.loads.find(({ team }) => effect.requestId.startsWith(`${team.name}/`));
    const mean = load?.serviceMilliseconds ?? 0;
    return uniformInt(this.random, Math.floor(mean / 2), Math.ceil((mean * 3) / 2));
  }

  private getCounts(requestId: string): Counts {
    const counts = this.counts.get(requestId.split("/")[0] ?? "");
    if (counts === undefined) {
      throw new RangeError(`request "${requestId}" belongs to an unknown team`);
    }
    return counts;
  }

  private getOutcome(team: string): TeamOutcome {
    const { arrived, admitted, refused, expired, waitedMilliseconds } = this.getCounts(`${team}/`);
    const meanWaitMilliseconds = Math.round(waitedMilliseconds / Math.max(1, admitted));
    return { team, arrived, admitted, refused, expired, meanWaitMilliseconds };
  }
}
