import type { Instant } from "../kernel/Plugin.js";
import type { PlacementContext } from "./context.js";
import { EngineSelector } from "./EngineSelector.js";
import { getCandidates } from "./EngineGroup.js";
import type { EngineLoad } from "./EngineLoad.js";
import { getHash } from "../hashing/index.js";
import type { FinishedMessage, PlaceMessage, PlacementReason } from "./messages.js";
import { EngineAssignments } from "./EngineAssignments.js";
import { OwnerResponseTracker } from "./OwnerResponseTracker.js";
import type { ReservationHandler } from "./ReservationHandler.js";
import type { ChatMove, ReservationAnswer } from "./peerMessage.js";
import { createPlacement, getAllowedEngines, type Placement } from "./Placement.js";
import { PendingReservations } from "./PendingReservations.js";

/** An owner is asked again only if its last message came within this many gossip intervals. */
const recentGossipIntervals = 2;
const maxMeanLimitRefusals = 3;
const maxRefusals = 5;
/** Small, so that daemons with outdated counts do not all select the same engine. */
const lastResortCandidateCount = 12;

/**
 * Places each request: selects an engine, reserves it at its owner, tries the next one after a
 * refusal, and decides without the owner when it doesn't answer.
 */
export class PlacementCoordinator {
  private readonly placementsById = new Map<string, Placement>();
  private readonly reservations = PendingReservations.create();
  private readonly assignments: EngineAssignments;
  private readonly ownerResponses = OwnerResponseTracker.create();
  private readonly engineSelector: EngineSelector;

  private constructor(
    private readonly context: PlacementContext,
    private readonly reservationHandler: ReservationHandler,
  ) {
    this.engineSelector = EngineSelector.create(context, reservationHandler, this.ownerResponses);
    this.assignments = EngineAssignments.create(context);
  }

  /**
   * Creates a coordinator without requests.
   * @param context - Shared state of the daemon's placement.
   * @param reservationHandler - Checks limits and answers for the engines that the daemon owns.
   */
  static create(
    context: PlacementContext,
    reservationHandler: ReservationHandler,
  ): PlacementCoordinator {
    return new PlacementCoordinator(context, reservationHandler);
  }

  /** Gets the number of requests that are placed or being placed. */
  getSize(): number {
    return this.placementsById.size;
  }

  /** Gets the number of reservations that are waiting for an answer. */
  getReservationCount(): number {
    return this.reservations.getSize();
  }

  /**
   * Places a request.
   * @param message - Request to place.
   * @param now - Current time.
   */
  place(message: PlaceMessage, now: Instant): void {
    const group = this.context.loadCounts.groupsById.get(getHash(message.model));
    const engines = group === undefined ? [] : getAllowedEngines(group, message.exclude);
    if (group === undefined || engines.length === 0) {
      const reason = group === undefined ? "unknown-model" : "no-eligible-engine";
      this.context.effects.push({ kind: "unplaceable", requestId: message.requestId, reason });
      return;
    }
    const placement = createPlacement(message, group, engines, this.context.strategy);
    this.placementsById.set(message.requestId, placement);
    this.tryEngine(placement, this.engineSelector.getFirstTarget(placement, message, now), now);
  }

  /**
   * Removes a request that has finished or was cancelled.
   * @param message - Request to remove.
   * @param now - Current time.
   */
  finish(message: FinishedMessage, now: Instant): void {
    const placement = this.placementsById.get(message.requestId);
    if (placement === undefined) {
      return;
    }
    this.placementsById.delete(message.requestId);
    this.reservations.end(placement);
    this.assignments.unassign(placement, now);
  }

  /**
   * Handles an owner's answer to a reservation.
   * @param from - Owner that answered.
   * @param answer - Answer of the owner.
   * @param now - Current time.
   */
  receiveAnswer(from: string, answer: ReservationAnswer, now: Instant): void {
    const engine = this.context.loadCounts.enginesById.get(answer.engine);
    const placement = this.reservations.getPlacement(from, answer.id);
    if (placement !== undefined) {
      this.ownerResponses.addRoundTrip(from, now - (placement.reservation?.sentAt ?? now));
      this.assignments.correctReportedCount(placement, engine, answer);
    }
    if (engine?.owner === from && answer.outcome !== "unknown") {
      this.context.loadCounts.peers.setClaim(from, engine, answer.count);
    }
    if (engine !== undefined && placement !== undefined) {
      this.handleAnswer(placement, engine, answer, now);
    }
  }

