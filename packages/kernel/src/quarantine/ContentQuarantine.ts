import type { FleetNotice } from "../fleet/index.js";
import {
  longestQuarantineMilliseconds,
  maxServedContents,
  maxSuspects,
  minTrialWaitMilliseconds,
  recentSuccessMilliseconds,
  trialDelayRatio,
} from "./constants.js";
import { countUpstreams, SuspectContent, type Loss, type Quarantine } from "./SuspectContent.js";

/** What a quarantine depends on. */
export interface ContentQuarantineOptions {
  /** Tells the other daemons. */
  readonly addFleetNotice: (notice: FleetNotice) => void;
  /**
   * Gets the milliseconds by which this daemon sends a content again later than its quarantine ends. They
   * differ from daemon to daemon, so that one tries the content and the others learn how it went.
   */
  readonly getReleaseDelay: () => number;
  /** Called when requests with a content are refused from now on, and when they no longer are. */
  readonly onChange: (change: QuarantineChange) => void;
}

/** Start or early end of the quarantine of a content. */
export interface QuarantineChange {
  readonly kind: "started" | "ended";
  /** Hash of the content. */
  readonly content: number;
  readonly quarantine: Quarantine;
  /** Whether the ground was the evidence of this daemon or the word of a peer. */
  readonly source: "evidence" | "peer";
}

/** What a request has in common with others, as hashes that differ by service. */
export interface RequestContent {
  /** Hash of the whole request: of all that comes again when its caller sends it again. */
  readonly whole: number;
  /** Hashes of the prompt blocks that requests of other callers may share. */
  readonly blocks: readonly number[];
}

/** A request that was lost together with its upstream. */
export interface LostRequest {
  readonly content: RequestContent;
  /** Hash of the upstream's id and incarnation. */
  readonly upstream: number;
  /** Hash of the request's id. */
  readonly request: number;
}

/** A quarantined content, and when this daemon sends it again. */
export interface QuarantinedContent {
  readonly content: number;
  readonly endsAt: number;
}

interface QuarantinedSuspect {
  readonly content: number;
  readonly suspect: SuspectContent;
  readonly quarantine: Quarantine;
}

/** Quarantines passed on in one message; the others follow in the next ones. */
const maxStandingNotices = 4;

/**
 * Finds contents of requests under which upstreams end one after another, and keeps requests with them
 * from the other upstreams. A content is a whole request that its caller sends again, or
 * a block of the prompt that other requests share.
 *
 * When an upstream ends, each request that ran there is lost, and each daemon sees its own ones only. The
 * daemons tell each other which contents the lost requests had. A content that was lost at several upstreams,
 * by several requests, and succeeded nowhere meanwhile is quarantined by every daemon for a time.
 * Losses that a quarantined content explains no longer count against others. Of contents that were lost at the
 * same upstreams any may be the cause: a request that has only some of them is tried after a time, and how it
 * goes tells them apart. Times are monotonic milliseconds.
 */
export class ContentQuarantine {
  private readonly suspectsByContent = new Map<number, SuspectContent>();
  private readonly succeededAtByContent = new Map<number, number>();
  /** Upstream of the last loss of this daemon, and whether a request was served since. */
  private lastLostUpstream: number | undefined;
  private hasServedSinceLoss = true;
  /** Milliseconds by which this daemon waits longer than others, as drawn for the last quarantine. */
  private releaseDelay = 0;
  /** Time from which this daemon tries contents that are alike. */
  private trialAt = -Infinity;
  private standingIndex = 0;

  private constructor(private readonly options: ContentQuarantineOptions) {}

  /**
   * Creates a quarantine without contents.
   * @param options - What it depends on.
   */
  static create(options: ContentQuarantineOptions): ContentQuarantine {
    return new ContentQuarantine(options);
  }

  /**
   * Records that an upstream answered a request.
   * @param content - Content of the request.
   * @param now - Time of the success.
   */
  recordSuccess({ whole, blocks }: RequestContent, now: number): void {
    this.recordServedContents([whole, ...blocks], now);
  }

  /**
   * Records that an upstream wrote on an answer for long enough to have read the prompt. It may still end
   * later in the same request, so that this proves nothing of the whole.
   * @param content - Content of the request.
   * @param now - Current time.
   */
  recordPromptRead({ blocks }: RequestContent, now: number): void {
    this.recordServedContents(blocks, now);
  }

  private recordServedContents(contents: readonly number[], now: number): void {
    this.hasServedSinceLoss = true;
    contents.forEach((content) => {
      this.recordServed(content, now);
      if (this.suspectsByContent.has(content)) {
        this.options.addFleetNotice({ kind: "served", content, at: now });
        this.removeSuspect(content, "evidence", now);
      }
    });
  }

