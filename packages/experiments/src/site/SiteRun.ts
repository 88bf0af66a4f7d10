import { getAnswerMeaning, type AnswerStatement } from "@pistachioway/kernel";
import { EventQueue } from "../bench/EventQueue.js";
import { Random } from "../bench/Random.js";
import { decideAfterAnswer, maxAttempts } from "./decideAfterAnswer.js";
import { createRanAnswer, createRefusal } from "./ranAnswers.js";
import { requestKinds, type RequestKind } from "./requestKinds.js";
import type { PromptBlock } from "./PromptCache.js";
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
  engines: {
    slots: 64,
    queueCapacity: 64,
    plainResponseMilliseconds: 0,
    cacheCapacityTokens: 589_156,
  },
  records: { slots: 6, queueCapacity: 12, plainResponseMilliseconds: 42.9, cacheCapacityTokens: 0 },
};
const teamCount = 10;
const chatCountPerKind = 130;
const heartbeatMilliseconds = 400;
/** Time after which the registry removes an upstream that sends no heartbeat. */
const expiryMilliseconds = 3_600;
/** Time until a change of the registry reaches the routers. */
const registryUpdateMilliseconds = 350;
const drainMilliseconds = 2_000;

/** A request, and its attempts before the next one. */
interface RoutedRequest {
  readonly request: SiteRequest;
  readonly router: SitePolicy;
  /** Ids of the upstreams that it was sent to. */
  readonly tried: Set<string>;
  /** Attempts that may have run, as far as the router knows. */
  readonly runs: number;
}

/** Simulates one scenario under one policy, in virtual time. */
export class SiteRun {
  private readonly events = EventQueue.create();
  private readonly random: Random;
  private readonly answerRandom: Random;
  private readonly upstreams: SiteUpstream[] = [];
  private readonly routers: readonly SitePolicy[];
  private readonly meter = SiteMeter.create();
  private nextUpstream = 0;
  private nextRequest = 0;

  private constructor(
    private readonly scenario: SiteScenario,
    createPolicy: SitePolicyFactory,
    seed: number,
    private readonly durationMilliseconds: number,
    private readonly getMeaning: typeof getAnswerMeaning,
  ) {
    this.random = Random.create(seed, 7);
    this.answerRandom = Random.create(seed, 8);
    const getNow = (): number => this.events.getNow();
    this.routers = routerZones.map((zone, index) => createPolicy(index, zone, getNow));
    for (const service of ["engines", "records"] as const) {
      for (let count = 0; count < upstreamCounts[service]; count += 1) {
        this.addUpstream(service);
      }
    }
  }

  /**
   * Simulates a scenario and gets its results.
   * @param scenario - Scenario to simulate.
   * @param createPolicy - Creates the policy of each router.
   * @param seed - Seed of the traffic.
   * @param seconds - Simulated time.
   * @param getMeaning - Gets what an answer means; that of the kernel unless a test replaces it.
   */
  static simulate(
    scenario: SiteScenario,
    createPolicy: SitePolicyFactory,
    seed: number,
    seconds = 30,
    getMeaning = getAnswerMeaning,
  ): SiteFigures {
    const run = new SiteRun(scenario, createPolicy, seed, seconds * 1_000, getMeaning);
    scenario.scheduleEvents(run);
    run.announceUpstreams();
    run.exchangeHeartbeats();
    requestKinds.forEach((kind) => {
      run.scheduleNextRequest(kind);
    });
    run.events.runUntil(run.durationMilliseconds, () => undefined);
    return run.meter.getFigures();
  }

  /** Schedules an action at an instant. */
  schedule(at: number, action: () => void): void {
    this.events.addEvent(at, action);
  }

  /** Crashes upstreams of a service; the registry removes them when their records expire. */
  crash(service: SiteService, count: number): void {
    for (const upstream of this.getReadyUpstreams(service).slice(0, count)) {
      upstream.crash();
      this.schedule(this.events.getNow() + expiryMilliseconds, () => {
        this.removeUpstream(upstream);
      });
    }
  }

