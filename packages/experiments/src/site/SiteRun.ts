import { EventQueue } from "../bench/EventQueue.js";
import { Random } from "../bench/Random.js";
import { requestKinds, type RequestKind } from "./kinds.js";
import type { PromptPart } from "./PromptCache.js";
import type { SiteScenario } from "./scenarios.js";
import { SiteMeter, type SiteFigures } from "./SiteMeter.js";
import type { SitePolicy, SitePolicyFactory } from "./SitePolicy.js";
import type { SiteRequest } from "./SiteRequest.js";
import { SiteUpstream, type UpstreamTraits } from "./SiteUpstream.js";

/** Services of the site. */
export type SiteService = RequestKind["service"];

const zones = ["a", "b", "c", "d"] as const;
const routerZones = ["a", "a", "b", "c", "d"] as const;
const upstreamCounts: Readonly<Record<SiteService, number>> = { engines: 13, records: 4 };
const traitsByService: Readonly<Record<SiteService, UpstreamTraits>> = {
  engines: { slots: 64, queue: 64, workMilliseconds: 0, cacheTokens: 589_156 },
  records: { slots: 6, queue: 12, workMilliseconds: 42.9, cacheTokens: 0 },
};
const teams = 10;
const chatsPerKind = 130;
const heartbeatMilliseconds = 400;
/** Time after which the registry drops an upstream that sends nothing. */
const lapseMilliseconds = 3_600;
const newsMilliseconds = 350;
const drainMilliseconds = 2_000;
const maxAttempts = 2;

/** One run of a scenario under a policy, in virtual time. */
export class SiteRun {
  private readonly events = EventQueue.create();
  private readonly random: Random;
  private readonly upstreams: SiteUpstream[] = [];
  private readonly routers: readonly SitePolicy[];
  private readonly meter = SiteMeter.create();
  private nextUpstream = 0;
  private nextRequest = 0;

  private constructor(
    private readonly scenario: SiteScenario,
    createPolicy: SitePolicyFactory,
    seed: number,
    private readonly milliseconds: number,
  ) {
    this.random = Random.create(seed, 7);
    const getNow = (): number => this.events.getNow();
    this.routers = routerZones.map((zone, index) => createPolicy(index, zone, getNow));
    for (const service of ["engines", "records"] as const) {
      for (let count = 0; count < upstreamCounts[service]; count += 1) {
        this.add(service);
      }
    }
  }

  /**
   * Runs a scenario and gets its figures.
   * @param scenario - Day to play.
   * @param createPolicy - Creates the policy of each router.
   * @param seed - Seed of the traffic.
   * @param seconds - Length of the day.
   */
  static play(
    scenario: SiteScenario,
    createPolicy: SitePolicyFactory,
    seed: number,
    seconds = 30,
  ): SiteFigures {
    const run = new SiteRun(scenario, createPolicy, seed, seconds * 1_000);
    scenario.plan(run);
    run.tellList();
    run.beat();
    requestKinds.forEach((kind) => {
      run.planNext(kind);
    });
    run.events.runUntil(run.milliseconds, () => undefined);
    return run.meter.getFigures();
  }

  /** Does something at an instant. */
  at(instant: number, act: () => void): void {
    this.events.addEvent(instant, act);
  }

  /** Crashes upstreams of a service; the registry drops them after their heartbeats are missed. */
  crash(service: SiteService, count: number): void {
    for (const upstream of this.getReady(service).slice(0, count)) {
      upstream.crash();
      this.at(this.events.getNow() + lapseMilliseconds, () => {
        this.remove(upstream);
      });
    }
  }

  /** Makes upstreams of a service slower, or as fast as usual again. */
  slow(service: SiteService, count: number, slowness: number): void {
    for (const upstream of this.getReady(service).slice(0, count)) {
      upstream.slowness = slowness;
    }
  }

  /** Empties upstreams of a service and takes them away. */
  drain(service: SiteService, count: number): void {
    for (const upstream of this.getReady(service).slice(0, count)) {
      upstream.record = { ...upstream.record, state: "draining", sequence: 2 };
      this.at(this.events.getNow() + drainMilliseconds, () => {
        this.remove(upstream);
      });
    }
    this.tellList();
  }

  /** Replaces the oldest upstream of a service by an empty one. */
  replace(service: SiteService): void {
    this.add(service);
    this.drain(service, 1);
  }

  private add(service: SiteService): void {
    const id = `${service}-${String(this.nextUpstream)}`;
    const zone = zones[this.nextUpstream % zones.length] ?? zones[0];
    const { slots } = traitsByService[service];
    const record = { id, service, zone, slots, address: "127.0.0.1:1", bornAt: 0, sequence: 1 };
    const upstream = SiteUpstream.create(
      { ...record, state: "ready" },
      traitsByService[service],
      this.events,
    );
    this.nextUpstream += 1;
    this.upstreams.push(upstream);
  }

