import type { FleetNotice } from "../fleet/index.js";
import {
  longestQuarantineMilliseconds,
  maxServedBlocks,
  maxSuspectBlocks,
  recentSuccessMilliseconds,
} from "./constants.js";
import { SuspectBlock, type Loss, type Quarantine } from "./SuspectBlock.js";

/** What a quarantine depends on. */
export interface PromptQuarantineOptions {
  /** Tells the other daemons. */
  readonly addFleetNotice: (notice: FleetNotice) => void;
  /** Called when requests with a block are refused from now on, and when they no longer are. */
  readonly onChange: (change: QuarantineChange) => void;
}

/** Start or early end of the quarantine of a prompt block. */
export interface QuarantineChange {
  readonly kind: "started" | "ended";
  /** Hash of the block. */
  readonly block: number;
  readonly quarantine: Quarantine;
  /** Whether the ground was the evidence of this daemon or the word of a peer. */
  readonly source: "evidence" | "peer";
}

/** A request that was lost together with its upstream. */
export interface LostRequest {
  /** Hashes of the prompt blocks that other requests share. */
  readonly blocks: readonly number[];
  /** Hash of the upstream's id and incarnation. */
  readonly upstream: number;
  /** Hash of the request's id. */
  readonly request: number;
}

/** A quarantined prompt block and the end of its quarantine. */
export interface QuarantinedBlock {
  readonly block: number;
  readonly endsAt: number;
}

/** Quarantines passed on in one message; the others follow in the next ones. */
const maxStandingNotices = 4;

/**
 * Finds the prompt blocks under which upstreams end one after another, and keeps requests with them
 * from the other upstreams.
 *
 * When an upstream ends, each request that ran there is lost, and each daemon sees its own ones only. The
 * daemons tell each other which blocks the lost requests had. A block that was lost at several upstreams,
 * by several requests, and succeeded nowhere meanwhile is quarantined by every daemon for a time.
 * Losses that a quarantined block explains no longer count against others. Times are monotonic
 * milliseconds.
 */
export class PromptQuarantine {
  private readonly suspectsByBlock = new Map<number, SuspectBlock>();
  private readonly succeededAtByBlock = new Map<number, number>();
  /** Upstream of the last loss of this daemon, and whether a request was served since. */
  private lastLostUpstream: number | undefined;
  private hasServedSinceLoss = true;
  private standingIndex = 0;

  private constructor(private readonly options: PromptQuarantineOptions) {}

  /**
   * Creates a quarantine without blocks.
   * @param options - What it depends on.
   */
  static create(options: PromptQuarantineOptions): PromptQuarantine {
    return new PromptQuarantine(options);
  }

  /**
   * Records that an upstream answered a request, or wrote on its answer for long enough.
   * @param blocks - Hashes of the prompt blocks that other requests share; none for other requests.
   * @param now - Time of the success.
   */
  recordSuccess(blocks: readonly number[], now: number): void {
    this.hasServedSinceLoss = true;
    blocks.forEach((block) => {
      this.recordServed(block, now);
      if (this.suspectsByBlock.has(block)) {
        this.options.addFleetNotice({ kind: "served", block, at: now });
        this.removeSuspect(block, "evidence", now);
      }
    });
  }

  /**
   * Records a request of this daemon that was lost together with its upstream. While no other request is
   * served the upstreams have another trouble, so that one upstream counts at most.
   * @param lost - The request.
   * @param now - Time of the loss.
   */
  recordLoss({ blocks, upstream, request }: LostRequest, now: number): void {
    if (!this.hasServedSinceLoss && upstream !== this.lastLostUpstream) {
      return;
    }
    this.lastLostUpstream = upstream;
    this.hasServedSinceLoss = false;
    for (const block of blocks) {
      const loss: Loss = { kind: "loss", block, upstream, request, at: now };
      if (now > this.getTrustedUntil(block) && this.addSuspect(block).addLoss(loss)) {
        this.options.addFleetNotice(loss);
      }
    }
    this.startQuarantines(blocks, now);
  }

  /**
   * Applies what a peer learned; other notices are ignored.
   * @param notice - Notice of the peer.
   * @param now - Current time.
   */
  applyNotice(notice: FleetNotice, now: number): void {
    switch (notice.kind) {
      case "loss":
        if (!this.isDisproved(notice.block, notice.at)) {
          this.addSuspect(notice.block).addLoss(notice);
          this.startQuarantines([notice.block], now);
        }
        break;
      case "served":
        this.applyServed(notice.block, notice.at, now);
        break;
      case "quarantine":
        this.applyQuarantine(notice.block, notice, now);
        break;
      default:
    }
  }

  /**
   * Finds a block of a prompt that is quarantined.
   * @param blocks - Hashes of the prompt blocks that other requests share.
   * @param now - Current time.
   */
  findQuarantined(blocks: readonly number[], now: number): QuarantinedBlock | undefined {
    for (const block of blocks) {
      const quarantine = this.suspectsByBlock.get(block)?.getQuarantine(now);
      if (quarantine !== undefined) {
        return { block, endsAt: quarantine.endsAt };
      }
    }
    return undefined;
  }

