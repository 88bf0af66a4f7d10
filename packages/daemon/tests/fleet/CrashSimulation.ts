import type { RequestContent } from "@pistachioway/kernel";
import { FleetTraffic, type TrafficSource } from "./FleetTraffic.js";
import { TrafficSimulation } from "./TrafficSimulation.js";

/** Options of a fleet whose upstreams crash on some requests. */
export interface CrashOptions {
  readonly daemons: number;
  readonly zones: number;
  readonly upstreams: number;
  /** Requests that crash upstreams, in a second, over all daemons. */
  readonly crashingRate: number;
  /** Sound requests, in a second, over all daemons. */
  readonly soundRate: number;
  /** Creates the content of a request that crashes upstreams. */
  readonly createCrashing: (requests: RequestFactory) => RequestContent;
  /** Creates the content of a sound request. */
  readonly createSound: (requests: RequestFactory) => RequestContent;
  /** Upstreams to which a daemon sends one request at most, while they end under it. */
  readonly maxAttempts: number;
  /** Times that a caller sends a failed request again, to any daemon. */
  readonly callerRepeats: number;
  /** Time from the crash of an upstream until another one takes its place. */
  readonly restartMilliseconds: number;
  /** Ratio of datagrams that are lost. */
  readonly loss: number;
  readonly getRandom: () => number;
}

/** Draws the parts of request contents. */
export interface RequestFactory {
  /** Gets a hash that no other request has. */
  readonly createHash: () => number;
  /** Picks one of a number of hashes that requests share. */
  readonly pick: (firstHash: number, count: number) => number;
}

interface CrashingUpstream {
  hash: number;
  /** When the upstream is up after its last crash. */
  upAt: number;
  /** When it crashes next. */
  crashesAt: number;
}

interface SentRequest {
  readonly content: RequestContent;
  readonly isCrashing: boolean;
  /** Hash of the request's id. */
  readonly id: number;
  readonly attempts: number;
  readonly repeats: number;
}

interface RunningRequest extends SentRequest {
  readonly daemon: number;
  readonly upstream: CrashingUpstream;
  /** When its upstream has answered it; Infinity for requests that crash it. */
  readonly endsAt: number;
}

/** Time from the arrival of a crashing request until its upstream ends. */
const crashDelayMilliseconds = 40;
const longestAnswerMilliseconds = 2_000;
const firstUniqueHash = 100_000;
const repeatDelayMilliseconds = 250;

/**
 * Requests to the daemons of a simulated fleet, and upstreams that end 40 ms after a crashing request has
 * arrived, together with all that run there. Each daemon learns of its own lost requests only.
 */
export class CrashSimulation extends TrafficSimulation {
  readonly crashes: number[] = [];
  /** Sends of crashing requests to upstreams. */
  readonly sent: { readonly at: number; readonly daemon: number }[] = [];
  readonly sound = { sent: 0, refused: 0, served: 0 };
  /** Whether crashing requests crash upstreams. */
  isCrashing = true;
  /** Whether daemons refuse what is quarantined. */
  isGuarded = true;
  /** Whether crashing requests are sent. */
  isStormy = true;
  readonly traffic: FleetTraffic;
  private readonly upstreams: CrashingUpstream[];
  private running: RunningRequest[] = [];
  private repeats: { readonly at: number; readonly request: SentRequest }[] = [];
  private nextHash = firstUniqueHash;

  private constructor(private readonly options: CrashOptions) {
    super();
    const { createCrashing, createSound } = options;
    this.upstreams = Array.from({ length: options.upstreams }, () => this.createUpstream());
    const factory: RequestFactory = {
      createHash: () => this.createHash(),
      pick: (first, count) => first + Math.floor(options.getRandom() * count),
    };
    this.traffic = FleetTraffic.create({
      ...options,
      onStep: () => {
        this.endRequests();
      },
      sources: [
        this.createSource(
          true,
          () => (this.isStormy ? options.crashingRate : 0),
          () => createCrashing(factory),
        ),
        this.createSource(
          false,
          () => options.soundRate,
          () => createSound(factory),
        ),
      ],
    });
  }

  /**
   * Creates a fleet without requests.
   * @param options - Options of the fleet.
   */
  static create(options: CrashOptions): CrashSimulation {
    return new CrashSimulation(options);
  }

  /** Lets an upstream crash for a reason of its own. */
  crashAny(): void {
    const upstream = this.pickUpstream();
    if (upstream !== undefined) {
      this.crash(upstream);
    }
  }

