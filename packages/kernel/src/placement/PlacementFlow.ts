import type { Instant } from "../kernel/Plugin.js";
import type { PlacementContext } from "./context.js";
import { EngineChoice } from "./EngineChoice.js";
import { getCandidates } from "./EngineGroup.js";
import type { EngineLoad } from "./EngineLoad.js";
import { getHash } from "./hash.js";
import type { FinishedMessage, PlaceMessage, PlacementReason } from "./messages.js";
import { Occupancy } from "./Occupancy.js";
import { OwnerContacts } from "./OwnerContacts.js";
import type { OwnerDesk } from "./OwnerDesk.js";
import type { ChatMove, ReservationAnswer } from "./peerMessage.js";
import { createPlacement, getAllowedEngines, type Placement } from "./Placement.js";
import { Reservations } from "./Reservations.js";

/** Digests within which an owner must have been heard to be asked again. */
const heardDigests = 2;
const maxLevelRefusals = 3;
const maxRefusals = 5;
/** Few, so that daemons with late counts do not all take the same engine. */
const lastResortCandidates = 12;

/** Takes each request to an engine: chooses, reserves, tries the next one, decides when none answers. */
export class PlacementFlow {
  private readonly placementsById = new Map<string, Placement>();
  private readonly reservations = Reservations.create();
  private readonly occupancy: Occupancy;
  private readonly contacts = OwnerContacts.create();
  private readonly choice: EngineChoice;