  /**
   * Gets the quarantines for the next message to peers: a few in turn, so that daemons that start or
   * were cut off learn of all of them.
   * @param now - Current time.
   */
  getStandingNotices(now: number): readonly FleetNotice[] {
    const all = this.getQuarantines(now);
    const from = all.length <= maxStandingNotices ? 0 : this.standingIndex % all.length;
    this.standingIndex += maxStandingNotices;
    return [...all.slice(from), ...all.slice(0, from)]
      .slice(0, maxStandingNotices)
      .map(([block, quarantine]) => ({ kind: "quarantine", block, ...quarantine }));
  }

  private getQuarantines(now: number): readonly (readonly [number, Quarantine])[] {
    return [...this.suspectsByBlock].flatMap(([block, suspect]) => {
      const quarantine = suspect.getQuarantine(now);
      return quarantine === undefined ? [] : [[block, quarantine] as const];
    });
  }

  /** Quarantines blocks whose losses suffice, those with the most losses first. */
  private startQuarantines(blocks: readonly number[], now: number): void {
    const suspects = blocks
      .filter((block) => this.suspectsByBlock.has(block))
      .map((block) => ({ block, losses: this.getLosses(block, now) }))
      .sort((a, b) => b.losses.length - a.losses.length);
    for (const { block, losses } of suspects) {
      const suspect = this.suspectsByBlock.get(block);
      if (suspect?.suffices(losses) === true) {
        this.startQuarantine(block, suspect, this.withoutExplained(block, losses, now), now);
      }
    }
  }

  private startQuarantine(
    block: number,
    suspect: SuspectBlock,
    losses: readonly Loss[],
    now: number,
  ): void {
    if (suspect.suffices(losses)) {
      const quarantine = suspect.startQuarantine(losses, now);
      this.options.onChange({ kind: "started", block, quarantine, source: "evidence" });
    }
  }

  private getLosses(block: number, now: number): readonly Loss[] {
    return this.suspectsByBlock.get(block)?.getLosses(now, this.getTrustedUntil(block)) ?? [];
  }

  /** Leaves out the losses at upstreams at which a quarantined block was lost as well. */
  private withoutExplained(block: number, losses: readonly Loss[], now: number): readonly Loss[] {
    const quarantined = this.getQuarantines(now)
      .filter(([other]) => other !== block)
      .map(([other]) => this.suspectsByBlock.get(other));
    return losses.filter(
      ({ upstream }) => !quarantined.some((other) => other?.hasLossAt(upstream) === true),
    );
  }

  private applyServed(block: number, at: number, now: number): void {
    this.recordServed(block, at);
    const quarantine = this.suspectsByBlock.get(block)?.getQuarantine(now);
    if (quarantine !== undefined && quarantine.lostSince <= this.getTrustedUntil(block)) {
      this.removeSuspect(block, "peer", now);
    }
  }

  private removeSuspect(block: number, source: QuarantineChange["source"], now: number): void {
    const quarantine = this.suspectsByBlock.get(block)?.getQuarantine(now);
    this.suspectsByBlock.delete(block);
    if (quarantine !== undefined) {
      this.options.onChange({ kind: "ended", block, quarantine, source });
    }
  }

  private applyQuarantine(
    block: number,
    { lostSince, endsAt: askedEnd, count }: Quarantine,
    now: number,
  ): void {
    if (this.isDisproved(block, lostSince)) {
      return;
    }
    const endsAt = Math.min(askedEnd, now + longestQuarantineMilliseconds);
    const quarantine = { lostSince, endsAt, count };
    const suspect = this.addSuspect(block);
    const wasQuarantined = suspect.getQuarantine(now) !== undefined;
    if (suspect.adoptQuarantine(quarantine) && !wasQuarantined) {
      this.options.onChange({ kind: "started", block, quarantine, source: "peer" });
    }
  }

  /** Checks whether a success of a block disproves a loss at a time; if so, tells the peers of it. */
  private isDisproved(block: number, lostAt: number): boolean {
    const succeededAt = this.succeededAtByBlock.get(block);
    if (succeededAt === undefined || lostAt > succeededAt + recentSuccessMilliseconds) {
      return false;
    }
    this.options.addFleetNotice({ kind: "served", block, at: succeededAt });
    return true;
  }

  /** Gets the time up to which losses with a block do not count. */
  private getTrustedUntil(block: number): number {
    return (this.succeededAtByBlock.get(block) ?? -Infinity) + recentSuccessMilliseconds;
  }

  private recordServed(block: number, at: number): void {
    const known = this.succeededAtByBlock.get(block) ?? -Infinity;
    this.succeededAtByBlock.delete(block);
    this.succeededAtByBlock.set(block, Math.max(known, at));
    dropOldest(this.succeededAtByBlock, maxServedBlocks);
  }

  private addSuspect(block: number): SuspectBlock {
    const known = this.suspectsByBlock.get(block);
    if (known !== undefined) {
      return known;
    }
    const added = SuspectBlock.create();
    this.suspectsByBlock.set(block, added);
    dropOldest(this.suspectsByBlock, maxSuspectBlocks);
    return added;
  }
}

/** Drops the items that were added first until a map has no more than a number of them. */
function dropOldest<Key>(map: Map<Key, unknown>, size: number): void {
  for (const key of map.keys()) {
    if (map.size <= size) {
      return;
    }
    map.delete(key);
  }
}