  /** Counts the sends of crashing requests by daemons later than a time. */
  countSent(since: number, isCounted: (daemon: number) => boolean = () => true): number {
    return this.sent.filter(({ at, daemon }) => at > since && isCounted(daemon)).length;
  }

  private createHash(): number {
    this.nextHash += 1;
    return this.nextHash;
  }

  private createUpstream(): CrashingUpstream {
    return { hash: this.createHash(), upAt: 0, crashesAt: Infinity };
  }

  private createSource(
    isCrashing: boolean,
    getRate: () => number,
    createContent: () => RequestContent,
  ): TrafficSource {
    const send = (daemon: number): void => {
      const content = createContent();
      this.send(daemon, this.createRequest({ content, isCrashing, repeats: 0 }));
    };
    return { getRate, send };
  }

  private createRequest(
    request: Pick<SentRequest, "content" | "isCrashing" | "repeats">,
  ): SentRequest {
    return { ...request, id: this.createHash(), attempts: 1 };
  }

  private pickUpstream(): CrashingUpstream | undefined {
    const up = this.upstreams.filter((each) => each.upAt <= this.now);
    return up[Math.floor(this.options.getRandom() * up.length)];
  }

  private send(daemon: number, request: SentRequest): void {
    const quarantine = this.fleet.members[daemon]?.quarantine;
    const upstream = this.pickUpstream();
    if (this.fleet.members[daemon]?.isRunning !== true || upstream === undefined) {
      return;
    }
    const isRefused =
      this.isGuarded && quarantine?.findQuarantined(request.content, this.now) !== undefined;
    if (!request.isCrashing) {
      this.sound.sent += 1;
      this.sound.refused += isRefused ? 1 : 0;
    }
    if (!isRefused) {
      this.start(daemon, request, upstream);
    }
  }

  private start(daemon: number, request: SentRequest, upstream: CrashingUpstream): void {
    if (request.isCrashing) {
      this.sent.push({ at: this.now, daemon });
    }
    const isCrashing = request.isCrashing && this.isCrashing;
    const milliseconds = this.options.getRandom() * longestAnswerMilliseconds;
    const endsAt = this.now + (isCrashing ? Infinity : milliseconds);
    this.running.push({ ...request, daemon, upstream, endsAt });
    if (isCrashing) {
      upstream.crashesAt = Math.min(upstream.crashesAt, this.now + crashDelayMilliseconds);
    }
  }

  /** Answers the requests that are due, ends the upstreams that a crashing request has reached, and repeats. */
  private endRequests(): void {
    this.upstreams
      .filter(({ crashesAt }) => crashesAt <= this.now)
      .forEach((upstream) => {
        this.crash(upstream);
      });
    const due = this.running.filter(({ endsAt }) => endsAt <= this.now);
    this.running = this.running.filter(({ endsAt }) => endsAt > this.now);
    due.forEach(({ daemon, content, isCrashing }) => {
      this.sound.served += isCrashing ? 0 : 1;
      this.fleet.members[daemon]?.quarantine.recordSuccess(content, this.now);
    });
    const repeated = this.repeats.filter(({ at }) => at <= this.now);
    this.repeats = this.repeats.filter(({ at }) => at > this.now);
    repeated.forEach(({ request }) => {
      this.send(this.traffic.pickDaemon(), request);
    });
  }

  private crash(upstream: CrashingUpstream): void {
    this.crashes.push(this.now);
    const lost = this.running.filter((each) => each.upstream === upstream);
    this.running = this.running.filter((each) => each.upstream !== upstream);
    const upstreamHash = upstream.hash;
    const upAt = this.now + this.options.restartMilliseconds;
    Object.assign(upstream, this.createUpstream(), { upAt });
    lost.forEach((request) => {
      this.handleLoss(request, upstreamHash);
    });
  }

  private handleLoss(request: RunningRequest, upstream: number): void {
    const { daemon, content, id, attempts, repeats } = request;
    const quarantine = this.fleet.members[daemon]?.quarantine;
    quarantine?.recordLoss({ content, upstream, request: id }, this.now);
    if (attempts < this.options.maxAttempts) {
      this.send(daemon, { ...request, attempts: attempts + 1 });
    } else if (repeats < this.options.callerRepeats) {
      const again = this.createRequest({ ...request, repeats: repeats + 1 });
      this.repeats.push({ at: this.now + repeatDelayMilliseconds, request: again });
    }
  }
}
