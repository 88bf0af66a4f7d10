import type { Instant } from "../kernel/Plugin.js";
import type { PlacementContext } from "./context.js";
import { getCandidates, type EngineGroup } from "./EngineGroup.js";
import type { EngineLoad } from "./EngineLoad.js";
import { getHash } from "./hash.js";
import type { FinishedMessage, PlaceMessage, PlacementReason } from "./messages.js";
import type { OwnerDesk } from "./OwnerDesk.js";
import type { ChatMove, ReservationAnswer } from "./peerMessage.js";

/** A request on its way to an engine, or running on one. */
interface Placement {
  readonly requestId: string;
  readonly group: EngineGroup;
  readonly chat: number;
  /** Engines that may be used. */
  readonly engines: readonly EngineLoad[];
  /** The chat's first engines in rendezvous order. */
  readonly candidates: readonly EngineLoad[];
  /** Engines that refused the request. */
  readonly refused: Set<EngineLoad>;
  /** Engine that the chat was last known at, if any. */
  known: EngineLoad | undefined;
  /** True when there is nothing to reuse at the engine to be tried. */
  isLevel: boolean;
  /** True while the owner of the first choice may know the chat's engine. */
  isLookup: boolean;
  /** Engine that is tried or runs the request. */
  engine: EngineLoad | undefined;
  reason: PlacementReason;
  reservation: number;
  deadline: Instant;
}

const reservationTimeoutMilliseconds = 20;
const silentOwnerMilliseconds = 1000;
const maxRefusals = 3;
const shortPromptTokens = 256;
const noReservation = -1;

/** Takes each request to an engine: chooses, reserves, tries the next one, decides when none answers. */
export class PlacementFlow {
  private readonly placementsById = new Map<string, Placement>();
  private readonly placementsByReservation = new Map<number, Placement>();
  private readonly silentUntilByOwner = new Map<string, Instant>();
  private nextReservation = 0;

  private constructor(
    private readonly context: PlacementContext,
    private readonly desk: OwnerDesk,
  ) {}

  /**
   * Creates a flow without requests.
   * @param context - Shared parts of the daemon's placement.
   * @param desk - Answers for the engines that the daemon itself owns.
   */
  static create(context: PlacementContext, desk: OwnerDesk): PlacementFlow {
    return new PlacementFlow(context, desk);
  }

  /** Gets the number of requests that are placed or on their way. */
  getSize(): number {
    return this.placementsById.size;
  }

  /** Gets the number of reservations that wait for an answer. */
  getReservationCount(): number {
    return this.placementsByReservation.size;
  }

  /**
   * Places a request.
   * @param message - Request to place.
   * @param now - Current time.
   */
  place(message: PlaceMessage, now: Instant): void {
    const group = this.context.ledger.groupsById.get(getHash(message.model));
    const engines = group === undefined ? [] : getAllowedEngines(group, message.exclude);
    if (group === undefined || engines.length === 0) {
      const reason = group === undefined ? "unknown-model" : "no-eligible-engine";
      this.context.effects.push({ kind: "unplaceable", requestId: message.requestId, reason });
      return;
    }
    const placement = this.createPlacement(message, group, engines);
    this.placementsById.set(message.requestId, placement);
    this.tryEngine(placement, this.getFirstTarget(placement, message, now), now);
  }

  /**
   * Takes a request off its engine.
   * @param message - Request that no longer runs.
   * @param now - Current time.
   */
  finish(message: FinishedMessage, now: Instant): void {
    const placement = this.placementsById.get(message.requestId);
    if (placement === undefined) {
      return;
    }
    this.placementsById.delete(message.requestId);
    this.endReservation(placement);
    this.leaveEngine(placement, now);
  }

  /**
   * Handles an owner's answer to a reservation.
   * @param from - Owner that answered.
   * @param answer - Its answer.
   * @param now - Current time.
   */
  receiveAnswer(from: string, answer: ReservationAnswer, now: Instant): void {
    const engine = this.context.ledger.enginesById.get(answer.engine);
    const placement = this.placementsByReservation.get(answer.id);
    if (engine !== undefined && engine.owner === from) {
      this.context.ledger.setClaim(from, engine, answer.count);
    }
    if (engine === undefined || placement === undefined) {
      return;
    }
    if (answer.outcome === "granted") {
      this.endReservation(placement);
      this.enterEngine(placement, engine, now);
      this.confirm(placement, now);
    } else if (answer.outcome === "redirected") {
      this.followRedirect(placement, engine, now);
    } else if (placement.engine === engine) {
      this.tryNext(placement, now);
    }
  }