  private constructor(
    private readonly context: PlacementContext,
    private readonly desk: OwnerDesk,
  ) {
    this.choice = EngineChoice.create(context, desk, this.contacts);
    this.occupancy = Occupancy.create(context);
  }

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
    return this.reservations.getSize();
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
    const placement = createPlacement(message, group, engines, this.context.strategy);
    this.placementsById.set(message.requestId, placement);
    this.tryEngine(placement, this.choice.getFirstTarget(placement, message, now), now);
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
    this.reservations.end(placement);
    this.occupancy.leave(placement, now);
  }

  /**
   * Handles an owner's answer to a reservation.
   * @param from - Owner that answered.
   * @param answer - Its answer.
   * @param now - Current time.
   */
  receiveAnswer(from: string, answer: ReservationAnswer, now: Instant): void {
    const engine = this.context.ledger.enginesById.get(answer.engine);
    const placement = this.reservations.getAsked(from, answer.id);
    if (placement !== undefined) {
      this.contacts.addRoundTrip(from, now - (placement.reservation?.sentAt ?? now));
      this.occupancy.correctTold(placement, engine, answer);
    }
    if (engine?.owner === from && answer.outcome !== "unknown") {
      this.context.ledger.peers.setClaim(from, engine, answer.count);
    }
    if (engine !== undefined && placement !== undefined) {
      this.followAnswer(placement, engine, answer, now);
    }
  }

  /**
   * Decides without the owner every reservation past its deadline.
   * @param now - Current time.
   */
  endOverdueReservations(now: Instant): void {
    for (const placement of this.reservations.getOverdue(now)) {
      this.endSilentReservation(placement, now);
    }
  }

  /**
   * Decides without the owner every reservation at a daemon that is gone.
   * @param owner - Name of the daemon.
   * @param now - Current time.
   */
  endReservationsAt(owner: string, now: Instant): void {
    for (const placement of this.reservations.getAt(owner)) {
      this.endSilentReservation(placement, now);
    }
    this.contacts.removeOwner(owner);
  }

  /**
   * Notes that a daemon answers again.
   * @param owner - Name of the daemon.
   */
  setHeard(owner: string): void {
    this.contacts.setHeard(owner);
  }

  private tryEngine(placement: Placement, engine: EngineLoad, now: Instant): void {
    const { strategy } = this.context;
    if (!strategy.reserves || engine.isOwned) {
      this.decide(placement, engine, now);
      return;
    }
    if (this.contacts.isSilent(engine.owner, now)) {
      this.occupancy.enter(placement, engine, now);
      this.decideAlone(placement, now);
      return;
    }
    if (this.choice.isSurelyBelowLimit(placement, engine, now)) {
      this.decide(placement, engine, now);
      return;
    }
    this.reserve(placement, engine, now);
  }

  /** Decides by the counts at hand, which are exact for the daemon's own engines. */
  private decide(placement: Placement, engine: EngineLoad, now: Instant): void {
    this.reservations.end(placement);
    if (this.desk.hasRoom(engine, placement.group, placement.isLevel, 1, now)) {
      this.occupancy.enter(placement, engine, now);
      this.confirm(placement, now);
      return;
    }
    const other = engine.isOwned
      ? this.desk.getOtherEngine(engine, placement.group, now)
      : undefined;
    if (this.context.strategy.reserves && other !== undefined) {
      this.followGrant(placement, other, now);
      return;
    }
    this.occupancy.leave(placement, now);
    placement.refused.add(engine);
    this.tryNext(placement, now);
  }

  private reserve(
    placement: Placement,
    engine: EngineLoad,
    now: Instant,
    isRepeated = false,
  ): void {
    this.occupancy.enter(placement, engine, now);
    const deadline = this.contacts.getDeadline(engine.owner, now);
    const term = { owner: engine.owner, sentAt: now, deadline, isRepeated };
    const id = this.reservations.begin(placement, term);
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

  private followAnswer(
    placement: Placement,
    engine: EngineLoad,
    { outcome }: ReservationAnswer,
    now: Instant,
  ): void {
    if (outcome === "granted") {
      this.followGrant(placement, engine, now);
    } else if (outcome === "redirected") {
      this.followRedirect(placement, engine, now);
    } else if (outcome === "unknown") {
      this.decideAlone(placement, now);
    } else if (placement.engine === engine) {
      this.tryNext(placement, now);
    }
  }

  /** An owner without room at the engine that was asked for may grant another one. */
  private followGrant(placement: Placement, engine: EngineLoad, now: Instant): void {
    this.reservations.end(placement);
    if (!placement.engines.includes(engine)) {
      this.occupancy.addChange(engine, now);
      this.tryNext(placement, now);
      return;
    }
    placement.reason = this.getGrantReason(placement, engine);
    this.occupancy.enter(placement, engine, now);
    this.confirm(placement, now);
  }

  private getGrantReason(placement: Placement, engine: EngineLoad): PlacementReason {
    if (engine === placement.engine) {
      return placement.reason;
    }
    return engine === placement.known || placement.isLookup ? "cached" : "spilled";
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
    placement.refusals += 1;
    placement.isLookup = false;
    placement.isLevel = strategy.levels && placement.refusals <= maxLevelRefusals;
    placement.reason = "spilled";
    const next = strategy.levels
      ? this.choice.getLeastLoaded(placement, placement.candidates, now)
      : placement.candidates.find((candidate) => !placement.refused.has(candidate));
    if (next !== undefined && placement.refusals < maxRefusals) {
      this.tryEngine(placement, next, now);
      return;
    }
    this.takeLeastLoaded(placement, now);
  }

  private takeLeastLoaded(placement: Placement, now: Instant): void {
    const { engines, chat, candidates } = placement;
    this.reservations.end(placement);
    this.occupancy.leave(placement, now);
    placement.reason = "all-above-limit";
    const lastResort = getCandidates(engines, chat, lastResortCandidates);
    const engine = this.choice.getLeastLoaded(placement, lastResort, now) ?? candidates[0];
    this.occupancy.enter(placement, engine as EngineLoad, now);
    this.confirm(placement, now);
  }

  /** Asks again once when the owner was heard of late, since a datagram may be lost. */
  private endSilentReservation(placement: Placement, now: Instant): void {
    const { reservation, engine } = placement;
    if (reservation === undefined || engine === undefined) {
      return;
    }
    this.contacts.addTimeout(reservation.owner);
    if (!reservation.isRepeated && this.isHeardOfLate(engine.owner, now)) {
      this.reserve(placement, engine, now, true);
      return;
    }
    this.contacts.setSilent(reservation.owner, now);
    this.decideAlone(placement, now);
  }

  private isHeardOfLate(owner: string, now: Instant): boolean {
    const heardAt = this.context.ledger.peers.getHeardAt(owner) ?? -Infinity;
    return heardAt >= now - heardDigests * this.context.digestInterval;
  }

  /** Decides without the owner: each daemon takes its share of the room that the last claim left. */
  private decideAlone(placement: Placement, now: Instant): void {
    const engine = placement.engine as EngineLoad;
    this.reservations.end(placement);
    placement.reason = "owner-silent";
    placement.refused.add(engine);
    if (
      this.desk.hasRoom(
        engine,
        placement.group,
        placement.isLevel,
        this.choice.getUnseen(engine),
        now,
      )
    ) {
      this.confirm(placement, now);
      return;
    }
    this.takeLeastLoaded(placement, now);
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
    if (first.isOwned) {
      this.context.directory.addChat(move.chat, move.engine, now);
    } else if (first.owner !== "") {
      this.context.outbox.addMove(first.owner, move, now);
    }
  }
}