  /**
   * Records a request of this daemon that was lost together with its upstream. While no other request is
   * served the upstreams may have another trouble. Then a block counts for one upstream at most, as its
   * quarantine would refuse many callers; that of a whole request refuses one. A block that is quarantined
   * counts always, as it was lost when it was tried.
   * @param lost - The request.
   * @param now - Time of the loss.
   */
  recordLoss({ content: lost, upstream, request }: LostRequest, now: number): void {
    const countsForBlocks = this.countsForBlocks(upstream);
    const blocks = lost.blocks.filter((block) => countsForBlocks || this.isQuarantined(block, now));
    const contents = [lost.whole, ...blocks];
    for (const content of contents) {
      const loss: Loss = { kind: "loss", content, upstream, request, at: now };
      if (now > this.getTrustedUntil(content) && this.addLoss(loss, now)) {
        this.options.addFleetNotice(loss);
      }
    }
    this.startQuarantines(contents, now);
  }

  /** Adds a loss if it proves something; that of a quarantined content puts off the trials of this daemon. */
  private addLoss(loss: Loss, now: number): boolean {
    const isAdded = this.addSuspect(loss.content, now).addLoss(loss);
    if (isAdded && this.isQuarantined(loss.content, now)) {
      this.putOffTrials(now);
    }
    return isAdded;
  }

  private putOffTrials(now: number): void {
    this.trialAt = now + minTrialWaitMilliseconds + this.releaseDelay * trialDelayRatio;
  }

  /** Checks whether the quarantine of a content has not ended yet. */
  private isQuarantined(content: number, now: number): boolean {
    const quarantine = this.suspectsByContent.get(content)?.getQuarantine(now);
    return quarantine !== undefined && now < quarantine.endsAt;
  }

  private countsForBlocks(upstream: number): boolean {
    if (!this.hasServedSinceLoss && upstream !== this.lastLostUpstream) {
      return false;
    }
    this.lastLostUpstream = upstream;
    this.hasServedSinceLoss = false;
    return true;
  }

  /**
   * Applies what a peer learned; other notices are ignored.
   * @param notice - Notice of the peer.
   * @param now - Current time.
   */
  applyNotice(notice: FleetNotice, now: number): void {
    switch (notice.kind) {
      case "loss":
        if (!this.isDisproved(notice.content, notice.at)) {
          this.addLoss(notice, now);
          this.startQuarantines([notice.content], now);
        }
        break;
      case "served":
        this.applyServed(notice.content, notice.at, now);
        break;
      case "quarantine":
        this.applyQuarantine(notice.content, notice, now);
        break;
      default:
    }
  }

  /**
   * Finds a content of a request that is quarantined, and for which the request may not be tried.
   * @param content - Content of the request.
   * @param now - Current time.
   */
  findQuarantined({ whole, blocks }: RequestContent, now: number): QuarantinedContent | undefined {
    const contents = [whole, ...blocks];
    for (const content of contents) {
      const suspect = this.suspectsByContent.get(content);
      if (
        suspect?.getQuarantine(now) !== undefined &&
        !this.isExplained(suspect, now) &&
        !this.isTried(suspect, contents, now)
      ) {
        return { content, endsAt: suspect.getReleasedAt() };
      }
    }
    return undefined;
  }

  /** Checks whether it is time to try a suspect in a request that lacks another one which is alike. */
  private isTried(suspect: SuspectContent, contents: readonly number[], now: number): boolean {
    return (
      now > this.trialAt &&
      this.getQuarantined(now).some(
        (other) => !contents.includes(other.content) && suspect.isAlike(other.suspect),
      )
    );
  }

  /**
   * Gets the quarantines for the next message to peers: a few in turn, so that daemons that start or
   * were cut off learn of all of them.
   * @param now - Current time.
   */
  getStandingNotices(now: number): readonly FleetNotice[] {
    const all = this.getQuarantined(now).filter(
      ({ suspect, quarantine }) => now < quarantine.endsAt && !this.isExplained(suspect, now),
    );
    const from = all.length <= maxStandingNotices ? 0 : this.standingIndex % all.length;
    this.standingIndex += maxStandingNotices;
    return [...all.slice(from), ...all.slice(0, from)]
      .slice(0, maxStandingNotices)
      .map(({ content, quarantine }) => ({ kind: "quarantine", content, ...quarantine }));
  }

  private getQuarantined(now: number): readonly QuarantinedSuspect[] {
    return [...this.suspectsByContent].flatMap(([content, suspect]) => {
      const quarantine = suspect.getQuarantine(now);
      return quarantine === undefined ? [] : [{ content, suspect, quarantine }];
    });
  }

  /**
   * Checks whether another quarantined content explains all losses of a suspect: it was lost at the same
   * upstreams and at others, or by more requests. Of two that are alike either may be the cause.
   */
  private isExplained(suspect: SuspectContent, now: number): boolean {
    return this.getQuarantined(now).some((other) => suspect.isWithin(other.suspect));
  }