  /** Sets the slowness of upstreams of a service; 1 is the usual speed. */
  setSlowness(service: SiteService, count: number, slowness: number): void {
    for (const upstream of this.getReadyUpstreams(service).slice(0, count)) {
      upstream.slowness = slowness;
    }
  }

  /** Drains upstreams of a service, and removes them after the drain time. */
  drain(service: SiteService, count: number): void {
    for (const upstream of this.getReadyUpstreams(service).slice(0, count)) {
      upstream.record = { ...upstream.record, state: "draining", sequence: 2 };
      this.schedule(this.events.getNow() + drainMilliseconds, () => {
        this.removeUpstream(upstream);
      });
    }
    this.announceUpstreams();
  }

  /** Replaces the oldest ready upstream of a service by a new one with an empty cache. */
  replace(service: SiteService): void {
    this.addUpstream(service);
    this.drain(service, 1);
  }

  private addUpstream(service: SiteService): void {
    const id = `${service}-${String(this.nextUpstream)}`;
    const zone = zones[this.nextUpstream % zones.length] ?? zones[0];
    const { slots } = traitsByService[service];
    const address = "127.0.0.1:1";
    const identity = { id, service, zone, address, softwareVersion: "v1" };
    const record = { ...identity, slots, bornAt: 0, sequence: 1 };
    const upstream = SiteUpstream.create(
      { ...record, state: "ready" },
      traitsByService[service],
      this.events,
    );
    this.nextUpstream += 1;
    this.upstreams.push(upstream);
  }

  private removeUpstream(upstream: SiteUpstream): void {
    this.upstreams.splice(this.upstreams.indexOf(upstream), 1);
    this.announceUpstreams();
  }

  private getReadyUpstreams(service: SiteService): SiteUpstream[] {
    return this.upstreams.filter(
      ({ record, isReachable }) =>
        isReachable && record.service === service && record.state === "ready",
    );
  }

  /** Announces the upstreams to every router, with the registry's delay except at the start. */
  private announceUpstreams(): void {
    const delay = this.events.getNow() === 0 ? 0 : registryUpdateMilliseconds;
    this.schedule(this.events.getNow() + delay, () => {
      this.routers.forEach((router) => {
        router.setUpstreams([...this.upstreams]);
      });
    });
  }

  private exchangeHeartbeats(): void {
    const running = this.routers.map((router) => router.getRunningCounts());
    this.routers.forEach((router, index) => {
      running.forEach((counts, other) => {
        if (other !== index) {
          router.receiveRunningCounts(other, counts);
        }
      });
    });
    this.schedule(this.events.getNow() + heartbeatMilliseconds, () => {
      this.exchangeHeartbeats();
    });
  }

  private scheduleNextRequest(kind: RequestKind): void {
    const now = this.events.getNow();
    const rate = kind.perSecond * this.scenario.getRate(now);
    this.schedule(now + this.random.getExponential(1_000 / rate), () => {
      this.send(this.createRequest(kind));
      this.scheduleNextRequest(kind);
    });
  }

  private createRequest(kind: RequestKind): SiteRequest {
    const now = this.events.getNow();
    const isHot = this.random.getUniform() < this.scenario.getHotShare(now);
    const chat = isHot ? 0 : this.random.getIndex(chatCountPerKind);
    const team = `${kind.name}-team-${String(chat % teamCount)}`;
    const chatKey = `${kind.name}-chat-${String(chat)}`;
    const requestId = `request-${String(this.nextRequest)}`;
    this.nextRequest += 1;
    const blocks: readonly PromptBlock[] = [
      { id: team, tokens: kind.teamTokens },
      { id: chatKey, tokens: kind.chatTokens },
      { id: requestId, tokens: kind.ownTokens },
    ];
    const isPlain = kind.events === 0;
    const request = { id: requestId, kind, blocks: isPlain ? [] : blocks, sentAt: now };
    return { ...request, stickyKey: isPlain ? undefined : chatKey };
  }

  private send(request: SiteRequest): void {
    this.meter.recordRequest(request.kind);
    const router = this.routers[this.random.getIndex(this.routers.length)];
    if (router !== undefined) {
      this.attempt({ request, router, tried: new Set(), runs: 0 });
    }
  }