  /**
   * Decides without the owner every reservation past its deadline.
   * @param now - Current time.
   */
  endOverdueReservations(now: Instant): void {
    for (const placement of [...this.placementsByReservation.values()]) {
      if (placement.deadline <= now) {
        this.endSilentReservation(placement, now);
      }
    }
  }

  /**
   * Decides without the owner every reservation at a daemon that is gone.
   * @param owner - Name of the daemon.
   * @param now - Current time.
   */
  endReservationsAt(owner: string, now: Instant): void {
    for (const placement of [...this.placementsByReservation.values()]) {
      if (placement.engine?.owner === owner) {
        this.endSilentReservation(placement, now);
      }
    }
  }

  /**
   * Notes that a daemon answers again.
   * @param owner - Name of the daemon.
   */
  setHeard(owner: string): void {
    this.silentUntilByOwner.delete(owner);
  }

  private createPlacement(
    message: PlaceMessage,
    group: EngineGroup,
    engines: readonly EngineLoad[],
  ): Placement {
    const { strategy } = this.context;
    const chat = getHash(message.chat);
    const isCheap = message.isFirstTurn || message.tokens <= shortPromptTokens;
    return {
      requestId: message.requestId,
      group,
      chat,
      engines,
      candidates: getCandidates(engines, chat, strategy.candidates),
      refused: new Set(),
      known: undefined,
      isLevel: strategy.levels && isCheap,
      isLookup: false,
      engine: undefined,
      reason: "first-choice",
      reservation: noReservation,
      deadline: 0,
    };
  }

  private getFirstTarget(placement: Placement, message: PlaceMessage, now: Instant): EngineLoad {
    const first = placement.candidates[0] as EngineLoad;
    if (!this.context.strategy.remembers) {
      return first;
    }
    if (message.isFirstTurn) {
      return placement.isLevel ? this.getLevelTarget(placement, now) : first;
    }
    placement.known = this.getHintedEngine(placement, message);
    if (placement.known === undefined) {
      placement.isLookup = true;
      placement.known = this.desk.getMovedEngine(placement.chat, first, now);
    }
    placement.reason = placement.known === undefined ? "first-choice" : "cached";
    return placement.known ?? first;
  }

  private getHintedEngine(placement: Placement, message: PlaceMessage): EngineLoad | undefined {
    const hints = [...(message.cachedHint ?? [])].sort((a, b) => b.tokens - a.tokens);
    for (const hint of hints) {
      const engine = this.context.ledger.enginesById.get(getHash(hint.engine));
      if (engine?.isEligible === true && !message.exclude.includes(hint.engine)) {
        return engine;
      }
    }
    return placement.known;
  }

  /** Gets the first choice while it is below the mean, else the least loaded candidate. */
  private getLevelTarget(placement: Placement, now: Instant): EngineLoad {
    const first = placement.candidates[0] as EngineLoad;
    if (this.desk.hasRoom(first, placement.group, true, 1, now)) {
      return first;
    }
    placement.reason = "levelled";
    return this.getLeastLoaded(placement, placement.candidates, now) ?? first;
  }

  private getLeastLoaded(
    placement: Placement,
    engines: readonly EngineLoad[],
    now: Instant,
  ): EngineLoad | undefined {
    let least: EngineLoad | undefined;
    let leastLoad = Infinity;
    for (const engine of engines) {
      const load = this.context.ledger.getCount(engine, now) / engine.weight;
      if (load < leastLoad && !placement.refused.has(engine)) {
        least = engine;
        leastLoad = load;
      }
    }
    return least;
  }

  private tryEngine(placement: Placement, engine: EngineLoad, now: Instant): void {
    const { strategy, daemon } = this.context;
    const isSilent = now < (this.silentUntilByOwner.get(engine.owner) ?? 0);
    if (!strategy.reserves || isSilent || engine.owner === daemon) {
      this.decide(placement, engine, now);
      return;
    }
    this.reserve(placement, engine, now);
  }

  /** Decides by the counts at hand, which are exact for the daemon's own engines. */
  private decide(placement: Placement, engine: EngineLoad, now: Instant): void {
    if (this.desk.hasRoom(engine, placement.group, placement.isLevel, 1, now)) {
      this.enterEngine(placement, engine, now);
      this.confirm(placement, now);
      return;
    }
    this.leaveEngine(placement, now);
    placement.engine = engine;
    this.context.ledger.addOwn(engine, 1);
    this.tryNext(placement, now);
  }