  /** Quarantines contents whose losses suffice, those with the most losses first. */
  private startQuarantines(contents: readonly number[], now: number): void {
    const suspects = contents
      .filter((content) => this.suspectsByContent.has(content))
      .map((content) => ({ content, losses: this.getLosses(content, now) }))
      .sort((a, b) => countUpstreams(b.losses) - countUpstreams(a.losses));
    for (const { content, losses } of suspects) {
      const suspect = this.suspectsByContent.get(content);
      if (suspect?.suffices(losses) === true) {
        this.startQuarantine(content, suspect, this.withoutExplained(content, losses, now), now);
      }
    }
  }

  private startQuarantine(
    content: number,
    suspect: SuspectContent,
    losses: readonly Loss[],
    now: number,
  ): void {
    if (suspect.suffices(losses)) {
      this.releaseDelay = this.options.getReleaseDelay();
      const quarantine = suspect.startQuarantine(losses, now, this.releaseDelay);
      this.putOffTrials(now);
      this.options.onChange({ kind: "started", content, quarantine, source: "evidence" });
    }
  }

  private getLosses(content: number, now: number): readonly Loss[] {
    return this.suspectsByContent.get(content)?.getLosses(now, this.getTrustedUntil(content)) ?? [];
  }

  /** Leaves out the losses at upstreams at which a quarantined content that was lost at more was lost as well. */
  private withoutExplained(content: number, losses: readonly Loss[], now: number): readonly Loss[] {
    const others = this.getQuarantined(now)
      .filter((other) => other.content !== content)
      .map(({ suspect }) => suspect)
      .filter((suspect) => suspect.getUpstreamCount() > countUpstreams(losses));
    return losses.filter(({ upstream }) => !others.some((other) => other.hasLossAt(upstream)));
  }

  private applyServed(content: number, at: number, now: number): void {
    this.recordServed(content, at);
    const quarantine = this.suspectsByContent.get(content)?.getQuarantine(now);
    if (quarantine !== undefined && quarantine.lostSince <= this.getTrustedUntil(content)) {
      this.removeSuspect(content, "peer", now);
    }
  }

  private removeSuspect(content: number, source: QuarantineChange["source"], now: number): void {
    const quarantine = this.suspectsByContent.get(content)?.getQuarantine(now);
    this.suspectsByContent.delete(content);
    if (quarantine !== undefined) {
      this.options.onChange({ kind: "ended", content, quarantine, source });
    }
  }

  private applyQuarantine(
    content: number,
    { lostSince, endsAt: askedEnd, count }: Quarantine,
    now: number,
  ): void {
    if (this.isDisproved(content, lostSince)) {
      return;
    }
    const endsAt = Math.min(askedEnd, now + longestQuarantineMilliseconds);
    const quarantine = { lostSince, endsAt, count };
    const suspect = this.addSuspect(content, now);
    const wasQuarantined = suspect.getQuarantine(now) !== undefined;
    const delay = this.options.getReleaseDelay();
    if (!suspect.adoptQuarantine(quarantine, delay)) {
      return;
    }
    this.releaseDelay = delay;
    this.putOffTrials(now);
    if (!wasQuarantined) {
      this.options.onChange({ kind: "started", content, quarantine, source: "peer" });
    }
  }

  /** Checks whether a success of a content disproves a loss at a time; if so, tells the peers of it. */
  private isDisproved(content: number, lostAt: number): boolean {
    const succeededAt = this.succeededAtByContent.get(content);
    if (succeededAt === undefined || lostAt > succeededAt + recentSuccessMilliseconds) {
      return false;
    }
    this.options.addFleetNotice({ kind: "served", content, at: succeededAt });
    return true;
  }

  /** Gets the time up to which losses with a content do not count. */
  private getTrustedUntil(content: number): number {
    return (this.succeededAtByContent.get(content) ?? -Infinity) + recentSuccessMilliseconds;
  }

  private recordServed(content: number, at: number): void {
    const known = this.succeededAtByContent.get(content) ?? -Infinity;
    this.succeededAtByContent.delete(content);
    this.succeededAtByContent.set(content, Math.max(known, at));
    dropOldest(this.succeededAtByContent, maxServedContents);
  }

  private addSuspect(content: number, now: number): SuspectContent {
    const known = this.suspectsByContent.get(content);
    if (known !== undefined) {
      return known;
    }
    const added = SuspectContent.create();
    this.suspectsByContent.set(content, added);
    const isKept = (suspect: SuspectContent): boolean => suspect.getQuarantine(now) !== undefined;
    dropOldest(this.suspectsByContent, maxSuspects, isKept);
    return added;
  }
}

/** Drops the items that were added first until a map has no more than a number of them, but for some. */
function dropOldest<Key, Value>(
  map: Map<Key, Value>,
  size: number,
  isKept: (value: Value) => boolean = () => false,
): void {
  for (const [key, value] of map) {
    if (map.size <= size) {
      return;
    }
    if (!isKept(value)) {
      map.delete(key);
    }
  }
}