  private attempt(routed: RoutedRequest): void {
    const { request, router, tried, runs } = routed;
    const choice = tried.size < maxAttempts ? router.chooseUpstream(request, tried) : undefined;
    if (choice === undefined) {
      this.endWithoutAnswer(request, runs > 0 ? "mayHaveRun" : "notRun");
      return;
    }
    const { upstream, kvCacheSource } = choice;
    tried.add(upstream.record.id);
    router.recordStart(upstream);
    if (!upstream.isReachable) {
      router.recordEnd(upstream, "unreached");
      this.attempt(routed);
      return;
    }
    const transferableTokens =
      kvCacheSource?.isReachable === true ? kvCacheSource.cache.getCachedTokens(request.blocks) : 0;
    this.recordPlacement(request, upstream, transferableTokens);
    if (!this.startOnUpstream(routed, upstream, transferableTokens)) {
      router.recordReportedLoad(upstream, upstream.getLoad());
      this.handleAnswer(routed, upstream, createRefusal(request.id), 0);
    }
  }

  private handleAnswer(
    routed: RoutedRequest,
    upstream: SiteUpstream,
    answer: AnswerStatement,
    firstByteMilliseconds: number,
  ): void {
    const { request, router, tried } = routed;
    const meaning = this.getMeaning(answer);
    const runs = routed.runs + (meaning === "refusal" ? 0 : 1);
    const attempts = { sent: tried.size, runs, status: answer.status };
    const decision = decideAfterAnswer(meaning, request, attempts, this.events.getNow());
    router.recordEnd(
      upstream,
      meaning === "final" ? "whole" : runs > routed.runs ? "lost" : "left",
    );
    if (decision === "passOn") {
      this.meter.recordEnd(request.kind, "whole", firstByteMilliseconds);
    } else if (decision === "retry") {
      this.attempt({ ...routed, runs });
    } else {
      this.endWithoutAnswer(request, decision);
    }
  }

  private endWithoutAnswer(request: SiteRequest, told: "notRun" | "mayHaveRun"): void {
    if (told === "notRun") {
      this.meter.recordRefusal(request);
    } else {
      this.meter.recordEnd(request.kind, "lost", 0);
    }
  }

  private recordPlacement(
    { kind, blocks }: SiteRequest,
    upstream: SiteUpstream,
    transferableTokens: number,
  ): void {
    this.meter.recordPrompt(blocks, upstream, transferableTokens);
    if (kind.service === "engines") {
      const loads = this.getReadyUpstreams("engines").map((engine) => engine.getLoad());
      this.meter.recordPlacement(upstream.getLoad(), loads);
    }
  }

  /** Starts a request on an upstream; returns false if the upstream refuses it. */
  private startOnUpstream(
    routed: RoutedRequest,
    upstream: SiteUpstream,
    transferableTokens: number,
  ): boolean {
    const { request, router } = routed;
    const { kind, sentAt } = request;
    const answer = createRanAnswer(this.answerRandom, this.scenario.answerFaults, request.id);
    let firstByteAt = 0;
    let isOver = false;
    const finish = (outcome: "left" | "lost"): void => {
      if (!isOver) {
        isOver = true;
        router.recordEnd(upstream, outcome);
        this.meter.recordEnd(kind, outcome, 0);
      }
    };
    const cancel = upstream.startOrRefuse(request, transferableTokens, {
      onStart: () => {
        this.meter.recordRun(request);
      },
      onFirstByte: () => {
        firstByteAt = this.events.getNow();
        router.recordReportedLoad(upstream, upstream.getLoad());
      },
      onEnd: () => {
        isOver = true;
        this.handleAnswer(routed, upstream, answer, firstByteAt - sentAt);
      },
      onLost: () => {
        finish("lost");
      },
    });
    if (cancel !== undefined) {
      this.schedule(sentAt + kind.callerTimeoutMilliseconds, () => {
        if (!isOver) {
          cancel();
          finish("left");
        }
      });
    }
    return cancel !== undefined;
  }
}
