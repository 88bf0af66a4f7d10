import { build, type Histogram } from "hdr-histogram-js";
import type { RequestKind } from "./kinds.js";
import type { PromptPart } from "./PromptCache.js";
import type { SiteUpstream } from "./SiteUpstream.js";

/** The figures of one kind of request. */
export interface KindFigures {
  readonly asked: number;
  readonly whole: number;
  readonly onTime: number;
  readonly refused: number;
  readonly left: number;
  readonly lost: number;
  /** Time to the first byte that 99 of 100 whole answers stay below, in milliseconds. */
  readonly first99: number;
}

/** The figures of one run. */
export interface SiteFigures {
  /** Worth earned as a share of the worth asked for. */
  readonly worth: number;
  readonly tokensRead: number;
  readonly tokensFound: number;
  /** Tokens of shared parts that some engine had read before and that were read again. */
  readonly tokensReadAgain: number;
  readonly tokensFetched: number;
  /** Share of the engines' requests that reached one above twice the mean load and three more. */
  readonly overBound: number;
  readonly kinds: Readonly<Record<string, KindFigures>>;
}

interface KindCounts {
  asked: number;
  whole: number;
  onTime: number;
  refused: number;
  left: number;
  lost: number;
  readonly first: Histogram;
}

/** The bound on an engine's load: a multiple of the mean, and this many requests more. */
const boundFactor = 2;
const boundAllowance = 3;
const highPercentile = 99;

/** Counts what becomes of the requests of a run. */
export class SiteMeter {
  private readonly countsByKind = new Map<RequestKind, KindCounts>();
  private readonly partsRead = new Set<string>();
  private tokens = { read: 0, found: 0, again: 0, fetched: 0 };
  private placed = 0;
  private placedOverBound = 0;

  private constructor() {
    // Meters are made by `create`.
  }

  /** Creates a meter that has seen nothing. */
  static create(): SiteMeter {
    return new SiteMeter();
  }

  /** Notes a request. */
  ask(kind: RequestKind): void {
    this.getCounts(kind).asked += 1;
  }

  /** Notes a request that was refused. */
  refuse(kind: RequestKind): void {
    this.getCounts(kind).refused += 1;
  }

  /** Notes what an engine reads of a prompt. */
  read(parts: readonly PromptPart[], { cache }: SiteUpstream, fetched: number): void {
    const prompt = parts.reduce((sum, { tokens }) => sum + tokens, 0);
    const kept = cache.getKeptTokens(parts);
    const found = Math.max(kept, fetched);
    this.tokens.read += prompt - found;
    this.tokens.found += found;
    this.tokens.fetched += Math.max(0, fetched - kept);
    let position = 0;
    for (const { id, tokens } of parts) {
      position += tokens;
      this.tokens.again += position > found && this.partsRead.has(id) ? tokens : 0;
      this.partsRead.add(id);
    }
  }

  /** Notes the end of a request that an upstream took. */
  end(kind: RequestKind, outcome: "whole" | "left" | "lost", firstMilliseconds: number): void {
    const counts = this.getCounts(kind);
    counts[outcome] += 1;
    if (outcome === "whole") {
      counts.first.recordValue(Math.max(0, firstMilliseconds));
      counts.onTime += firstMilliseconds <= kind.goalMilliseconds ? 1 : 0;
    }
  }

  /**
   * Notes that a request reaches an engine.
   * @param load - Requests that the engine holds.
   * @param loads - Those of all engines that take requests.
   */
  place(load: number, loads: readonly number[]): void {
    const mean = loads.reduce((sum, one) => sum + one, 0) / Math.max(1, loads.length);
    this.placed += 1;
    this.placedOverBound += load > boundFactor * mean + boundAllowance ? 1 : 0;
  }

  /** Gets the figures. */
  getFigures(): SiteFigures {
    let earned = 0;
    let owed = 0;
    const kinds: Record<string, KindFigures> = {};
    for (const [kind, { first, ...counts }] of this.countsByKind) {
      const late = counts.whole - counts.onTime;
      const ended = counts.whole + counts.refused + counts.left + counts.lost;
      earned += counts.onTime * kind.worth + late * kind.lateWorth;
      owed += ended * kind.worth;
      kinds[kind.name] = { ...counts, first99: first.getValueAtPercentile(highPercentile) };
    }
    const { read, found, again, fetched } = this.tokens;
    const prompts = { tokensRead: read, tokensFound: found, tokensFetched: fetched };
    const overBound = this.placedOverBound / Math.max(1, this.placed);
    return { worth: earned / owed, ...prompts, tokensReadAgain: again, overBound, kinds };
  }

  private getCounts(kind: RequestKind): KindCounts {
    const known = this.countsByKind.get(kind);
    if (known !== undefined) {
      return known;
    }
    const none = { asked: 0, whole: 0, onTime: 0, refused: 0, left: 0, lost: 0 };
    const counts = { ...none, first: build({ numberOfSignificantValueDigits: 3 }) };
    this.countsByKind.set(kind, counts);
    return counts;
  }
}