  /**
   * Repeats each reservation past its deadline once, then decides without the owner.
   * @param now - Current time.
   */
  endOverdueReservations(now: Instant): void {
    for (const placement of this.reservations.getOverduePlacements(now)) {
      this.endUnansweredReservation(placement, now);
    }
  }

  /**
   * Handles the reservations at a lost daemon as unanswered.
   * @param owner - Name of the daemon.
   * @param now - Current time.
   */
  endReservationsAt(owner: string, now: Instant): void {
    for (const placement of this.reservations.getPlacementsByOwner(owner)) {
      this.endUnansweredReservation(placement, now);
    }
    this.ownerResponses.removeOwner(owner);
  }

  /**
   * Marks a daemon as responsive after a message from it.
   * @param owner - Name of the daemon.
   */
  setResponsive(owner: string): void {
    this.ownerResponses.setResponsive(owner);
  }

  private tryEngine(placement: Placement, engine: EngineLoad, now: Instant): void {
    const { strategy } = this.context;
    if (!strategy.reservesAtOwner || engine.isOwned) {
      this.decideLocally(placement, engine, now);
      return;
    }
    if (this.ownerResponses.isUnresponsive(engine.owner, now)) {
      this.assignments.assign(placement, engine, now);
      this.decideWithoutOwner(placement, now);
      return;
    }
    if (this.engineSelector.isSafelyBelowLimit(placement, engine, now)) {
      this.decideLocally(placement, engine, now);
      return;
    }
    this.reserve(placement, engine, now);
  }

  /** Decides from the known counts, which are exact for the engines that this daemon owns. */
  private decideLocally(placement: Placement, engine: EngineLoad, now: Instant): void {
    this.reservations.end(placement);
    if (
      this.reservationHandler.hasCapacity(engine, placement.group, placement.usesMeanLimit, 1, now)
    ) {
      this.assignments.assign(placement, engine, now);
      this.confirm(placement, now);
      return;
    }
    const other = engine.isOwned
      ? this.reservationHandler.getAlternativeEngine(engine, placement.group, now)
      : undefined;
    if (this.context.strategy.reservesAtOwner && other !== undefined) {
      this.handleGrant(placement, other, now);
      return;
    }
    this.assignments.unassign(placement, now);
    placement.refusedEngines.add(engine);
    this.tryNext(placement, now);
  }

  private reserve(
    placement: Placement,
    engine: EngineLoad,
    now: Instant,
    isRepeated = false,
  ): void {
    this.assignments.assign(placement, engine, now);
    const deadline = this.ownerResponses.getDeadline(engine.owner, now);
    const details = { owner: engine.owner, sentAt: now, deadline, isRepeated };
    const id = this.reservations.begin(placement, details);
    const needsLookup = placement.canLookUpChat && placement.cachedEngine === undefined;
    const reservation = {
      id,
      engine: engine.id,
      model: placement.group.id,
      chat: needsLookup ? placement.chat : 0,
      level: placement.usesMeanLimit,
    };
    const effect = this.context.peerMessages.composeReservation(engine.owner, reservation, now);
    this.context.effects.push(effect);
  }

  private handleAnswer(
    placement: Placement,
    engine: EngineLoad,
    { outcome }: ReservationAnswer,
    now: Instant,
  ): void {
    if (outcome === "granted") {
      this.handleGrant(placement, engine, now);
    } else if (outcome === "redirected") {
      this.handleRedirect(placement, engine, now);
    } else if (outcome === "unknown") {
      this.decideWithoutOwner(placement, now);
    } else if (placement.engine === engine) {
      this.tryNext(placement, now);
    }
  }

  /** Places the request on the granted engine. An owner may grant another engine than requested. */
  private handleGrant(placement: Placement, engine: EngineLoad, now: Instant): void {
    this.reservations.end(placement);
    if (!placement.engines.includes(engine)) {
      this.assignments.addChange(engine, now);
      this.tryNext(placement, now);
      return;
    }
    placement.reason = this.getGrantReason(placement, engine);
    this.assignments.assign(placement, engine, now);
    this.confirm(placement, now);
  }

  private getGrantReason(placement: Placement, engine: EngineLoad): PlacementReason {
    if (engine === placement.engine) {
      return placement.reason;
    }
    return engine === placement.cachedEngine || placement.canLookUpChat ? "cached" : "spilled";
  }