  private remove(upstream: SiteUpstream): void {
    this.upstreams.splice(this.upstreams.indexOf(upstream), 1);
    this.tellList();
  }

  private getReady(service: SiteService): SiteUpstream[] {
    return this.upstreams.filter(
      ({ record, isAlive }) => isAlive && record.service === service && record.state === "ready",
    );
  }

  /** Tells every router of the list, at once before the start and with the usual delay after it. */
  private tellList(): void {
    const delay = this.events.getNow() === 0 ? 0 : newsMilliseconds;
    this.at(this.events.getNow() + delay, () => {
      this.routers.forEach((router) => {
        router.listed([...this.upstreams]);
      });
    });
  }

  private beat(): void {
    const running = this.routers.map((router) => router.getRunning());
    this.routers.forEach((router, index) => {
      running.forEach((counts, other) => {
        if (other !== index) {
          router.heard(other, counts);
        }
      });
    });
    this.at(this.events.getNow() + heartbeatMilliseconds, () => {
      this.beat();
    });
  }

  private planNext(kind: RequestKind): void {
    const now = this.events.getNow();
    const rate = kind.perSecond * this.scenario.getRate(now);
    this.at(now + this.random.getExponential(1_000 / rate), () => {
      this.send(this.createRequest(kind));
      this.planNext(kind);
    });
  }

  private createRequest(kind: RequestKind): SiteRequest {
    const now = this.events.getNow();
    const isHot = this.random.getUniform() < this.scenario.getHotShare(now);
    const chat = isHot ? 0 : this.random.getIndex(chatsPerKind);
    const team = `${kind.name}-team-${String(chat % teams)}`;
    const chatKey = `${kind.name}-chat-${String(chat)}`;
    const own = `request-${String(this.nextRequest)}`;
    this.nextRequest += 1;
    const parts: readonly PromptPart[] = [
      { id: team, tokens: kind.teamTokens },
      { id: chatKey, tokens: kind.chatTokens },
      { id: own, tokens: kind.ownTokens },
    ];
    const isPlain = kind.events === 0;
    const sent = { kind, parts: isPlain ? [] : parts, sentAt: now };
    return { ...sent, stickyKey: isPlain ? undefined : chatKey };
  }

  private send(request: SiteRequest): void {
    this.meter.ask(request.kind);
    const router = this.routers[this.random.getIndex(this.routers.length)];
    if (router !== undefined) {
      this.attempt(request, router, new Set());
    }
  }

  private attempt(request: SiteRequest, router: SitePolicy, tried: Set<string>): void {
    const choice = tried.size < maxAttempts ? router.choose(request, tried) : undefined;
    if (choice === undefined) {
      this.meter.refuse(request.kind);
      return;
    }
    const { upstream, fetchFrom } = choice;
    tried.add(upstream.record.id);
    router.started(upstream);
    if (!upstream.isAlive) {
      router.ended(upstream, "unreached");
      this.attempt(request, router, tried);
      return;
    }
    const fetched = fetchFrom?.isAlive === true ? fetchFrom.cache.getKeptTokens(request.parts) : 0;
    this.measure(request, upstream, fetched);
    if (!this.run(request, router, upstream, fetched)) {
      router.reported(upstream, upstream.getLoad());
      router.ended(upstream, "left");
      this.attempt(request, router, tried);
    }
  }

  private measure({ kind, parts }: SiteRequest, upstream: SiteUpstream, fetched: number): void {
    this.meter.read(parts, upstream, fetched);
    if (kind.service === "engines") {
      const loads = this.getReady("engines").map((engine) => engine.getLoad());
      this.meter.place(upstream.getLoad(), loads);
    }
  }

  /** Runs a request on an upstream; false when the upstream refuses it. */
  private run(
    request: SiteRequest,
    router: SitePolicy,
    upstream: SiteUpstream,
    fetched: number,
  ): boolean {
    const { kind, sentAt } = request;
    let firstAt = 0;
    let isOver = false;
    const finish = (outcome: "whole" | "left" | "lost"): void => {
      if (!isOver) {
        isOver = true;
        router.ended(upstream, outcome);
        this.meter.end(kind, outcome, firstAt - sentAt);
      }
    };
    const cancel = upstream.take(request, fetched, {
      onFirst: () => {
        firstAt = this.events.getNow();
        router.reported(upstream, upstream.getLoad());
      },
      onEnd: () => {
        finish("whole");
      },
      onLost: () => {
        finish("lost");
      },
    });
    if (cancel !== undefined) {
      this.at(sentAt + kind.patienceMilliseconds, () => {
        if (!isOver) {
          cancel();
          finish("left");
        }
      });
    }
    return cancel !== undefined;
  }
}
