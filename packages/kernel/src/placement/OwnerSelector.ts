import type { EngineLoad } from "./EngineLoad.js";
import { getHash, getRendezvousScore } from "../hashing/index.js";
import type { PlacementDaemon } from "./messages.js";

interface OwnerCandidate {
  readonly id: number;
  readonly name: string;
  readonly zone: string;
}

/** Selects an engine's owner by rendezvous hashing, among the live daemons of its zone if any. */
export class OwnerSelector {
  private constructor(private readonly daemons: readonly OwnerCandidate[]) {}

  /**
   * Creates a selector.
   * @param daemons - The live daemons.
   */
  static create(daemons: readonly PlacementDaemon[]): OwnerSelector {
    return new OwnerSelector(daemons.map((daemon) => ({ ...daemon, id: getHash(daemon.name) })));
  }

  /**
   * Gets the name of an engine's owner, or an empty string if no daemon is live.
   * @param engine - Engine whose owner to get.
   */
  getOwner(engine: EngineLoad): string {
    const inZone = this.daemons.filter((daemon) => daemon.zone === engine.zone);
    let owner = "";
    let bestScore = -1;
    for (const daemon of inZone.length > 0 ? inZone : this.daemons) {
      const score = getRendezvousScore(engine.id, daemon.id, 1);
      if (score > bestScore) {
        bestScore = score;
        owner = daemon.name;
      }
    }
    return owner;
  }
}
