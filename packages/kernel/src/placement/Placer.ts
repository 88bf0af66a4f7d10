import type { Instant } from "../kernel/Plugin.js";
import { ChatDirectory } from "./ChatDirectory.js";
import { minDigestIntervalMilliseconds, type PlacementContext } from "./context.js";
import { getCount } from "./EngineLoad.js";
import { explainPlacement } from "./explain.js";
import { getHash } from "./hash.js";
import { LoadLedger } from "./LoadLedger.js";
import type {
  PeerMessage,
  PlacementDaemon,
  PlacementEffect,
  PlacementMessage,
  StartMessage,
  ViewMessage,
} from "./messages.js";
import { Outbox } from "./Outbox.js";
import { OwnerDesk } from "./OwnerDesk.js";
import { PlacementFlow } from "./PlacementFlow.js";
import { Roster } from "./Roster.js";
import { placementStrategies } from "./strategy.js";

/** Sizes of the parts of the state that grow with traffic. */
export interface PlacementSizes {
  readonly requests: number;
  readonly reservations: number;
  readonly chats: number;
  readonly engines: number;
}

/** Part of the interval of digests for which a change may wait. */
const changeDelayShare = 0.4;
const digestIntervalPerPeerMilliseconds = 45;
const missedDigests = 6;
const missedDigestsUnlisted = 3;
/** Peers notice a change of owner up to one digest later, and report within another one. */
const inheritedDigests = 2;
const fleetUpdateMilliseconds = 1000;
const maxChats = 65_536;

/** Places requests on engines and keeps the counts of the engines that its daemon owns. */
export class Placer {
  private readonly context: PlacementContext;
  private readonly desk: OwnerDesk;
  private readonly flow: PlacementFlow;
  private readonly roster: Roster;
  private liveDaemons = "";
  private nextFleetUpdateAt: Instant = Infinity;
  private nextDigestAt: Instant = 0;

  private constructor(start: StartMessage) {
    const strategy = placementStrategies[start.strategy ?? "ours"];
    const ledger = LoadLedger.create(start.daemon, start.zone, strategy.reserves);
    this.context = {
      daemon: start.daemon,
      strategy,
      ledger,
      outbox: Outbox.create(ledger),
      directory: ChatDirectory.create(maxChats),
      bound: 1,
      daemonCount: 1,
      digestInterval: minDigestIntervalMilliseconds,
      effects: [],
    };
    this.roster = Roster.create(start.daemon);
    this.desk = OwnerDesk.create(this.context);
    this.flow = PlacementFlow.create(this.context, this.desk);
  }

  /**
   * Creates a placer without a view.
   * @param start - Name and zone of the daemon, and the version of the policy.
   */
  static create(start: StartMessage): Placer {
    return new Placer(start);
  }

  /** Gets the sizes of the parts of the state that grow with traffic. */
  getSizes(): PlacementSizes {
    return {
      requests: this.flow.getSize(),
      reservations: this.flow.getReservationCount(),
      chats: this.context.directory.getSize(),
      engines: this.context.ledger.enginesById.size,
    };
  }

  /**
   * Gets the hash and the owner of an engine.
   * @param name - Name of the engine.
   */
  getEngine(name: string): { readonly id: number; readonly owner: string } | undefined {
    const engine = this.context.ledger.getEngineByName(name);
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
   * Gets the running requests of an engine as far as this daemon knows.
   * @param name - Name of the engine.
   * @param now - Current time.
   */
  getCount(name: string, now: Instant): number | undefined {
    const engine = this.context.ledger.getEngineByName(name);
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
        this.flow.place(message, now);
        return;
      case "finished":
        this.flow.finish(message, now);
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
    this.roster.setView(view, now);
    this.updateFleet(now);
  }

  private updateFleet(now: Instant): void {
    const { ledger, outbox, daemon } = this.context;
    const daemons = this.getLiveDaemons(now);
    this.roster.removeUnlistedDaemons(daemons);
    this.liveDaemons = getNames(daemons);
    const engines = this.roster.getEngines(now);
    const absentEngines = this.roster.getAbsentEngines();
    this.nextFleetUpdateAt = absentEngines.length > 0 ? now + fleetUpdateMilliseconds : Infinity;
    this.context.daemonCount = daemons.length;
    this.context.digestInterval = this.getDigestInterval();
    const waited = daemons.length > 1 ? inheritedDigests * this.context.digestInterval : 0;
    const inheritedUntil = now + waited;
    ledger.setFleet({ daemons, engines, absentEngines, inheritedUntil }, now);
    for (const engine of ledger.enginesById.values()) {
      if (engine.own > 0 && engine.owner !== daemon && engine.owner !== "") {
        outbox.addChange(engine.owner, now);
      }
    }
  }

  private getLiveDaemons(now: Instant): PlacementDaemon[] {
    const interval = this.getDigestInterval();
    return this.roster.getLiveDaemons((name) => this.context.ledger.peers.getHeardAt(name), {
      listedBefore: now - missedDigests * interval,
      unlistedBefore: now - missedDigestsUnlisted * interval,
    });
  }

  private receive({ from, message }: PeerMessage, now: Instant): void {
    const { ledger, directory, outbox, effects } = this.context;
    this.flow.setHeard(from);
    ledger.peers.setPeerCounts(from, message, now);
    for (const move of message.moves) {
      directory.addChat(move.chat, move.engine, now);
    }
    for (const answer of message.answers) {
      this.flow.receiveAnswer(from, answer, now);
    }
    for (const reservation of message.reservations) {
      const answer = this.desk.answer(from, reservation, now);
      effects.push(outbox.composeAnswer(from, answer, now));
    }
  }

  private tick(now: Instant): void {
    const { ledger, outbox, effects, strategy } = this.context;
    this.flow.endOverdueReservations(now);
    const isFleetOld = getNames(this.getLiveDaemons(now)) !== this.liveDaemons;
    if (isFleetOld || now >= this.nextFleetUpdateAt) {
      this.updateFleet(now);
    }
    ledger.peers.removeSilentPeers(now - missedDigests * this.getDigestInterval());
    if (!strategy.digests) {
      return;
    }
    if (now >= this.nextDigestAt) {
      this.nextDigestAt = now + this.getDigestInterval();
      this.sendDigests(now);
    }
    for (const peer of outbox.getChangedPeers(now - changeDelayShare * this.getDigestInterval())) {
      effects.push(outbox.composeCounts(peer, now));
    }
  }

  private removePeer(daemon: string, now: Instant): void {
    this.roster.removeDaemon(daemon);
    // New owners take over the lost one's counts, so these go last.
    this.updateFleet(now);
    this.context.ledger.peers.removePeer(daemon);
    this.flow.endReservationsAt(daemon, now);
  }

  private sendDigests(now: Instant): void {
    const { ledger, outbox, effects } = this.context;
    const claims = ledger.getClaims();
    for (const peer of this.roster.getPeers()) {
      effects.push(outbox.composeDigest(peer, claims, now));
    }
  }

  private getDigestInterval(): number {
    const spread = this.roster.getPeers().length * digestIntervalPerPeerMilliseconds;
    return Math.max(minDigestIntervalMilliseconds, spread);
  }
}

function getNames(daemons: readonly PlacementDaemon[]): string {
  return daemons.map(({ name }) => name).join(" ");
}
