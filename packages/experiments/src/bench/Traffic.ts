import type { DaemonModel, SimulatedFleet, FleetListener } from "./SimulatedFleet.js";
import type { EngineModel } from "./EngineModel.js";
import type { Policy } from "./policies/Policy.js";
import { Random } from "./Random.js";
import type { TrafficRequest } from "./TrafficRequest.js";
import { createChat, teamPrefixTokens, type Chat } from "./workload.js";

/** Totals of the reusable and the reused prompt tokens, and of the requests. */
export interface ReuseTotals {
  reusableTokens: number;
  reusedTokens: number;
  requests: number;
  firstTurns: number;
}

const surgeLoadShare = 0.6;
const surgeHotChatShare = 0.3;
const hotChatCount = 200;
const surgeTeamCount = 2;
const uncachedTokensPerSecond = 10_000;
const resumeMilliseconds = 2000;
const refusalDelayMilliseconds = 1;
const callerRetryDelayMilliseconds = 100;

/** Generates the chats of one run, and sends their requests to the engines that the policy chooses. */
export class Traffic implements FleetListener {
  readonly reuse: ReuseTotals = { reusableTokens: 0, reusedTokens: 0, requests: 0, firstTurns: 0 };
  private readonly random: Random;
  private readonly openRequests = new Set<TrafficRequest>();
  private readonly hotChats: Chat[] = [];
  private nextChat = 0;
  private nextRequest = 0;

  private constructor(
    private readonly fleet: SimulatedFleet,
    private readonly policy: Policy,
  ) {
    this.random = Random.create(fleet.seed, 2);
    fleet.addListener(this);
    this.scheduleChats();
    this.scheduleSurge();
  }

  /**
   * Schedules all chats of a run.
   * @param fleet - Fleet that serves them.
   * @param policy - Policy that places their requests.
   */
  static create(fleet: SimulatedFleet, policy: Policy): Traffic {
    return new Traffic(fleet, policy);
  }

  viewChanged(): void {
    // Nothing to do: the policy gets view changes itself.
  }

  engineCrashed(engine: number): void {
    for (const request of [...this.openRequests]) {
      if (request.engine === engine) {
        this.end(request);
        this.fleet.recordRefusal(request.daemon, engine);
        this.retry(request, [...request.exclude, engine], refusalDelayMilliseconds);
      }
    }
  }

  /** The engines run the requests until the resume timeout; the callers retry after a short delay. */
  daemonLost(daemon: number): void {
    for (const request of [...this.openRequests]) {
      if (request.daemon === daemon) {
        request.isFinished = true;
        this.openRequests.delete(request);
        this.scheduleRelease(request);
        this.retry(request, [], callerRetryDelayMilliseconds);
      }
    }
  }

  private scheduleChats(): void {
    const { measurementEndsAt, deployment, seed } = this.fleet;
    const meanGapMilliseconds = 1000 / deployment.chatsPerSecond;
    for (let at = this.random.getExponential(meanGapMilliseconds); at < measurementEndsAt;) {
      const chat = createChat(this.nextChat, seed, deployment);
      this.nextChat += 1;
      this.fleet.events.addEvent(at, () => {
        this.addHotChat(chat);
        this.startTurn(chat);
      });
      at += this.random.getExponential(meanGapMilliseconds);
    }
  }

  private scheduleSurge(): void {
    const { surge, deployment, seed } = this.fleet;
    if (surge === undefined) {
      return;
    }
    const random = Random.create(seed, 3);
    const meanGapMilliseconds = 1000 / (deployment.chatsPerSecond * surgeLoadShare);
    for (let at = surge.from; at < surge.until; at += random.getExponential(meanGapMilliseconds)) {
      const team = random.getIndex(surgeTeamCount);
      const chat = createChat(this.nextChat, seed, deployment, team);
      this.nextChat += 1;
      const hotChatIndex =
        random.getUniform() < surgeHotChatShare ? random.getIndex(hotChatCount) : undefined;
      this.fleet.events.addEvent(at, () => {
        this.startSurgeChat(chat, hotChatIndex);
      });
    }
  }

  /** Starts a chat of the surge, or adds as many turns to a hot chat as the new chat would have had. */
  private startSurgeChat(chat: Chat, hotChatIndex: number | undefined): void {
    const hotChat = hotChatIndex === undefined ? undefined : this.hotChats[hotChatIndex];
    if (hotChat === undefined) {
      this.startTurn(chat);
      return;
    }
    for (let turn = 0; turn < chat.turns; turn += 1) {
      const at = this.fleet.events.getNow() + turn * hotChat.kind.pauseMilliseconds;
      this.fleet.events.addEvent(at, () => {
        this.startTurn(hotChat);
      });
    }
  }

  private addHotChat(chat: Chat): void {
    const isMeasurementNear = this.fleet.events.getNow() > this.fleet.measurementStartsAt - 20_000;
    if (isMeasurementNear && this.hotChats.length < hotChatCount && chat.kind.name === "briefing") {
      this.hotChats.push(chat);
    }
  }

