import type { Instant } from "../kernel/Plugin.js";
import { ChatDirectory } from "./ChatDirectory.js";
import { minGossipIntervalMilliseconds, type PlacementContext } from "./context.js";
import { getCount } from "./EngineLoad.js";
import { explainPlacement } from "./explain.js";
import { getHash } from "../hashing/index.js";
import { LoadCounts } from "./LoadCounts.js";
import type {
  PeerMessage,
  PlacementDaemon,
  PlacementEffect,
  PlacementMessage,
  StartMessage,
  ViewMessage,
} from "./messages.js";
import { PeerMessageQueue } from "./PeerMessageQueue.js";
import { ReservationHandler } from "./ReservationHandler.js";
import { PlacementCoordinator } from "./PlacementCoordinator.js";
import { FleetMembers } from "./FleetMembers.js";
import { placementStrategies } from "./strategy.js";

/** Sizes of the collections that grow with traffic. */
export interface PlacementSizes {
  readonly requests: number;
  readonly reservations: number;
  readonly chats: number;
  readonly engines: number;
}

/** Fraction of the gossip interval for which a changed count may wait to be sent. */
const changeDelayRatio = 0.4;
const gossipIntervalPerPeerMilliseconds = 45;
const maxMissedIntervals = 6;
const maxMissedIntervalsUnlisted = 3;
/** Peers detect a new owner up to one gossip interval later, and report to it within another. */
const inheritedCountIntervals = 2;
const fleetUpdateIntervalMilliseconds = 1000;
const maxChats = 65_536;

/** Places requests on engines, and keeps the counts of the engines that its daemon owns. */
export class Placer {
  private readonly context: PlacementContext;
  private readonly reservationHandler: ReservationHandler;
  private readonly coordinator: PlacementCoordinator;
  private readonly fleetMembers: FleetMembers;
  private liveDaemonNames = "";
  private nextFleetUpdateAt: Instant = Infinity;
  private nextGossipAt: Instant = 0;

  private constructor(start: StartMessage) {
    const strategy = placementStrategies[start.strategy ?? "ours"];
    const loadCounts = LoadCounts.create(start.daemon, start.zone, strategy.reservesAtOwner);
    this.context = {
      daemon: start.daemon,
      strategy,
      loadCounts,
      peerMessages: PeerMessageQueue.create(loadCounts),
      chatDirectory: ChatDirectory.create(maxChats),
      bound: 1,
      daemonCount: 1,
      gossipIntervalMilliseconds: minGossipIntervalMilliseconds,
      effects: [],
    };
    this.fleetMembers = FleetMembers.create(start.daemon);
    this.reservationHandler = ReservationHandler.create(this.context);
    this.coordinator = PlacementCoordinator.create(this.context, this.reservationHandler);
  }

  /**
   * Creates a placer without a view.
   * @param start - Name and zone of the daemon, and the version of the policy.
   */
  static create(start: StartMessage): Placer {
    return new Placer(start);
  }

  /** Gets the sizes of the collections that grow with traffic. */
  getSizes(): PlacementSizes {
    return {
      requests: this.coordinator.getSize(),
      reservations: this.coordinator.getReservationCount(),
      chats: this.context.chatDirectory.getSize(),
      engines: this.context.loadCounts.enginesById.size,
    };
  }

  /**
   * Gets the hash and the owner of an engine.
   * @param name - Name of the engine.
   */
  getEngine(name: string): { readonly id: number; readonly owner: string } | undefined {
    const engine = this.context.loadCounts.getEngineByName(name);
    return engine === undefined ? undefined : { id: engine.id, owner: engine.owner };
  }

  /**
   * Gets the hash of a model.
   * @param name - Name of the model.
   */
  getModelId(name: string): number {
    return getHash(name);
  }

  /**
   * Gets the running requests of an engine as known to this daemon.
   * @param name - Name of the engine.
   * @param now - Current time.
   */
  getCount(name: string, now: Instant): number | undefined {
    const engine = this.context.loadCounts.getEngineByName(name);
    return engine === undefined ? undefined : getCount(engine, now);
  }

  /**
   * Handles a message and returns its effects.
   * @param message - Message to handle.
   * @param now - Current time.
   */
  handle(message: PlacementMessage, now: Instant): readonly PlacementEffect[] {
    this.context.effects = [];
    this.dispatch(message, now);
    return this.context.effects;
  }

  private dispatch(message: PlacementMessage, now: Instant): void {
    switch (message.kind) {
      case "start":
        return;
      case "view":
        this.setView(message, now);
        return;
      case "place":
        this.coordinator.place(message, now);
        return;
      case "finished":
        this.coordinator.finish(message, now);
        return;
      case "peer":
        this.receive(message, now);
        return;
      case "tick":
        this.tick(now);
        return;
      case "peerLost":
        this.removePeer(message.daemon, now);
        return;
      case "explain":
        this.context.effects.push(explainPlacement(message, this.context, now));
    }
  }