  private handleRedirect(placement: Placement, engine: EngineLoad, now: Instant): void {
    placement.canLookUpChat = false;
    if (!placement.engines.includes(engine)) {
      this.tryNext(placement, now);
      return;
    }
    placement.cachedEngine = engine;
    placement.reason = "cached";
    placement.usesMeanLimit = false;
    this.tryEngine(placement, engine, now);
  }

  /** Tries the next engine after a refusal; after several, places without asking an owner. */
  private tryNext(placement: Placement, now: Instant): void {
    const { strategy } = this.context;
    if (placement.engine !== undefined) {
      placement.refusedEngines.add(placement.engine);
    }
    placement.refusalCount += 1;
    placement.canLookUpChat = false;
    placement.usesMeanLimit =
      strategy.usesMeanLimit && placement.refusalCount <= maxMeanLimitRefusals;
    placement.reason = "spilled";
    const next = strategy.usesMeanLimit
      ? this.engineSelector.getLeastLoaded(placement, placement.candidates, now)
      : placement.candidates.find((candidate) => !placement.refusedEngines.has(candidate));
    if (next !== undefined && placement.refusalCount < maxRefusals) {
      this.tryEngine(placement, next, now);
      return;
    }
    this.placeOnLeastLoaded(placement, now);
  }

  private placeOnLeastLoaded(placement: Placement, now: Instant): void {
    const { engines, chat, candidates } = placement;
    this.reservations.end(placement);
    this.assignments.unassign(placement, now);
    placement.reason = "all-above-limit";
    const lastResort = getCandidates(engines, chat, lastResortCandidateCount);
    const engine = this.engineSelector.getLeastLoaded(placement, lastResort, now) ?? candidates[0];
    this.assignments.assign(placement, engine as EngineLoad, now);
    this.confirm(placement, now);
  }

  /**
   * Asks the engine's owner once more if it sent a message recently, since a datagram may be lost.
   * Else decides without it.
   */
  private endUnansweredReservation(placement: Placement, now: Instant): void {
    const { reservation, engine } = placement;
    if (reservation === undefined || engine === undefined) {
      return;
    }
    this.ownerResponses.addTimeout(reservation.owner);
    if (!reservation.isRepeated && this.hasRecentMessage(engine.owner, now)) {
      this.reserve(placement, engine, now, true);
      return;
    }
    this.ownerResponses.setUnresponsive(reservation.owner, now);
    this.decideWithoutOwner(placement, now);
  }

  private hasRecentMessage(owner: string, now: Instant): boolean {
    const lastReceivedAt = this.context.loadCounts.peers.getLastReceivedAt(owner) ?? -Infinity;
    return lastReceivedAt >= now - recentGossipIntervals * this.context.gossipIntervalMilliseconds;
  }

  /**
   * Decides without the owner. Assumes that every other daemon has placed as many requests as this
   * one since the last claim, so that together they use no more capacity than it left.
   */
  private decideWithoutOwner(placement: Placement, now: Instant): void {
    const engine = placement.engine as EngineLoad;
    this.reservations.end(placement);
    placement.reason = "owner-silent";
    placement.refusedEngines.add(engine);
    if (
      this.reservationHandler.hasCapacity(
        engine,
        placement.group,
        placement.usesMeanLimit,
        this.engineSelector.getUnreportedEstimate(engine),
        now,
      )
    ) {
      this.confirm(placement, now);
      return;
    }
    this.placeOnLeastLoaded(placement, now);
  }

  private confirm(placement: Placement, now: Instant): void {
    const { requestId, reason, engine } = placement;
    if (engine === undefined) {
      return;
    }
    this.context.effects.push({ kind: "placed", requestId, engine: engine.name, reason });
    this.recordMove(placement, engine, now);
  }

  private recordMove(placement: Placement, engine: EngineLoad, now: Instant): void {
    const first = placement.candidates[0];
    const isExpected = engine === (placement.cachedEngine ?? first);
    if (!this.context.strategy.remembersMovedChats || isExpected || first === undefined) {
      return;
    }
    const move: ChatMove = { chat: placement.chat, engine: engine.id };
    if (first.isOwned) {
      this.context.chatDirectory.addChat(move.chat, move.engine, now);
    } else if (first.owner !== "") {
      this.context.peerMessages.addMove(first.owner, move, now);
    }
  }
}