  private startTurn(chat: Chat): void {
    const isFirstTurn = chat.turn === 0;
    const added = isFirstTurn ? chat.kind.firstPromptTokens : chat.kind.turnTokens;
    const promptTokens = chat.historyTokens + Math.round(chat.random.getUniformAround(added, 0.5));
    chat.turn += 1;
    chat.historyTokens = promptTokens;
    this.place(chat, promptTokens, isFirstTurn, []);
  }

  private place(
    chat: Chat,
    promptTokens: number,
    isFirstTurn: boolean,
    exclude: readonly number[],
  ): void {
    const request: TrafficRequest = {
      id: `request-${String(this.nextRequest)}`,
      chat,
      daemon: this.pickDaemon(chat),
      promptTokens,
      isFirstTurn,
      exclude,
      engine: undefined,
      isFinished: false,
    };
    this.nextRequest += 1;
    this.openRequests.add(request);
    this.policy.place(request, (engine) => {
      this.startOnEngine(request, engine);
    });
  }

  private pickDaemon(chat: Chat): number {
    const start = chat.random.getIndex(this.fleet.daemons.length);
    const order = [...this.fleet.daemons.keys()];
    const rotated = [...order.slice(start), ...order.slice(0, start)];
    return rotated.find((index) => (this.fleet.daemons[index] as DaemonModel).isLive) ?? start;
  }

  private startOnEngine(request: TrafficRequest, engine: number): void {
    if (request.isFinished) {
      return;
    }
    const model = this.fleet.engines[engine] as EngineModel;
    if (!model.isLive) {
      this.end(request);
      this.fleet.recordRefusal(request.daemon, engine);
      this.retry(request, [...request.exclude, engine], refusalDelayMilliseconds);
      return;
    }
    request.engine = engine;
    this.fleet.version += 1;
    model.addRequest(() => {
      this.run(request, model);
    });
  }

  private run(request: TrafficRequest, model: EngineModel): void {
    const { chat, promptTokens } = request;
    const reused = this.recordReuse(request, model);
    // Negative prefix numbers are the shared prefixes of the teams; the others are chat ids.
    model.addPrefix(-1 - chat.team, teamPrefixTokens);
    model.addPrefix(chat.id, promptTokens);
    chat.processedTokens = Math.max(chat.processedTokens, promptTokens);
    const prefillMilliseconds = ((promptTokens - reused) * 1000) / uncachedTokensPerSecond;
    const meanMilliseconds = chat.kind.durationMilliseconds * this.fleet.deployment.durationFactor;
    const answerMilliseconds = chat.random.getUniformAround(meanMilliseconds, 0.6);
    this.fleet.events.addEvent(
      this.fleet.events.getNow() + prefillMilliseconds + answerMilliseconds,
      () => {
        this.finish(request, model);
      },
    );
  }

  private recordReuse(request: TrafficRequest, model: EngineModel): number {
    const { chat, promptTokens, isFirstTurn } = request;
    const reusable = isFirstTurn ? teamPrefixTokens : Math.min(chat.processedTokens, promptTokens);
    const cached = Math.max(model.getCachedTokens(chat.id), model.getCachedTokens(-1 - chat.team));
    const reused = Math.min(cached, reusable, promptTokens);
    if (this.fleet.events.getNow() >= this.fleet.measurementStartsAt) {
      this.reuse.reusableTokens += reusable;
      this.reuse.reusedTokens += reused;
      this.reuse.requests += 1;
      this.reuse.firstTurns += isFirstTurn ? 1 : 0;
    }
    return reused;
  }

  private finish(request: TrafficRequest, model: EngineModel): void {
    if (request.isFinished) {
      return;
    }
    const { chat } = request;
    model.removeRequest();
    model.addPrefix(chat.id, request.promptTokens + chat.kind.answerTokens);
    chat.historyTokens = Math.max(
      chat.historyTokens,
      request.promptTokens + chat.kind.answerTokens,
    );
    chat.processedTokens = Math.max(chat.processedTokens, chat.historyTokens);
    chat.hintedEngine = chat.carriesHint ? model.name : undefined;
    this.end(request);
    this.scheduleNextTurn(chat);
  }

  private scheduleNextTurn(chat: Chat): void {
    if (chat.turn < chat.turns) {
      const pause = chat.random.getExponential(chat.kind.pauseMilliseconds);
      this.fleet.events.addEvent(this.fleet.events.getNow() + pause, () => {
        this.startTurn(chat);
      });
    }
  }

  private end(request: TrafficRequest): void {
    request.isFinished = true;
    this.fleet.version += 1;
    this.openRequests.delete(request);
    this.policy.finish(request);
  }

  private scheduleRelease(request: TrafficRequest): void {
    if (request.engine === undefined) {
      return;
    }
    const model = this.fleet.engines[request.engine] as EngineModel;
    this.fleet.events.addEvent(this.fleet.events.getNow() + resumeMilliseconds, () => {
      model.removeRequest();
      this.fleet.version += 1;
    });
  }

  private retry(request: TrafficRequest, exclude: readonly number[], delay: number): void {
    const { chat, promptTokens, isFirstTurn } = request;
    this.fleet.events.addEvent(this.fleet.events.getNow() + delay, () => {
      this.place(chat, promptTokens, isFirstTurn, exclude);
    });
  }
}