  private reserve(placement: Placement, engine: EngineLoad, now: Instant): void {
    this.enterEngine(placement, engine, now);
    this.endReservation(placement);
    const id = this.nextReservation;
    this.nextReservation = (id + 1) >>> 0;
    placement.reservation = id;
    placement.deadline = now + reservationTimeoutMilliseconds;
    this.placementsByReservation.set(id, placement);
    const isLookup = placement.isLookup && placement.known === undefined;
    const reservation = {
      id,
      engine: engine.id,
      model: placement.group.id,
      chat: isLookup ? placement.chat : 0,
      level: placement.isLevel,
    };
    const effect = this.context.outbox.composeReservation(engine.owner, reservation, now);
    this.context.effects.push(effect);
  }

  private followRedirect(placement: Placement, engine: EngineLoad, now: Instant): void {
    placement.isLookup = false;
    if (!placement.engines.includes(engine)) {
      this.tryNext(placement, now);
      return;
    }
    placement.known = engine;
    placement.reason = "cached";
    placement.isLevel = false;
    this.tryEngine(placement, engine, now);
  }

  /** Tries the next engine after a refusal; after some, takes the least loaded without asking. */
  private tryNext(placement: Placement, now: Instant): void {
    const { strategy } = this.context;
    if (placement.engine !== undefined) {
      placement.refused.add(placement.engine);
    }
    placement.isLookup = false;
    placement.isLevel = strategy.levels;
    placement.reason = "spilled";
    const next = strategy.levels
      ? this.getLeastLoaded(placement, placement.candidates, now)
      : placement.candidates.find((candidate) => !placement.refused.has(candidate));
    if (next !== undefined && placement.refused.size < maxRefusals) {
      this.tryEngine(placement, next, now);
      return;
    }
    this.takeLeastLoaded(placement, now);
  }

  private takeLeastLoaded(placement: Placement, now: Instant): void {
    this.endReservation(placement);
    this.leaveEngine(placement, now);
    placement.reason = "all-above-limit";
    const engine =
      this.getLeastLoaded(placement, placement.engines, now) ?? placement.candidates[0];
    this.enterEngine(placement, engine as EngineLoad, now);
    this.confirm(placement, now);
  }

  private endSilentReservation(placement: Placement, now: Instant): void {
    const engine = placement.engine as EngineLoad;
    this.silentUntilByOwner.set(engine.owner, now + silentOwnerMilliseconds);
    this.endReservation(placement);
    placement.reason = "owner-silent";
    if (this.desk.hasRoom(engine, placement.group, placement.isLevel, 0, now)) {
      this.confirm(placement, now);
      return;
    }
    this.takeLeastLoaded(placement, now);
  }

  private endReservation(placement: Placement): void {
    this.placementsByReservation.delete(placement.reservation);
    placement.reservation = noReservation;
  }

  private enterEngine(placement: Placement, engine: EngineLoad, now: Instant): void {
    if (placement.engine === engine) {
      return;
    }
    this.leaveEngine(placement, now);
    placement.engine = engine;
    this.context.ledger.addOwn(engine, 1);
    this.addChange(engine, now);
  }

  private leaveEngine(placement: Placement, now: Instant): void {
    if (placement.engine === undefined) {
      return;
    }
    this.context.ledger.addOwn(placement.engine, -1);
    this.addChange(placement.engine, now);
    placement.engine = undefined;
  }

  private addChange(engine: EngineLoad, now: Instant): void {
    if (engine.owner !== this.context.daemon && engine.owner !== "") {
      this.context.outbox.addChange(engine.owner, now);
    }
  }

  private confirm(placement: Placement, now: Instant): void {
    const { requestId, reason, engine } = placement;
    if (engine === undefined) {
      return;
    }
    this.context.effects.push({ kind: "placed", requestId, engine: engine.name, reason });
    this.remember(placement, engine, now);
  }

  private remember(placement: Placement, engine: EngineLoad, now: Instant): void {
    const first = placement.candidates[0];
    const isKnown = engine === (placement.known ?? first);
    if (!this.context.strategy.remembers || isKnown || first === undefined) {
      return;
    }
    const move: ChatMove = { chat: placement.chat, engine: engine.id };
    if (first.owner === this.context.daemon) {
      this.context.directory.addChat(move.chat, move.engine, now);
    } else if (first.owner !== "") {
      this.context.outbox.addMove(first.owner, move, now);
    }
  }
}

function getAllowedEngines(group: EngineGroup, exclude: readonly string[]): readonly EngineLoad[] {
  return exclude.length === 0
    ? group.engines
    : group.engines.filter((engine) => !exclude.includes(engine.name));
}
