import type { EngineLoad } from "./EngineLoad.js";
import { getHash, getRendezvousScore } from "./hash.js";
import type { PlacementDaemon } from "./messages.js";

interface OwnerCandidate {
  readonly id: number;
  readonly name: string;
  readonly zone: string;
}

/** Chooses the owner of an engine among the live daemons, those in the engine's zone first. */
export class OwnerSelector {
  private constructor(private readonly daemons: readonly OwnerCandidate[]) {}

  /**
   * Creates a choice among daemons.
   * @param daemons - The live daemons.
   */
  static create(daemons: readonly PlacementDaemon[]): OwnerSelector {
    return new OwnerSelector(daemons.map((daemon) => ({ ...daemon, id: getHash(daemon.name) })));
  }

  /**
   * Gets the name of the daemon that keeps an engine's count; empty when no daemon is live.
   * @param engine - Engine whose owner to get.
   */
  getOwner(engine: EngineLoad): string {
    const inZone = this.daemons.filter((daemon) => daemon.zone === engine.zone);
    let owner = "";
    let best = -1;
    for (const daemon of inZone.length > 0 ? inZone : this.daemons) {
      const score = getRendezvousScore(engine.id, daemon.id, 1);
      if (score > best) {
        best = score;
        owner = daemon.name;
      }
    }
    return owner;
  }
}
