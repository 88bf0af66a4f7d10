import { build, type Histogram } from "hdr-histogram-js";
import type { RequestKind } from "./requestKinds.js";
import type { PromptBlock } from "./PromptCache.js";
import type { SiteRequest } from "./SiteRequest.js";
import type { SiteUpstream } from "./SiteUpstream.js";

/** Results of one kind of request. */
export interface KindFigures {
  /** Requests that callers sent. */
  readonly asked: number;
  /** Requests that got a complete response. */
  readonly whole: number;
  /** Complete responses whose first byte met the latency objective. */
  readonly onTime: number;
  /** Requests whose callers were told that no upstream ran them. */
  readonly refused: number;
  /** Requests that the caller cancelled after its timeout. */
  readonly left: number;
  /** Requests whose upstream crashed, or that ended without an answer that may be passed on. */
  readonly lost: number;
  /** 99th percentile of the time to the first byte of complete responses, in milliseconds. */
  readonly first99: number;
}

/** Results of one run. */
export interface SiteFigures {
  /** Worth of the responses, divided by the worth that all ended requests have when on time. */
  readonly worth: number;
  /** Prompt tokens that engines prefilled. */
  readonly tokensRead: number;
  /** Prompt tokens that were cached or transferred from another engine. */
  readonly tokensFound: number;
  /** Tokens of blocks that were prefilled although some engine had processed them before. */
  readonly tokensReadAgain: number;
  /** Prompt tokens that were transferred from another engine's cache. */
  readonly tokensFetched: number;
  /** Ratio of the engines' requests that were sent to an engine above the load bound. */
  readonly overBound: number;
  /** Requests that may run once and that ran, whose callers were told that they had not run. */
  readonly falseRefusals: number;
  /** Requests that may run once and that ran more than once. */
  readonly runsTwice: number;
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

/** Load bound of an engine: this multiple of the mean load, plus the allowance in requests. */
const loadBoundFactor = 2;
const loadBoundAllowance = 3;
const highPercentile = 99;

/** Counts the requests of a run and their outcomes. */
export class SiteMeter {
  private readonly countsByKind = new Map<RequestKind, KindCounts>();
  private readonly readBlockIds = new Set<string>();
  private tokens = { read: 0, found: 0, reread: 0, transferred: 0 };
  /** Number of runs of each request that may run once and that ran. */
  private readonly runCounts = new Map<SiteRequest, number>();
  private falseRefusals = 0;
  private placements = 0;
  private placementsOverBound = 0;

  private constructor() {
    // Use `create`.
  }

  /** Creates a meter without records. */
  static create(): SiteMeter {
    return new SiteMeter();
  }

  /** Records a request that a caller sent. */
  recordRequest(kind: RequestKind): void {
    this.getCounts(kind).asked += 1;
  }

  /** Records that an upstream begins to work on a request. */
  recordRun(request: SiteRequest): void {
    if (!request.kind.isIdempotent) {
      this.runCounts.set(request, (this.runCounts.get(request) ?? 0) + 1);
    }
  }

  /** Records a request whose caller is told that it was not run. */
  recordRefusal(request: SiteRequest): void {
    this.getCounts(request.kind).refused += 1;
    this.falseRefusals += this.runCounts.has(request) ? 1 : 0;
  }

  /** Records which tokens of a prompt an engine has cached, receives or prefills. */
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

  /** Records the end of a request that an upstream accepted. */
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
   * Records that a request is sent to an engine.
   * @param load - Requests that run or wait on the engine.
   * @param loads - Requests that run or wait on each engine that takes requests.
   */
  recordPlacement(load: number, loads: readonly number[]): void {
    const mean = loads.reduce((sum, count) => sum + count, 0) / Math.max(1, loads.length);
    this.placements += 1;
    this.placementsOverBound += load > loadBoundFactor * mean + loadBoundAllowance ? 1 : 0;
  }

  /** Gets the results. */
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
      falseRefusals: this.falseRefusals,
      runsTwice: [...this.runCounts.values()].filter((count) => count > 1).length,
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