  private setView(view: ViewMessage, now: Instant): void {
    this.context.bound = view.bound;
    this.fleetMembers.setView(view, now);
    this.updateFleet(now);
  }

  private updateFleet(now: Instant): void {
    const { loadCounts, peerMessages, daemon } = this.context;
    const daemons = this.getLiveDaemons(now);
    this.fleetMembers.removeUnlistedDaemons(daemons);
    this.liveDaemonNames = getNames(daemons);
    const engines = this.fleetMembers.getEngines(now);
    const absentEngines = this.fleetMembers.getAbsentEngines();
    this.nextFleetUpdateAt =
      absentEngines.length > 0 ? now + fleetUpdateIntervalMilliseconds : Infinity;
    this.context.daemonCount = daemons.length;
    this.context.gossipIntervalMilliseconds = this.getGossipIntervalMilliseconds();
    const inheritanceMilliseconds =
      daemons.length > 1 ? inheritedCountIntervals * this.context.gossipIntervalMilliseconds : 0;
    const inheritedUntil = now + inheritanceMilliseconds;
    loadCounts.setFleet({ daemons, engines, absentEngines, inheritedUntil }, now);
    for (const engine of loadCounts.enginesById.values()) {
      if (engine.ownCount > 0 && engine.owner !== daemon && engine.owner !== "") {
        peerMessages.addChange(engine.owner, now);
      }
    }
  }

  private getLiveDaemons(now: Instant): PlacementDaemon[] {
    const interval = this.getGossipIntervalMilliseconds();
    return this.fleetMembers.getLiveDaemons(
      (name) => this.context.loadCounts.peers.getLastReceivedAt(name),
      {
        listedReceivedSince: now - maxMissedIntervals * interval,
        unlistedReceivedSince: now - maxMissedIntervalsUnlisted * interval,
      },
    );
  }

  private receive({ from, message }: PeerMessage, now: Instant): void {
    const { loadCounts, chatDirectory, peerMessages, effects } = this.context;
    this.coordinator.setResponsive(from);
    loadCounts.peers.setPeerCounts(from, message, now);
    for (const move of message.moves) {
      chatDirectory.addChat(move.chat, move.engine, now);
    }
    for (const answer of message.answers) {
      this.coordinator.receiveAnswer(from, answer, now);
    }
    for (const reservation of message.reservations) {
      const answer = this.reservationHandler.answer(from, reservation, now);
      effects.push(peerMessages.composeAnswer(from, answer, now));
    }
  }

  private tick(now: Instant): void {
    const { loadCounts, peerMessages, effects, strategy } = this.context;
    this.coordinator.endOverdueReservations(now);
    const isFleetOutdated = getNames(this.getLiveDaemons(now)) !== this.liveDaemonNames;
    if (isFleetOutdated || now >= this.nextFleetUpdateAt) {
      this.updateFleet(now);
    }
    loadCounts.peers.removeUnresponsivePeers(
      now - maxMissedIntervals * this.getGossipIntervalMilliseconds(),
    );
    if (!strategy.sendsGossip) {
      return;
    }
    if (now >= this.nextGossipAt) {
      this.nextGossipAt = now + this.getGossipIntervalMilliseconds();
      this.sendGossip(now);
    }
    for (const peer of peerMessages.getChangedPeers(
      now - changeDelayRatio * this.getGossipIntervalMilliseconds(),
    )) {
      effects.push(peerMessages.composeCounts(peer, now));
    }
  }

  private removePeer(daemon: string, now: Instant): void {
    this.fleetMembers.removeDaemon(daemon);
    // New owners inherit the lost daemon's counts, so remove these only after the update.
    this.updateFleet(now);
    this.context.loadCounts.peers.removePeer(daemon);
    this.coordinator.endReservationsAt(daemon, now);
  }

  private sendGossip(now: Instant): void {
    const { loadCounts, peerMessages, effects } = this.context;
    const claims = loadCounts.getClaims();
    for (const peer of this.fleetMembers.getPeers()) {
      effects.push(peerMessages.composeGossip(peer, claims, now));
    }
  }

  private getGossipIntervalMilliseconds(): number {
    const intervalByPeers = this.fleetMembers.getPeers().length * gossipIntervalPerPeerMilliseconds;
    return Math.max(minGossipIntervalMilliseconds, intervalByPeers);
  }
}

function getNames(daemons: readonly PlacementDaemon[]): string {
  return daemons.map(({ name }) => name).join(" ");
}
