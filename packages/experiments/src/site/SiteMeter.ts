import { build, type Histogram } from "hdr-histogram-js";
import type { RequestKind } from "./requestKinds.js";
import type { PromptBlock } from "./PromptCache.js";
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
  readonly firstByteMilliseconds: Histogram;
}

/** The bound on an engine's load: a multiple of the mean, and this many requests more. */
const loadBoundFactor = 2;
const loadBoundAllowance = 3;
const highPercentile = 99;

/** Counts what becomes of the requests of a run. */
export class SiteMeter {
  private readonly countsByKind = new Map<RequestKind, KindCounts>();
  private readonly readBlockIds = new Set<string>();
  private tokens = { read: 0, found: 0, reread: 0, transferred: 0 };
  private placements = 0;
  private placementsOverBound = 0;

  private constructor() {
    // Meters are made by `create`.
  }

  /** Creates a meter that has seen nothing. */
  static create(): SiteMeter {
    return new SiteMeter();
  }

  /** Notes a request. */
  recordRequest(kind: RequestKind): void {
    this.getCounts(kind).asked += 1;
  }

  /** Notes a request that was refused. */
  recordRefusal(kind: RequestKind): void {
    this.getCounts(kind).refused += 1;
  }

  /** Notes what an engine reads of a prompt. */
  recordPrompt(
    blocks: readonly PromptBlock[],
    { cache }: SiteUpstream,
    transferableTokens: number,
  ): void {
    const promptTokens = blocks.reduce((sum, { tokens }) => sum + tokens, 0);
    const cachedTokens = cache.getCachedTokens(blocks);
    const foundTokens = Math.max(cachedTokens, transferableTokens);
    this.tokens.read += promptTokens - foundTokens;
    this.tokens.found += foundTokens;
    this.tokens.transferred += Math.max(0, transferableTokens - cachedTokens);
    let position = 0;
    for (const { id, tokens } of blocks) {
      position += tokens;
      this.tokens.reread += position > foundTokens && this.readBlockIds.has(id) ? tokens : 0;
      this.readBlockIds.add(id);
    }
  }

  /** Notes the end of a request that an upstream took. */
  recordEnd(
    kind: RequestKind,
    outcome: "whole" | "left" | "lost",
    firstByteMilliseconds: number,
  ): void {
    const counts = this.getCounts(kind);
    counts[outcome] += 1;
    if (outcome === "whole") {
      counts.firstByteMilliseconds.recordValue(Math.max(0, firstByteMilliseconds));
      counts.onTime += firstByteMilliseconds <= kind.goalMilliseconds ? 1 : 0;
    }
  }

  /**
   * Notes that a request reaches an engine.
   * @param load - Requests that the engine holds.
   * @param loads - Those of all engines that take requests.
   */
  recordPlacement(load: number, loads: readonly number[]): void {
    const mean = loads.reduce((sum, one) => sum + one, 0) / Math.max(1, loads.length);
    this.placements += 1;
    this.placementsOverBound += load > loadBoundFactor * mean + loadBoundAllowance ? 1 : 0;
  }

  /** Gets the figures. */
  getFigures(): SiteFigures {
    let earnedWorth = 0;
    let possibleWorth = 0;
    const kinds: Record<string, KindFigures> = {};
    for (const [kind, { firstByteMilliseconds, ...counts }] of this.countsByKind) {
      const late = counts.whole - counts.onTime;
      const ended = counts.whole + counts.refused + counts.left + counts.lost;
      earnedWorth += counts.onTime * kind.worth + late * kind.lateWorth;
      possibleWorth += ended * kind.worth;
      kinds[kind.name] = {
        ...counts,
        first99: firstByteMilliseconds.getValueAtPercentile(highPercentile),
      };
    }
    const { read, found, reread, transferred } = this.tokens;
    const prompts = { tokensRead: read, tokensFound: found, tokensFetched: transferred };
    const overBound = this.placementsOverBound / Math.max(1, this.placements);
    return {
      worth: earnedWorth / possibleWorth,
      ...prompts,
      tokensReadAgain: reread,
      overBound,
      kinds,
    };
  }

  private getCounts(kind: RequestKind): KindCounts {
    const known = this.countsByKind.get(kind);
    if (known !== undefined) {
      return known;
    }
    const none = { asked: 0, whole: 0, onTime: 0, refused: 0, left: 0, lost: 0 };
    const counts = { ...none, firstByteMilliseconds: build({ numberOfSignificantValueDigits: 3 }) };
    this.countsByKind.set(kind, counts);
    return counts;
  }
}
